package httpd

import (
	"net"
	"os"
	"syscall"
	"time"

	"github.com/go-kit/log/level"
	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

const (
	// acceptPause is the pause after a connection that could not be accepted, for want of memory
	// for example.
	acceptPause = 50 * time.Millisecond

	// maxLastCall bounds the connections that a server accepts once it has ended.
	maxLastCall = 1024

	// minLastCalls is how often a server that has ended looks for connections that the kernel
	// holds, however late it is.
	minLastCalls = 2
)

type (
	// trackedListener tracks the connections that it accepts. When its server has ended, it accepts
	// those that the kernel holds, and closes.
	trackedListener struct {
		net.Listener
		server Server
		guard  *Guard
		ended  <-chan struct{} // closed before the listener is, nil for unknown
		closes *closingTime    // of the server

		hungUp bool
		last   []net.Conn // accepted at the end, and not returned yet
	}

	// deadliner is a listener with a deadline for Accept.
	deadliner interface{ SetDeadline(at time.Time) error }
)

// Accept implements net.Listener. It closes connections for which there is no room: one that is
// not accepted would wait in the kernel's queue and keep others from it. Errors other than the end of
// the listener pass.
func (l *trackedListener) Accept() (net.Conn, error) {
	for !l.hungUp {
		c, err := l.accept()
		switch {
		case err == nil:
			if t := l.track(c); t != nil {
				return t, nil
			}
		case l.hasEnded() && errors.Is(err, os.ErrDeadlineExceeded):
			l.hangUp()
		default:
			return nil, err
		}
	}
	if len(l.last) == 0 {
		return nil, net.ErrClosed
	}
	c := l.last[0]
	l.last = l.last[1:]
	return c, nil
}

// track returns the tracked connection, nil if there is no room for it.
func (l *trackedListener) track(c net.Conn) net.Conn {
	t := &trackedConn{Conn: c, server: l.server, guard: l.guard, closes: l.closes, waiting: true, inHead: true}
	if l.guard.open(t) {
		return t
	}
	c.Close() //nolint:errcheck // nothing was read
	return nil
}

// accept accepts a connection. It returns an error only when the listener has ended, or is about to.
func (l *trackedListener) accept() (net.Conn, error) {
	for failures := 0; ; failures++ {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) || l.hasEnded() {
			return c, err
		}
		if failures == 0 {
			level.Warn(l.guard.logger).Log("msg", "Connections cannot be accepted.", "address", l.Addr(), "err", err)
		}
		select {
		case <-l.guard.clock.After(acceptPause):
		case <-l.ended:
			return nil, err
		}
	}
}

// hasEnded reports whether the listener is about to be closed.
func (l *trackedListener) hasEnded() bool {
	select {
	case <-l.ended:
		return true
	default:
		return false
	}
}

// hangUp accepts the connections that the kernel holds, and would reset with their requests, and
// closes the listener before one of them is answered: a caller that is refused and connects anew does
// not get in again.
func (l *trackedListener) hangUp() {
	l.hungUp = true
	defer l.Close() //nolint:errcheck // no request is lost if it fails
	c := l.server.clock()
	until := c.Now().Add(l.server.endTimeout())
	for calls := 0; calls < minLastCalls || c.Now().Before(until); calls++ {
		n, ok := heldBy(l.Listener)
		limit := l.server.endTimeout()
		if !ok {
			n, limit = maxLastCall, arrivedTime
		}
		if n = min(n, maxLastCall-len(l.last)); n <= 0 {
			return
		}
		if l.acceptHeld(n, limit) == 0 && !ok && calls > 0 {
			return
		}
	}
}

// acceptHeld accepts a number of connections that the kernel holds, for the given time at most, and
// returns how many it got.
func (l *trackedListener) acceptHeld(n int, limit time.Duration) (accepted int) {
	d, ok := l.Listener.(deadliner)
	if !ok || d.SetDeadline(time.Now().Add(limit)) != nil {
		return 0
	}
	for ; accepted < n; accepted++ {
		c, err := l.Listener.Accept()
		if err != nil {
			break
		}
		if t := l.track(c); t != nil {
			l.last = append(l.last, t)
		}
	}
	return accepted
}

// heldBy returns the number of connections that the kernel holds for a listener, ok false if it does
// not tell.
func heldBy(l net.Listener) (n int, ok bool) {
	c, isSocket := l.(syscall.Conn)
	if !isSocket {
		return 0, false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, false
	}
	err = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			n, ok = int(info.Unacked), true // of a listener, the connections that wait to be accepted
		}
	})
	return n, ok && err == nil
}

// stopAccepting lets the server's accept return what the kernel holds and then fail, or closes a
// listener that has no deadline.
func stopAccepting(l net.Listener) {
	if d, ok := l.(deadliner); ok && d.SetDeadline(time.Unix(1, 0)) == nil {
		return
	}
	l.Close() //nolint:errcheck // no request is lost if it fails
}
