package metrics

import (
	"expvar"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/juju/clock"
)

type (
	// Requests measures the HTTP requests of a control or an entry.
	Requests struct {
		// outcomeHeader is the name of the response header that holds a request's outcome.
		outcomeHeader string
		clock         clock.Clock
		logger        log.Logger
		statuses      *expvar.Map
		outcomes      *expvar.Map
		firstByte     *Histogram
		wholeAnswer   *Histogram
	}

	// recorder is a response writer that records the status and the time of the
	// first byte of the body.
	recorder struct {
		http.ResponseWriter
		clock       clock.Clock
		status      int
		firstByteAt time.Time
	}
)

// NewRequests adds the variables of HTTP requests to the set. OutcomeHeader is the
// response header that holds a request's outcome.
func NewRequests(s *Set, outcomeHeader string, logger log.Logger) *Requests {
	return &Requests{
		outcomeHeader: outcomeHeader, clock: s.clock, logger: logger,
		statuses: s.Counts("requests_by_status"), outcomes: s.Counts("requests_by_outcome"),
		firstByte: s.Histogram("first_byte"), wholeAnswer: s.Histogram("whole_answer"),
	}
}

// Measure returns a handler that measures and logs the requests to next. Upgraded
// connections, such as those between members, are not measured. The route is
// logged but no path, key or body, because they may hold callers' data.
func (m *Requests) Measure(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Upgrade") != "" {
			next.ServeHTTP(w, r)
			return
		}
		startTime := m.clock.Now()
		rec := &recorder{ResponseWriter: w, clock: m.clock}
		next.ServeHTTP(rec, r)
		duration := m.clock.Now().Sub(startTime)
		outcome := rec.Header().Get(m.outcomeHeader)
		m.statuses.Add(strconv.Itoa(rec.status), 1)
		if outcome != "" {
			m.outcomes.Add(outcome, 1)
		}
		m.wholeAnswer.Record(duration)
		if !rec.firstByteAt.IsZero() {
			m.firstByte.Record(rec.firstByteAt.Sub(startTime))
		}
		level.Debug(m.logger).Log(
			"msg", "Request ended.", "route", routeOf(r), "status", rec.status, "outcome", outcome, "took", duration)
	})
}

// WriteHeader records the status.
func (r *recorder) WriteHeader(status int) {
	if r.status == 0 {
		r.status = status
	}
	r.ResponseWriter.WriteHeader(status)
}

// Write records the time of the first byte.
func (r *recorder) Write(p []byte) (int, error) {
	if r.firstByteAt.IsZero() {
		r.firstByteAt = r.clock.Now()
	}
	if r.status == 0 {
		r.status = http.StatusOK
	}
	return r.ResponseWriter.Write(p)
}

// Unwrap returns the wrapped writer for http.ResponseController.
func (r *recorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// Flush sends buffered data to the client.
func (r *recorder) Flush() {
	http.NewResponseController(r.ResponseWriter).Flush() //nolint:errcheck // it fails when the client has disconnected
}

func routeOf(r *http.Request) string {
	if c := chi.RouteContext(r.Context()); c != nil {
		return r.Method + " " + c.RoutePattern()
	}
	return r.Method
}
