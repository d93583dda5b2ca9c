package httpd_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/juju/clock"

	"rosereach/core/overload"
	"rosereach/internal/httpd"
)

// blockingLogger blocks until it is told to go on.
type blockingLogger struct{ logging, goOn chan struct{} }

func (l blockingLogger) Log(...any) error {
	l.logging <- struct{}{}
	<-l.goOn
	return nil
}

// A log that blocks holds up the connection that is logged, and no other.
func TestBlockedLogHoldsUpNoOther(t *testing.T) {
	logger := blockingLogger{make(chan struct{}, 1), make(chan struct{})}
	address := startServer(t, httpd.Server{Handler: http.NotFoundHandler(), Guard: httpd.NewGuard(overload.LimitsFor(0, 0), clock.WallClock, logger)})
	defer close(logger.goOn)
	io.WriteString(dial(t, address), "GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", 100<<10))
	<-logger.logging
	c := dial(t, address)
	io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	if status := statusOf(t, bufio.NewReader(c)); status != http.StatusNotFound {
		t.Errorf("status %d", status)
	}
}
