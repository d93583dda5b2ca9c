package httpd_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/juju/clock/testclock"

	"rosereach/internal/httpd"
)

// stoppable is a server that the test stops.
type stoppable struct {
	address string
	stop    func()
	ended   chan error
}

func startStoppable(t *testing.T, s httpd.Server, wrap func(net.Listener) net.Listener) *stoppable {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	l, err := httpd.Listen(ctx, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &stoppable{address: l.Addr().String(), stop: cancel, ended: make(chan error, 1)}
	if wrap != nil {
		l = wrap(l)
	}
	go func() { server.ended <- s.Serve(ctx, l) }()
	t.Cleanup(cancel)
	return server
}

func (s *stoppable) await(t *testing.T) {
	t.Helper()
	select {
	case err := <-s.ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the server does not end")
	}
}

func noShutdown() time.Duration { return 0 }

// A request that runs when the time of a stop is over was cut, though its handler could answer.
func TestRequestAtTheEndOfAStopIsAnswered(t *testing.T) {
	began := make(chan struct{})
	s := startStoppable(t, httpd.Server{Timeouts: httpd.Timeouts{Shutdown: noShutdown}, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
		if !errors.Is(context.Cause(r.Context()), httpd.ErrStopped) {
			t.Errorf("the request ends with %v", context.Cause(r.Context()))
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	})}, nil)
	c := dial(t, s.address)
	io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	<-began
	s.stop()
	if status := statusOf(t, bufio.NewReader(c)); status != http.StatusServiceUnavailable {
		t.Errorf("status %d", status)
	}
	s.await(t)
}

// A server ended before its handlers, whose last log lines were lost with the process.
func TestStopAwaitsHandlers(t *testing.T) {
	for name, head := range map[string]bool{"no answer": false, "begun": true} {
		t.Run(name, func(t *testing.T) {
			const requests = 20
			var returned atomic.Int64
			began := make(chan struct{}, requests)
			s := startStoppable(t, httpd.Server{Timeouts: httpd.Timeouts{Shutdown: noShutdown}, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if head {
					io.WriteString(w, "part")
					http.NewResponseController(w).Flush()
				}
				began <- struct{}{}
				<-r.Context().Done()
				time.Sleep(10 * time.Millisecond) // the rest of its work
				returned.Add(1)
				panic(http.ErrAbortHandler)
			})}, nil)
			for range requests {
				io.WriteString(dial(t, s.address), "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
				<-began
			}
			s.stop()
			s.await(t)
			if n := returned.Load(); n != requests {
				t.Errorf("%d of %d handlers had returned", n, requests)
			}
		})
	}
}

// A handler that does not return holds a stop for no longer than the given time, and its caller's
// connection is reset.
func TestStopEndsBesideHandlerThatStays(t *testing.T) {
	c := testclock.NewClock(time.Now())
	began, leave := make(chan struct{}), make(chan struct{})
	defer close(leave)
	s := startStoppable(t, httpd.Server{
		Clock:    c,
		Timeouts: httpd.Timeouts{Shutdown: func() time.Duration { return time.Minute }, End: func() time.Duration { return time.Second }},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			io.WriteString(w, "part")
			http.NewResponseController(w).Flush()
			close(began)
			<-leave
		}),
	}, nil)
	caller := dial(t, s.address)
	io.WriteString(caller, "GET / HTTP/1.0\r\nHost: h\r\n\r\n")
	<-began
	s.stop()
	for _, step := range []time.Duration{time.Minute, time.Second, time.Second} {
		if err := c.WaitAdvance(step, 10*time.Second, 1); err != nil {
			t.Fatal(err)
		}
	}
	s.await(t)
	if got, err := io.ReadAll(caller); err == nil {
		t.Errorf("%q ends in order", got)
	}
}

// An answer whose last bytes a slow caller had not taken yet was reset, though its handler had
// written all of it.
func TestWrittenAnswerIsNotResetAtTheEndOfAStop(t *testing.T) {
	const size = 128 << 10 // more than the caller's buffer holds, less than both
	written := make(chan struct{})
	s := startStoppable(t, httpd.Server{Timeouts: httpd.Timeouts{Shutdown: noShutdown}, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(size))
		w.Write(make([]byte, size))
		http.NewResponseController(w).Flush()
		close(written)
		<-r.Context().Done()
	})}, nil)
	c := dial(t, s.address)
	c.(*net.TCPConn).SetReadBuffer(4 << 10)
	io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	<-written
	s.stop()
	s.await(t)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if n, err := io.Copy(io.Discard, resp.Body); err != nil || n != size {
		t.Errorf("%d bytes, %v", n, err)
	}
}

// failingListener fails to accept a few times before it does.
type failingListener struct {
	net.Listener
	failures atomic.Int64
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.ENOBUFS}
	}
	return l.Listener.Accept()
}

// A server ended for want of the kernel's memory when it accepted a connection.
func TestServerGoesOnAfterAFailedAccept(t *testing.T) {
	s := startStoppable(t, httpd.Server{Handler: http.NotFoundHandler()}, func(l net.Listener) net.Listener {
		failing := &failingListener{Listener: l}
		failing.failures.Store(3)
		return failing
	})
	c := dial(t, s.address)
	io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	if status := statusOf(t, bufio.NewReader(c)); status != http.StatusNotFound {
		t.Errorf("status %d", status)
	}
	s.stop()
	s.await(t)
}

// smallBufferListener accepts connections whose kernel buffers are small, as they are on a path with
// a small window.
type smallBufferListener struct{ net.Listener }

func (l smallBufferListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		c.(*net.TCPConn).SetWriteBuffer(4 << 10)
	}
	return c, err
}

// An answer that was ready long ago was cut at the end of a stop because its caller read slowly. The
// kernel sends the rest of it, as far as it takes it.
func TestReadyAnswerOfSlowReaderOutlivesTheStop(t *testing.T) {
	const size = 128 << 10
	began, returned := make(chan struct{}), make(chan struct{})
	s := startStoppable(t, httpd.Server{Timeouts: httpd.Timeouts{Shutdown: noShutdown}, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		defer close(returned)
		w.Header().Set("Content-Length", strconv.Itoa(size))
		http.NewResponseController(w).Flush()
		close(began)
		if _, err := w.Write(make([]byte, size)); err != nil {
			t.Error(err)
		}
	})}, func(l net.Listener) net.Listener { return smallBufferListener{l} })
	c := dial(t, s.address)
	c.(*net.TCPConn).SetReadBuffer(4 << 10)
	io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	<-began
	select {
	case <-returned:
		t.Fatal("the caller's buffers take the whole answer")
	case <-time.After(20 * time.Millisecond):
	}
	s.stop()
	s.await(t)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if n, err := io.Copy(io.Discard, resp.Body); err != nil || n != size {
		t.Errorf("%d bytes, %v", n, err)
	}
}

// The end of a server ended the contexts of hijacked connections, over which a stopping control
// still hands its vote over.
func TestHijackedConnectionOutlivesTheStop(t *testing.T) {
	hijacked, leave, returned := make(chan context.Context), make(chan struct{}), make(chan struct{})
	s := startStoppable(t, httpd.Server{Timeouts: httpd.Timeouts{Shutdown: noShutdown}, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer close(returned)
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer c.Close()
		hijacked <- r.Context()
		<-leave
	})}, nil)
	io.WriteString(dial(t, s.address), "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	ctx := <-hijacked
	s.stop()
	s.await(t)
	if err := context.Cause(ctx); err != nil {
		t.Error(err)
	}
	close(leave)
	<-returned
}
