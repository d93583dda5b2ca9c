package httpd

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/juju/clock"

	"rosereach/core/overload"
)

type (
	// pausedListener accepts nothing before it goes on, as in a process that gets no processor.
	pausedListener struct {
		*net.TCPListener
		goOn <-chan struct{}
	}

	// pausedConn pauses the process when it has looked for the first time for what has arrived.
	pausedConn struct {
		*net.TCPConn
		looked chan struct{}
		goOn   chan struct{}
		once   *sync.Once
	}

	pausedRawConn struct {
		syscall.RawConn
		conn pausedConn
	}

	// pausingListener accepts paused connections.
	pausingListener struct {
		*net.TCPListener
		looked, goOn chan struct{}
	}
)

func (l pausedListener) Accept() (net.Conn, error) {
	<-l.goOn
	return l.TCPListener.Accept()
}

func (l pausingListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return pausedConn{c, l.looked, l.goOn, &sync.Once{}}, nil
}

func (c pausedConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return pausedRawConn{raw, c}, err
}

func (c pausedRawConn) Control(f func(fd uintptr)) error {
	err := c.RawConn.Control(f)
	c.conn.once.Do(func() {
		close(c.conn.looked)
		<-c.conn.goOn
	})
	return err
}

// dialUnread opens a connection to the listener and returns it with its answers.
func dialUnread(t *testing.T, l net.Listener) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	return conn, bufio.NewReader(conn)
}

func listenTCP(t *testing.T) *net.TCPListener {
	t.Helper()
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// expectStatus reads an answer and returns its header, and whether it ends the connection.
func expectStatus(t *testing.T, answers *bufio.Reader, want int) (h http.Header, isLast bool) {
	t.Helper()
	resp, err := http.ReadResponse(answers, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != want {
		t.Errorf("status %d, want %d", resp.StatusCode, want)
	}
	return resp.Header, resp.Close
}

// Requests on connections that the kernel still holds when the server ends are answered, not reset.
func TestConnectionsThatAreNotAcceptedYetAreServedAtTheEnd(t *testing.T) {
	goOn := make(chan struct{})
	l := pausedListener{listenTCP(t), goOn}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		ended <- Serve(ctx, l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) }))
	}()
	var answers []*bufio.Reader
	for range 20 {
		conn, r := dialUnread(t, l)
		io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		answers = append(answers, r)
	}
	cancel()
	time.Sleep(20 * time.Millisecond) // the server ends before it goes on
	close(goOn)
	for _, r := range answers {
		expectStatus(t, r, http.StatusTeapot)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// A request that arrives when the server has looked for one for the last time, and before it closes
// the connection, is refused, not reset.
func TestRequestThatCrossesTheEndOfItsConnectionIsRefused(t *testing.T) {
	l := pausingListener{listenTCP(t), make(chan struct{}), make(chan struct{})}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- Serve(ctx, l, http.NotFoundHandler()) }()
	conn, answers := dialUnread(t, l)
	io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	expectStatus(t, answers, http.StatusNotFound)
	cancel()
	<-l.looked
	io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n")
	time.Sleep(20 * time.Millisecond) // it arrives
	close(l.goOn)
	io.WriteString(conn, "ok")
	if h, isLast := expectStatus(t, answers, http.StatusServiceUnavailable); h.Get("Retry-After") == "" || !isLast {
		t.Errorf("header %v, ends the connection: %v", h, isLast)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// Requests that crossed the end of their connections were all told to come back after the same time,
// and came back together.
func TestRefusalsOfUnreadRequestsSpreadTheirCallers(t *testing.T) {
	const callers = 20
	guard := NewGuard(overload.LimitsFor(0, 0), clock.WallClock, log.NewNopLogger())
	waits := make(map[string]bool)
	for range callers {
		l := pausingListener{listenTCP(t), make(chan struct{}), make(chan struct{})}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- ServeGuarded(ctx, l, http.NotFoundHandler(), guard) }()
		conn, answers := dialUnread(t, l)
		io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		expectStatus(t, answers, http.StatusNotFound)
		cancel()
		<-l.looked
		io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		time.Sleep(5 * time.Millisecond) // it arrives
		close(l.goOn)
		h, _ := expectStatus(t, answers, http.StatusServiceUnavailable)
		waits[h.Get("Retry-After")] = true
		if seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64); err != nil || seconds <= 0 {
			t.Errorf("Retry-After: %q", h.Get("Retry-After"))
		}
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
	if len(waits) < callers/4 {
		t.Errorf("%d callers are told to come back after %v", callers, waits)
	}
}

// Callers that a stop refused connected anew at once and got in again, thousands of times a stop: the
// listener was open while the last connections were answered.
func TestRefusedCallersDoNotGetInAgain(t *testing.T) {
	const callers = 20
	goOn := make(chan struct{})
	l := pausedListener{listenTCP(t), goOn}
	ctx, cancel := context.WithCancel(t.Context())
	ended, got := make(chan error, 1), make(chan error, callers)
	go func() {
		ended <- Serve(ctx, l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, err := net.Dial("tcp", l.Addr().String())
			if err == nil {
				conn.Close()
			}
			got <- err
			w.WriteHeader(http.StatusServiceUnavailable)
		}))
	}()
	for range callers {
		conn, _ := dialUnread(t, l)
		io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	}
	cancel()
	time.Sleep(20 * time.Millisecond) // the server ends before it goes on
	close(goOn)
	for range callers {
		if err := <-got; !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("a caller gets in again: %v", err)
		}
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
