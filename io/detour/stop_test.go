package detour_test

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"rosereach/io/detour"
)

// A relay that stops while it passes an answer on closed the connection in order, as a server
// does at the end of an answer without a length.
func TestStopOfRelayIsNoEndOfAnswer(t *testing.T) {
	for range 20 {
		hold := make(chan struct{})
		address := server(t, func(c *net.TCPConn) {
			io.ReadFull(c, make([]byte, 4))
			c.Write([]byte("part"))
			<-hold
			c.Close()
		})
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(context.Background())
		s := detour.Server{Key: key, Take: func() bool { return true }, Release: func() {}, Connect: func(context.Context, detour.Target) (net.Conn, detour.Status) {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				return nil, detour.ServerRefused
			}
			return conn, detour.Connected
		}}
		ended := make(chan error, 1)
		go func() { ended <- s.Serve(ctx, l) }()
		conn := dial(t, l.Addr().String(), "s")
		conn.Write([]byte("ping"))
		io.ReadFull(conn, make([]byte, 4))
		time.AfterFunc(10*time.Millisecond, stop)
		if rest, err := io.ReadAll(conn); err == nil {
			t.Errorf("%q ends cleanly", rest)
		}
		close(hold)
		<-ended
		stop()
	}
}

// failingListener fails to accept a few times before it does.
type failingListener struct {
	net.Listener
	failures atomic.Int64
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// A process that is out of descriptors for a moment goes on connecting others afterwards.
func TestAcceptGoesOnAfterAnError(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	failing := &failingListener{Listener: l}
	failing.failures.Store(3)
	ended := make(chan error, 1)
	go func() {
		ended <- detour.Server{
			Key: "k", Take: func() bool { return true }, Release: func() {},
			Connect: func(context.Context, detour.Target) (net.Conn, detour.Status) { return nil, detour.UnknownServer },
		}.Serve(ctx, failing)
	}()
	if _, err := detour.Dial(ctx, l.Addr().String(), "k", detour.Target{Server: "s"}); !errors.Is(err, detour.ErrNoDetour) {
		t.Errorf("%v", err)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
