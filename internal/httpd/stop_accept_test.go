package httpd_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"rosereach/internal/httpd"
)

// brokenListener fails for good when it is told to.
type brokenListener struct {
	net.Listener
	fail chan struct{}
}

func (l brokenListener) Accept() (net.Conn, error) {
	type accepted struct {
		c   net.Conn
		err error
	}
	got := make(chan accepted, 1)
	go func() {
		c, err := l.Listener.Accept()
		got <- accepted{c, err}
	}()
	select {
	case a := <-got:
		return a.c, a.err
	case <-l.fail:
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.ENOBUFS}
	}
}

// An error of accept, which tells nothing about connections that are open, ended the server beside
// the requests that ran.
func TestRunningRequestOutlastsFailedAccept(t *testing.T) {
	fail, began, goOn := make(chan struct{}), make(chan struct{}), make(chan struct{})
	ended := make(chan error, 1)
	l, err := httpd.Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		ended <- httpd.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			close(began)
			<-goOn
			if r.Context().Err() != nil {
				t.Error(context.Cause(r.Context()))
			}
		})}.Serve(ctx, brokenListener{l, fail})
	}()
	c := dial(t, l.Addr().String())
	io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	<-began
	close(fail)
	select {
	case err := <-ended:
		t.Errorf("the server ends beside a running request: %v", err)
	case <-time.After(100 * time.Millisecond):
	}
	close(goOn)
	if status := statusOf(t, bufio.NewReader(c)); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
}

// fullConn takes no more than the given bytes of an answer until it is closed.
type fullConn struct {
	*net.TCPConn
	room   int
	full   chan struct{}
	closed chan struct{}
	once   sync.Once
}

func (c *fullConn) Write(p []byte) (int, error) {
	if len(p) <= c.room {
		c.room -= len(p)
		return c.TCPConn.Write(p)
	}
	n, err := c.TCPConn.Write(p[:c.room])
	c.room = 0
	close(c.full)
	<-c.closed
	if err == nil {
		err = net.ErrClosed
	}
	return n, err
}

func (c *fullConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.TCPConn.Close()
}

type fullListener struct {
	net.Listener
	full chan struct{}
}

func (l fullListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &fullConn{TCPConn: c.(*net.TCPConn), room: 300, full: l.full, closed: make(chan struct{})}, nil
}

// An answer whose end nothing but its connection marks was cut at the end of a stop after its
// handler had returned, and looked whole: the connection was closed in order while its last part
// waited for a slow caller.
func TestUnsentAnswerDoesNotLookWholeAtTheEndOfAStop(t *testing.T) {
	const size = 3000
	full := make(chan struct{})
	var returned atomic.Bool
	s := startStoppable(t, httpd.Server{Timeouts: httpd.Timeouts{Shutdown: noShutdown}, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Write(make([]byte, size))
		returned.Store(true)
	})}, func(l net.Listener) net.Listener { return fullListener{l, full} })
	c := dial(t, s.address)
	io.WriteString(c, "GET / HTTP/1.0\r\nHost: h\r\n\r\n")
	<-full
	s.stop()
	s.await(t)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return // reset
	}
	defer resp.Body.Close()
	if n, err := io.Copy(io.Discard, resp.Body); err == nil && n < size {
		t.Errorf("%d of %d bytes look whole (handler returned: %v)", n, size, returned.Load())
	}
}
