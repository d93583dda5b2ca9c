package httpd_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/go-kit/log"
	"github.com/juju/clock"
	"github.com/prometheus/client_golang/prometheus"

	"rosereach/core/overload"
	"rosereach/internal/httpd"
	"rosereach/internal/metrics"
)

// lockedBuffer is a buffer for the log of several goroutines.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// metricsOf returns the metrics of a guard as text.
func metricsOf(g *httpd.Guard) string {
	registry := prometheus.NewRegistry()
	registry.MustRegister(g)
	w := httptest.NewRecorder()
	metrics.PrometheusHandler(registry).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return w.Body.String()
}

// A panic went to the standard logger, and nothing named the request whose answer it cut.
func TestPanicIsLoggedWithItsRequest(t *testing.T) {
	var lines lockedBuffer
	guard := httpd.NewGuard(overload.LimitsFor(0, 0), clock.WallClock, log.NewLogfmtLogger(&lines))
	address := startServer(t, httpd.Server{Guard: guard, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		httpd.Identify(r.Context(), r.URL.Path[1:])
		io.WriteString(w, "begun")
		http.NewResponseController(w).Flush()
		if r.URL.Path == "/deliberate" {
			panic(http.ErrAbortHandler)
		}
		panic("out of order" + strings.Repeat(".", 100<<10))
	})})
	for _, id := range []string{"deliberate", "r1"} {
		c := dial(t, address)
		io.WriteString(c, "GET /"+id+" HTTP/1.1\r\nHost: h\r\n\r\n")
		if got, _ := io.ReadAll(c); !strings.Contains(string(got), "begun") || strings.Contains(string(got), "\r\n0\r\n") {
			t.Errorf("%q", got)
		}
	}
	text := lines.String()
	for _, want := range []string{`msg="Handler panics." id=r1 err="out of order...`, `msg="HTTP server reports an error." err="http: panic serving `} {
		if strings.Count(text, want) != 1 {
			t.Errorf("no line %s", want)
		}
	}
	if strings.Contains(text, "deliberate") || len(text) > 8<<10 {
		t.Errorf("%d bytes of log: %s", len(text), text[:min(len(text), 1000)])
	}
	if got := metricsOf(guard); !strings.Contains(got, "rosereach_handler_panics_total 1\n") {
		t.Error(got)
	}
}

// The stack of a panic is in the log.
func TestPanicIsLoggedWithItsStack(t *testing.T) {
	var lines lockedBuffer
	guard := httpd.NewGuard(overload.LimitsFor(0, 0), clock.WallClock, log.NewLogfmtLogger(&lines))
	address := startServer(t, httpd.Server{Guard: guard, Handler: http.HandlerFunc(panicInHandler)})
	c := dial(t, address)
	io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	io.Copy(io.Discard, c)
	if !strings.Contains(lines.String(), "panicInHandler") {
		t.Error(lines.String())
	}
}

func panicInHandler(http.ResponseWriter, *http.Request) { panic("lost") }
