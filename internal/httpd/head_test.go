package httpd_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"rosereach/internal/httpd"
)

// startServer serves until the test ends and returns the address.
func startServer(t *testing.T, s httpd.Server) string {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	l, err := httpd.Listen(ctx, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.Timeouts.Shutdown = func() time.Duration { return 0 }
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(ctx, l) }()
	t.Cleanup(func() { cancel(); <-ended })
	return l.Addr().String()
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(10 * time.Second))
	return c
}

// statusOf returns the status of the next answer on the connection.
func statusOf(t *testing.T, r *bufio.Reader) int {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode
}

// The limit of a head that is in force bounds what is read of it, and may change while the
// connection is open.
func TestHeadOverTheLimitIsRefused(t *testing.T) {
	var limit atomic.Int64
	limit.Store(1 << 20)
	address := startServer(t, httpd.Server{Handler: http.NotFoundHandler(), MaxHeaderBytes: func() int { return int(limit.Load()) }})
	for name, unended := range map[string]string{
		"one line":   "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 64<<10),
		"many lines": "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("X: y\r\n", 12<<10),
	} {
		limit.Store(1 << 20)
		c := dial(t, address)
		r := bufio.NewReader(c)
		io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nX: "+strings.Repeat("x", 40<<10)+"\r\n\r\n")
		if status := statusOf(t, r); status != http.StatusNotFound {
			t.Errorf("%s: status %d before the limit changes", name, status)
		}
		limit.Store(16 << 10)
		io.WriteString(c, unended)
		if status := statusOf(t, r); status != http.StatusRequestHeaderFieldsTooLarge {
			t.Errorf("%s: status %d, want 431", name, status)
		}
		if _, err := r.ReadByte(); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s: the connection stays open: %v", name, err)
		}
	}
}

// Empty lines before a request end the connection.
func TestEmptyLinesAreEnded(t *testing.T) {
	c := dial(t, startServer(t, httpd.Server{Handler: http.NotFoundHandler()}))
	for range 1 << 10 {
		if _, err := io.WriteString(c, strings.Repeat("\r\n", 32<<10)); err != nil {
			return
		}
	}
	t.Error("the connection stays open")
}

// A head has to be complete within the time in force, from its first byte on.
func TestSlowHeadIsEnded(t *testing.T) {
	const allowed = 200 * time.Millisecond
	address := startServer(t, httpd.Server{Handler: http.NotFoundHandler(), Timeouts: httpd.Timeouts{
		Header: func() time.Duration { return allowed }, Idle: func() time.Duration { return time.Minute },
	}})
	c := dial(t, address)
	r := bufio.NewReader(c)
	time.Sleep(2 * allowed) // waiting for a request is not limited by it
	for range 2 {
		io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		if status := statusOf(t, r); status != http.StatusNotFound {
			t.Fatalf("status %d", status)
		}
		time.Sleep(2 * allowed)
	}
	io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n")
	for range 20 { // further lines do not extend it
		time.Sleep(allowed / 4)
		if _, err := io.WriteString(c, "X: y\r\n"); err != nil {
			break
		}
	}
	if _, err := r.ReadByte(); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the connection stays open: %v", err)
	}
}

// A server without timeouts of its own stops, and waits for open requests.
func TestServerWithoutTimeoutsStops(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	l, err := httpd.Listen(ctx, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	handling, goOn := make(chan struct{}), make(chan struct{})
	ended := make(chan error, 1)
	go func() {
		ended <- httpd.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			close(handling)
			<-goOn
		})}.Serve(ctx, l)
	}()
	c := dial(t, l.Addr().String())
	io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	<-handling
	cancel()
	close(goOn)
	if status := statusOf(t, bufio.NewReader(c)); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
