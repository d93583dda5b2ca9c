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
	// Requests measures the requests of a part's HTTP routes. Outcome names
	// the header that tells a request's outcome.
	Requests struct {
		outcome  string
		clock    clock.Clock
		logger   log.Logger
		statuses *expvar.Map
		outcomes *expvar.Map
		first    *Histogram
		whole    *Histogram
	}

	// recorder notes status and time of an answer's first byte.
	recorder struct {
		http.ResponseWriter
		clock  clock.Clock
		status int
		first  time.Time
	}
)

// NewRequests adds the variables of HTTP requests to the set.
func NewRequests(s *Set, outcomeHeader string, logger log.Logger) *Requests {
	return &Requests{
		outcome: outcomeHeader, clock: s.clock, logger: logger,
		statuses: s.Counts("requests_by_status"), outcomes: s.Counts("requests_by_outcome"),
		first: s.Histogram("first_byte"), whole: s.Histogram("whole_answer"),
	}
}

// Measure wraps the routes of a handler. Connections that are upgraded, such
// as members', are not measured. Neither paths nor keys nor bodies are logged:
// a path may hold what a caller wrote.
func (m *Requests) Measure(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Upgrade") != "" {
			next.ServeHTTP(w, r)
			return
		}
		began := m.clock.Now()
		rec := &recorder{ResponseWriter: w, clock: m.clock}
		next.ServeHTTP(rec, r)
		took := m.clock.Now().Sub(began)
		outcome := rec.Header().Get(m.outcome)
		m.statuses.Add(strconv.Itoa(rec.status), 1)
		if outcome != "" {
			m.outcomes.Add(outcome, 1)
		}
		m.whole.Record(took)
		if !rec.first.IsZero() {
			m.first.Record(rec.first.Sub(began))
		}
		level.Debug(m.logger).Log(
			"msg", "Request ended.", "route", routeOf(r), "status", rec.status, "outcome", outcome, "took", took)
	})
}

// WriteHeader notes the status.
func (r *recorder) WriteHeader(status int) {
	if r.status == 0 {
		r.status = status
	}
	r.ResponseWriter.WriteHeader(status)
}

// Write notes the time of the first byte.
func (r *recorder) Write(p []byte) (int, error) {
	if r.first.IsZero() {
		r.first = r.clock.Now()
	}
	if r.status == 0 {
		r.status = http.StatusOK
	}
	return r.ResponseWriter.Write(p)
}

// Unwrap gives http.ResponseController the writer below.
func (r *recorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// Flush sends what was written.
func (r *recorder) Flush() {
	http.NewResponseController(r.ResponseWriter).Flush() //nolint:errcheck // the caller has gone
}

func routeOf(r *http.Request) string {
	if c := chi.RouteContext(r.Context()); c != nil {
		return r.Method + " " + c.RoutePattern()
	}
	return r.Method
}
