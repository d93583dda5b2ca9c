package httpd_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"rosereach/internal/httpd"
)

// heldConn holds its first read before or after it takes data from the kernel, and reports the end
// of the wait for a request.
type heldConn struct {
	*net.TCPConn
	listener *heldListener
	once     sync.Once
	ended    sync.Once
}

// heldListener accepts heldConns.
type heldListener struct {
	net.Listener
	before  bool
	reading chan struct{} // a read is held
	goOn    chan struct{}
	over    chan struct{} // the wait for a request has ended
}

func newHeldListener(before bool) *heldListener {
	return &heldListener{before: before, reading: make(chan struct{}), goOn: make(chan struct{}), over: make(chan struct{})}
}

func (l *heldListener) wrap(inner net.Listener) net.Listener {
	l.Listener = inner
	return l
}

func (l *heldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &heldConn{TCPConn: c.(*net.TCPConn), listener: l}, nil
}

func (c *heldConn) Read(p []byte) (int, error) {
	if c.listener.before {
		c.once.Do(c.hold)
	}
	n, err := c.TCPConn.Read(p)
	if n > 0 && !c.listener.before {
		c.once.Do(c.hold)
	}
	return n, err
}

func (c *heldConn) hold() {
	close(c.listener.reading)
	<-c.listener.goOn
}

func (c *heldConn) SetReadDeadline(at time.Time) error {
	err := c.TCPConn.SetReadDeadline(at)
	if !at.IsZero() && at.Before(time.Now()) {
		c.ended.Do(func() { close(c.listener.over) })
	}
	return err
}

// awaitArrival waits until data has arrived at the connection.
func (c *heldConn) awaitArrival(t *testing.T) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	for n := 0; n == 0; time.Sleep(time.Millisecond) {
		raw.Control(func(fd uintptr) {
			n, _, _ = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			n = max(n, 0)
		})
	}
}

// A stop between the kernel's and the server's part of a connection's first read ended the rest of
// its request: nothing took the past deadline back that ends a wait.
func TestFirstRequestReadAtTheStopIsAnswered(t *testing.T) {
	for name, pieces := range map[string][]string{
		"head in two parts": {"GET / HTTP/1.1\r\n", "Host: h\r\n\r\n"},
		"chunks":            {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", "2\r\nok\r\n", "0\r\n\r\n"},
		"length":            {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n", "ok", "ok"},
		"whole":             {"GET / HTTP/1.1\r\nHost: h\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			held := newHeldListener(false)
			s := startStoppable(t, httpd.Server{
				Timeouts: httpd.Timeouts{Shutdown: func() time.Duration { return 10 * time.Second }},
				Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if _, err := io.ReadAll(r.Body); err != nil {
						t.Error(err)
					}
					select {
					case <-r.Context().Done(): // by the read that looks whether the caller leaves
						t.Error("the request is ended")
					case <-time.After(20 * time.Millisecond):
					}
				}),
			}, held.wrap)
			c := dial(t, s.address)
			io.WriteString(c, pieces[0])
			<-held.reading
			s.stop()
			<-held.over
			close(held.goOn)
			for _, piece := range pieces[1:] {
				time.Sleep(10 * time.Millisecond) // a part of its own
				io.WriteString(c, piece)
			}
			if status := statusOf(t, bufio.NewReader(c)); status != http.StatusOK {
				t.Errorf("status %d", status)
			}
			s.await(t)
		})
	}
}

// A request that had arrived when a stop ended the wait for it was dropped with its connection.
func TestRequestThatHasArrivedAtTheStopIsAnswered(t *testing.T) {
	held := newHeldListener(true)
	accepted := make(chan *heldConn, 1)
	s := startStoppable(t, httpd.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") }),
	}, func(l net.Listener) net.Listener { return reportingListener{held.wrap(l), accepted} })
	c := dial(t, s.address)
	<-held.reading
	io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	(<-accepted).awaitArrival(t)
	s.stop()
	<-held.over
	close(held.goOn)
	r := bufio.NewReader(c)
	if status := statusOf(t, r); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("the connection goes on: %v", err)
	}
	s.await(t)
}

// reportingListener reports the connections that it accepts.
type reportingListener struct {
	net.Listener
	accepted chan *heldConn
}

func (l reportingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted <- c.(*heldConn)
	}
	return c, err
}

// A caller that sends its next request when it has its answer, while a stop goes on, gets an answer
// or the end of its connection before it sends; with several requests none is lost that had arrived
// when the answer before it ended.
func TestNextRequestThatHasArrivedDuringAStopIsAnswered(t *testing.T) {
	accepted := make(chan *heldConn, 1)
	held := newHeldListener(true)
	close(held.goOn)
	sent := make(chan struct{})
	s := startStoppable(t, httpd.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "2")
		io.WriteString(w, "ok")
		if r.URL.Path == "/1" {
			http.NewResponseController(w).Flush()
			<-sent // more than the byte that http.Server reads ahead
		}
	})}, func(l net.Listener) net.Listener { return reportingListener{held.wrap(l), accepted} })
	c := dial(t, s.address)
	r := bufio.NewReader(c)
	io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
	if status := statusOf(t, r); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	s.stop()
	io.WriteString(c, "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
	(<-accepted).awaitArrival(t)
	close(sent)
	if status := statusOf(t, r); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
	s.await(t)
}
