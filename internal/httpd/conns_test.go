package httpd_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"rosereach/internal/httpd"
)

// An idle connection is closed after the timeout that was in force when its last
// request ended, and not before.
func TestIdleConnectionIsClosed(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l, err := httpd.Listen(ctx, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var timeout atomic.Int64
	serveErr := make(chan error, 1)
	go func() {
		serveErr <- httpd.ServeWithTimeouts(ctx, l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") }),
			httpd.Timeouts{Shutdown: func() time.Duration { return 0 }, Idle: func() time.Duration { return time.Duration(timeout.Load()) }})
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	r := bufio.NewReader(c)
	get := func() {
		t.Helper()
		io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		io.Copy(io.Discard, resp.Body)
	}
	timeout.Store(int64(time.Hour))
	get()
	timeout.Store(int64(20 * time.Millisecond))
	get()
	if _, err := r.ReadByte(); err != io.EOF {
		t.Fatalf("read from the idle connection: %v, want EOF", err)
	}
	cancel()
	<-serveErr
}

// signalingListener reports each read of data from its connections.
type (
	signalingListener struct {
		net.Listener
		reads chan struct{}
	}
	signalingConn struct {
		net.Conn
		reads chan struct{}
	}
)

func (l signalingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return signalingConn{c, l.reads}, err
}

func (c signalingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.reads <- struct{}{}
	}
	return n, err
}

// A connection is not closed under a request of which a part has been read, neither by
// the idle timeout nor by a shutdown.
func TestRequestBeingReadIsAnswered(t *testing.T) {
	const idle = 50 * time.Millisecond
	for name, interrupt := range map[string]func(cancel func()){
		"idle timeout": func(func()) { time.Sleep(2 * idle) },
		"shutdown":     func(cancel func()) { cancel(); time.Sleep(20 * time.Millisecond) },
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			l, err := httpd.Listen(ctx, "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			reads, served := make(chan struct{}, 100), make(chan error, 1)
			go func() {
				served <- httpd.ServeWithTimeouts(ctx, signalingListener{l, reads}, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") }),
					httpd.Timeouts{Shutdown: func() time.Duration { return time.Second }, Idle: func() time.Duration { return idle }})
			}()
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			r := bufio.NewReader(c)
			c.SetDeadline(time.Now().Add(10 * time.Second))
			for range 2 {
				io.WriteString(c, "GET / HTTP/1.1\r\n")
				<-reads
				interrupt(cancel)
				io.WriteString(c, "Host: h\r\n\r\n")
				resp, err := http.ReadResponse(r, nil)
				if err != nil {
					t.Fatal(err)
				}
				body, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				if err != nil || string(body) != "ok" {
					t.Fatalf("%q, %v", body, err)
				}
				if ctx.Err() != nil {
					break
				}
				for len(reads) > 0 {
					<-reads
				}
			}
			cancel()
			<-served
		})
	}
}

// readListener accepts connections and reports when a byte beyond the first ones was read
// from one.
type readListener struct {
	net.Listener
	after int
	read  chan struct{}
}

// readConn is a connection of a readListener.
type readConn struct {
	net.Conn
	listener *readListener
	n        int
	once     sync.Once
}

func (l *readListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &readConn{Conn: c, listener: l}, nil
}

func (c *readConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.n += n; c.n > c.listener.after {
		c.once.Do(func() { close(c.listener.read) })
	}
	return n, err
}

// A caller that has its whole answer sends the next request while the handler is still
// returning; the first byte is read by net/http in the background. A stop follows.
func TestRequestReadDuringLastAnswerIsAnswered(t *testing.T) {
	const firstRequest = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
	lost := 0
	for range 20 {
		ctx, cancel := context.WithCancel(context.Background())
		l, err := httpd.Listen(ctx, "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		served := make(chan error, 1)
		watched := &readListener{Listener: l, after: len(firstRequest), read: make(chan struct{})}
		h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "2")
			io.WriteString(w, "ok")
			if r.URL.Path == "/1" {
				http.NewResponseController(w).Flush()
				<-watched.read // the background read has its byte
				cancel()
				time.Sleep(2 * time.Millisecond)
			}
		})
		go func() {
			served <- httpd.ServeWithTimeouts(ctx, watched, h, httpd.Timeouts{Shutdown: func() time.Duration { return time.Second }})
		}()
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		r := bufio.NewReader(c)
		io.WriteString(c, firstRequest)
		first, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, first.Body)
		first.Body.Close()
		io.WriteString(c, "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
		if second, err := http.ReadResponse(r, nil); err != nil {
			lost++
		} else {
			second.Body.Close()
		}
		c.Close()
		cancel()
		<-served
	}
	if lost > 0 {
		t.Errorf("%d of 20 requests whose first byte was read got no answer", lost)
	}
}

// An empty line after a request (RFC 9112, 2.2) must hold up neither a stop nor the idle timeout.
func TestStrayLineHoldsNoStop(t *testing.T) {
	for name, stop := range map[string]bool{"stop": true, "idle": false} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			l, err := httpd.Listen(ctx, "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			served := make(chan error, 1)
			go func() {
				served <- httpd.ServeWithTimeouts(ctx, l, http.NotFoundHandler(), httpd.Timeouts{
					Shutdown: func() time.Duration { return time.Minute }, Idle: func() time.Duration { return 50 * time.Millisecond },
				})
			}()
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			r := bufio.NewReader(c)
			io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatal(err)
			}
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			io.WriteString(c, "\r\n")
			time.Sleep(10 * time.Millisecond)
			if stop {
				cancel()
			}
			if _, err := r.ReadByte(); err != io.EOF {
				t.Errorf("the connection is not closed: %v", err)
			}
			cancel()
			<-served
		})
	}
}

// A stop without connections ends without an error.
func TestStopWithoutConnections(t *testing.T) {
	for range 100 {
		ctx, cancel := context.WithCancel(context.Background())
		l, err := httpd.Listen(ctx, "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		served := make(chan error, 1)
		go func() { served <- httpd.Serve(ctx, l, http.NotFoundHandler()) }()
		time.Sleep(time.Millisecond)
		cancel()
		if err := <-served; err != nil {
			t.Fatal(err)
		}
	}
}

// A request that was sent before the answer to the one before it is answered also when the
// idle timeout is shorter than its handler takes.
func TestPipelinedRequestIsAnswered(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l, err := httpd.Listen(ctx, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const idle = 20 * time.Millisecond
	served := make(chan error, 1)
	go func() {
		served <- httpd.ServeWithTimeouts(ctx, l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-time.After(3 * idle):
				io.WriteString(w, "ok")
			case <-r.Context().Done():
				panic(http.ErrAbortHandler)
			}
		}), httpd.Timeouts{Shutdown: func() time.Duration { return time.Second }, Idle: func() time.Duration { return idle }})
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 2))
	r := bufio.NewReader(c)
	for range 2 {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
	}
	cancel()
	<-served
}

// A handler that cuts an answer which ends with its connection has to reset it: the wrapped
// connection hid the way to do so.
func TestHandlerResetsConnection(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l, err := httpd.Listen(ctx, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	serveErr := make(chan error, 1)
	go func() {
		serveErr <- httpd.ServeWithTimeouts(ctx, l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			defer conn.Close()
			if err := conn.(interface{ SetLinger(int) error }).SetLinger(0); err != nil {
				t.Error(err)
			}
		}), httpd.Timeouts{Shutdown: func() time.Duration { return 0 }, Idle: func() time.Duration { return time.Hour }})
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	if _, err := io.ReadAll(c); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection ends with %v", err)
	}
	cancel()
	<-serveErr
}
