// Package metrics holds the counters, gauges and histograms of one process as
// expvar variables. A Set is not published under the program's global
// variables, so that several parts can run in one process.
package metrics

import (
	"expvar"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/clock"
)

// Path is where a Set is served.
const Path = "/debug/vars"

const (
	// windows and windowTime set how far back percentiles look.
	windows    = 5
	windowTime = time.Minute

	// longest bounds the times that a histogram tells apart, in microseconds.
	longest = int64(time.Hour / time.Microsecond)

	// digits is the number of significant digits of a histogram.
	digits = 2
)

type (
	// Set is the variables of one part. It is safe for concurrent use.
	Set struct {
		clock clock.Clock
		vars  expvar.Map
	}

	// Histogram counts times over the last minutes.
	Histogram struct {
		clock clock.Clock

		mu      sync.Mutex
		window  *hdrhistogram.WindowedHistogram
		rotated time.Time
		total   int64
	}

	// Percentiles is what a histogram shows. Times are in microseconds. Count
	// is since the start, all else over the last five minutes.
	Percentiles struct {
		Count int64 `json:"count"`
		P50   int64 `json:"p50_us"`
		P95   int64 `json:"p95_us"`
		P99   int64 `json:"p99_us"`
		Max   int64 `json:"max_us"`
	}
)

// NewSet returns an empty set.
func NewSet(c clock.Clock) *Set { return &Set{clock: c} }

// Count adds to a counter.
func (s *Set) Count(name string, n int64) { s.vars.Add(name, n) }

// Counts returns a group of counters with a common name.
func (s *Set) Counts(name string) *expvar.Map {
	group := new(expvar.Map).Init()
	s.vars.Set(name, group)
	return group
}

// Gauge shows what read returns at the time of asking, as JSON.
func (s *Set) Gauge(name string, read func() any) { s.vars.Set(name, expvar.Func(read)) }

// Histogram returns a new histogram that is shown under the name.
func (s *Set) Histogram(name string) *Histogram {
	h := &Histogram{clock: s.clock, window: hdrhistogram.NewWindowed(windows, 1, longest, digits), rotated: s.clock.Now()}
	s.vars.Set(name, expvar.Func(func() any { return h.Percentiles() }))
	return h
}

// ServeHTTP answers with all variables as one JSON object.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	w.Write([]byte(s.vars.String()))
}

// Record counts a time. Longer ones than an hour count as an hour.
func (h *Histogram) Record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rotate()
	h.total++
	h.window.Current.RecordValue(min(max(d.Microseconds(), 1), longest)) //nolint:errcheck // the value is in range
}

// Percentiles returns what was recorded.
func (h *Histogram) Percentiles() Percentiles {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rotate()
	merged := h.window.Merge()
	return Percentiles{
		Count: h.total, P50: merged.ValueAtQuantile(50), P95: merged.ValueAtQuantile(95),
		P99: merged.ValueAtQuantile(99), Max: merged.Max(),
	}
}

// rotate forgets windows that are too old. Callers hold h.mu.
func (h *Histogram) rotate() {
	now := h.clock.Now()
	for range windows {
		if now.Sub(h.rotated) < windowTime {
			return
		}
		h.window.Rotate()
		h.rotated = h.rotated.Add(windowTime)
	}
	h.rotated = now
}
