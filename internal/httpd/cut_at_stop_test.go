package httpd_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"rosereach/internal/httpd"
)

// An answer that is still running at the end of the grace of a stop ended in order for a caller
// whose answer ends with its connection.
func TestAnswerCutAtTheEndOfAStopDoesNotLookWhole(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l, err := httpd.Listen(ctx, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	serveErr := make(chan error, 1)
	go func() {
		serveErr <- httpd.ServeWithTimeouts(ctx, l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			io.WriteString(w, "id: 1\ndata: 1\n\n")
			http.NewResponseController(w).Flush()
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}), httpd.Timeouts{Shutdown: func() time.Duration { return 50 * time.Millisecond }})
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, "GET / HTTP/1.0\r\nHost: h\r\n\r\n")
	time.AfterFunc(50*time.Millisecond, cancel)
	if got, err := io.ReadAll(c); err == nil {
		t.Errorf("%q ends in order", got)
	}
	<-serveErr
}
