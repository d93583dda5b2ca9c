package httpd

import (
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"rosereach/core/overload"
)

const (
	// lingerTime bounds how long data is read, and dropped, after a request was answered that was
	// not read to its end, unless the server closes before. A connection that is closed with unread
	// data is reset, and the answer may get lost.
	lingerTime = 5 * time.Second

	// unreadRefusal answers a request that crosses the end of its connection, and was not read.
	// Another connection takes it after the given seconds.
	unreadRefusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain; charset=utf-8\r\nRetry-After: %.3f\r\n" +
		"Connection: close\r\n\r\nthe connection was idle and is closed; use another\n"
)

// closingTime is when a server that has ended closes what is still open, on the kernel's clock:
// nothing before its end.
type closingTime struct{ at atomic.Pointer[time.Time] }

// begin records that the server has the given times from now on until it closes.
func (c *closingTime) begin(shutdown, end time.Duration) {
	at := time.Now().Add(shutdown).Add(2 * end)
	c.at.Store(&at)
}

// limit returns the end of a wait that begins now.
func (c *closingTime) limit(wait time.Duration) time.Time {
	until := time.Now().Add(wait)
	if at := c.at.Load(); at != nil && at.Before(until) {
		return *at
	}
	return until
}

// CloseWrite closes the sending side, and reads on for a while without the memory of the request
// before it closes the connection. http.Server calls it before Close for a connection whose request
// it has not read to the end.
func (t *trackedConn) CloseWrite() error {
	c, ok := t.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	if err := c.CloseWrite(); err != nil || !t.beginLinger() {
		return err
	}
	go func() {
		io.Copy(io.Discard, t.Conn) //nolint:errcheck // the connection is closed next
		t.closeNow()                //nolint:errcheck // the answer was sent or is lost
	}()
	return nil
}

// beginLinger reports whether the connection lingers, and lets it do so for lingerTime at most.
func (t *trackedConn) beginLinger() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.shed || t.hijacked || t.lingers || t.Conn.SetReadDeadline(t.closes.limit(lingerTime)) != nil {
		return false
	}
	t.lingers, t.ended, t.inHead = true, true, false
	t.guard.release(t.held)
	return true
}

// Close closes the connection, unless it lingers, as it does when data follows a request that was
// answered. A request that has arrived since its wait ended is refused. After a failed write, the
// connection is reset, as its end may mark that of the answer.
func (t *trackedConn) Close() error {
	t.mu.Lock()
	lingers, waitOver := t.lingers, t.waitOver
	t.inHead = false
	t.mu.Unlock()
	if !lingers && waitOver && t.hasArrived() {
		lingers = t.refuseUnread()
	}
	if !lingers && t.answer.isSent() && t.hasArrived() {
		lingers = t.linger() // a reset would drop what the client does not have yet
	}
	if lingers {
		t.concludeAnswer(0)
		return nil
	}
	if t.answer.hasFailed() {
		t.SetLinger(0) //nolint:errcheck // fails only on a closed connection
	}
	t.concludeAnswer(t.droppedByClose())
	t.guard.release(t.held)
	return t.closeNow()
}

// hasArrived reports whether data has arrived that was not read.
func (t *trackedConn) hasArrived() bool {
	var b [1]byte
	n, _ := receiveArrived(t.socket(), b[:], syscall.MSG_PEEK)
	return n > 0
}

// receiveArrived receives what has arrived at a connection, whatever its deadlines. It reports false if
// that can't be told.
func receiveArrived(c net.Conn, p []byte, flags int) (n int, ok bool) {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, false
	}
	err = raw.Control(func(fd uintptr) {
		n, _, _ = syscall.Recvfrom(int(fd), p, flags|syscall.MSG_DONTWAIT) //nolint:errcheck // n is not positive then
	})
	return max(n, 0), err == nil
}

// refuseUnread answers a request that was not read, and reports whether the connection lingers.
func (t *trackedConn) refuseUnread() bool {
	t.SetWriteDeadline(t.closes.limit(lingerTime)) //nolint:errcheck // fails only on a closed connection
	wait := t.guard.refusal(overload.Stopping).RetryAfter
	if _, err := fmt.Fprintf(t.Conn, unreadRefusal, wait.Seconds()); err != nil {
		return false
	}
	return t.linger()
}

// linger closes the sending side, and reports whether the connection lingers.
func (t *trackedConn) linger() bool {
	if t.CloseWrite() != nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lingers
}

// closeNow closes the connection and ends its part of the account.
func (t *trackedConn) closeNow() error {
	t.closed.Do(func() { t.guard.close(t.held) })
	return t.Conn.Close()
}

// evict ends the connection for the guard. A request whose body is being read is still answered,
// unless too many are.
func (t *trackedConn) evict() {
	t.mu.Lock()
	hasHandler := !t.inHead && !t.hijacked && !t.lingers
	t.ended, t.shed = true, true
	t.mu.Unlock()
	if hasHandler && t.held.MayAnswer() {
		t.Conn.SetReadDeadline(time.Unix(1, 0)) //nolint:errcheck // fails only on a closed connection
		return
	}
	t.socket().Close() //nolint:errcheck // see above
}
