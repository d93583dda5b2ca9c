package httpd_test

import (
	"bytes"
	"io"
	"net/http"
	"testing"
	"time"

	"rosereach/internal/httpd"
)

// An answer without a length of which a write had failed, and whose handler returned, ended in order
// for a client that read on later: a part looked whole.
func TestAnswerWithoutLengthWhoseWriteFailedIsNotWhole(t *testing.T) {
	returned := make(chan struct{})
	s := startStoppable(t, httpd.Server{
		Timeouts: httpd.Timeouts{Write: func() time.Duration { return 50 * time.Millisecond }},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			defer close(returned)
			w.Write(bytes.Repeat([]byte("x"), 32<<20))
		}),
	}, nil)
	c := dial(t, s.address)
	io.WriteString(c, "GET / HTTP/1.0\r\nHost: h\r\n\r\n")
	<-returned
	if n, err := io.Copy(io.Discard, c); err == nil {
		t.Errorf("%d bytes end in order", n)
	}
}
