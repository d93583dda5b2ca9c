package httpd_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
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
