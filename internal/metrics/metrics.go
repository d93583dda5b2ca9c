// Package metrics provides counters, gauges and histograms as expvar variables,
// and helpers for Prometheus metrics. A Set is not published among expvar's global
// variables, so that several controls and entries can run in one process.
package metrics

import (
	"expvar"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/clock"
)

// Path is the HTTP path at which a Set is served.
const Path = "/debug/vars"

const (
	// windows and windowDuration set the time that percentiles cover.
	windows        = 5
	windowDuration = time.Minute

	// maxMicroseconds is the largest value of a histogram, in microseconds.
	maxMicroseconds = int64(time.Hour / time.Microsecond)

	// significantDigits is the number of significant decimal digits of a
	// histogram's values.
	significantDigits = 2
)

type (
	// Set holds the variables of one control or entry. It is safe for concurrent use.
	Set struct {
		clock clock.Clock
		vars  expvar.Map
	}

	// Histogram records durations over a sliding window of five minutes.
	Histogram struct {
		clock clock.Clock

		mu        sync.Mutex
		window    *hdrhistogram.WindowedHistogram
		rotatedAt time.Time
		total     int64
	}

	// Percentiles are the exported values of a histogram, in microseconds. Count
	// covers the time since the start, the others the last five minutes.
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

// Counts adds a map of counters under the name and returns it.
func (s *Set) Counts(name string) *expvar.Map {
	group := new(expvar.Map).Init()
	s.vars.Set(name, group)
	return group
}

// Gauge adds a variable whose value is what read returns at each request, as JSON.
func (s *Set) Gauge(name string, read func() any) { s.vars.Set(name, expvar.Func(read)) }

// Histogram adds a histogram under the name and returns it.
func (s *Set) Histogram(name string) *Histogram {
	h := &Histogram{clock: s.clock, window: hdrhistogram.NewWindowed(windows, 1, maxMicroseconds, significantDigits), rotatedAt: s.clock.Now()}
	s.vars.Set(name, expvar.Func(func() any { return h.Percentiles() }))
	return h
}

// ServeHTTP writes all variables as one JSON object.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	w.Write([]byte(s.vars.String()))
}

// Record records a duration. One of more than an hour is recorded as an hour.
func (h *Histogram) Record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rotate()
	h.total++
	h.window.Current.RecordValue(min(max(d.Microseconds(), 1), maxMicroseconds)) //nolint:errcheck // the value is in range
}

// Percentiles returns the percentiles of the recorded durations.
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

// rotate drops windows that are too old. Callers hold h.mu.
func (h *Histogram) rotate() {
	now := h.clock.Now()
	for range windows {
		if now.Sub(h.rotatedAt) < windowDuration {
			return
		}
		h.window.Rotate()
		h.rotatedAt = h.rotatedAt.Add(windowDuration)
	}
	h.rotatedAt = now
}
