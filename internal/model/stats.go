package model

import (
	"math"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"
)

type (
	// Stats holds the results that callers observed. Times are in seconds.
	Stats struct {
		First    []float64
		Waits    []float64
		ByFlow   map[string][]float64
		Sent     int
		Attempts int
		Done     int
		InTime   int
		Tokens   int
		Refused  int
		Early    int
		// Ends lists the ends of all requests, in order of time.
		Ends []End
	}

	// End is the end of one request: done in time, done late or refused.
	End struct {
		At       time.Time
		Came     time.Time
		Priority int
		InTime   bool
		Refused  bool
	}

	// Swing accumulates samples of the standard deviation of load over the
	// engines.
	Swing struct {
		sum float64
		n   int
	}
)

// Count restricts the statistics to the calls for which include returns true.
func (f *Fleet) Count(include func(*Call) bool) { f.counted = include }

// Reset clears all statistics, for example at the end of a warm-up.
func (f *Fleet) Reset() {
	f.Stats = Stats{}
	f.asked, f.repeats = 0, 0
	for _, e := range f.engines {
		e.input, e.hits = 0, 0
	}
	for _, l := range f.links {
		l.bytes = 0
	}
}

// HitRate returns the share of prompt tokens that engines found in their caches.
func (f *Fleet) HitRate() float64 {
	var input, hits int64
	for _, e := range f.engines {
		i, h := e.HitTokens()
		input += i
		hits += h
	}
	return float64(hits) / float64(max(input, 1))
}

// BestHitRate returns the hit rate of a single unlimited cache shared by all
// engines. It is an upper bound for every placement.
func (f *Fleet) BestHitRate() float64 { return float64(f.repeats) / float64(max(f.asked, 1)) }

func (f *Fleet) remember(prompt []Segment) {
	for _, s := range prompt {
		f.asked += s.Tokens
		if f.known[s.Key] {
			f.repeats += s.Tokens
		}
		f.known[s.Key] = true
	}
}

// LinkBytes returns the bytes sent over the link between regions, in both
// directions.
func (f *Fleet) LinkBytes() int64 {
	var n int64
	for _, l := range f.links {
		n += l.Bytes()
	}
	return n
}

// WatchSwing samples the standard deviation of load over the engines every
// 100 ms.
func (f *Fleet) WatchSwing(s *Swing) {
	const interval = 100 * time.Millisecond
	var mean float64
	for _, e := range f.engines {
		mean += float64(e.InFlight()) / float64(len(f.engines))
	}
	var variance float64
	for _, e := range f.engines {
		variance += math.Pow(float64(e.InFlight())-mean, 2) / float64(len(f.engines))
	}
	s.sum += math.Sqrt(variance)
	s.n++
	f.Clock.After(interval, func() { f.WatchSwing(s) })
}

// Mean returns the mean over time of the standard deviation over engines, in
// requests in flight.
func (s *Swing) Mean() float64 { return s.sum / float64(max(s.n, 1)) }

// Quantile returns the p-quantile of the values, or 0 if there are none.
func Quantile(p float64, values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return stat.Quantile(p, stat.Empirical, sorted, nil)
}

func (s *Stats) first(c *Call, took time.Duration) {
	s.First = append(s.First, took.Seconds())
	if s.ByFlow == nil {
		s.ByFlow = make(map[string][]float64)
	}
	s.ByFlow[c.Workspace] = append(s.ByFlow[c.Workspace], took.Seconds())
}

func (s *Stats) end(c *Call, now time.Time) {
	s.Done++
	inTime := c.Deadline.IsZero() || !now.After(c.Deadline)
	if inTime {
		s.InTime++
		s.Tokens += c.Output
	}
	s.Ends = append(s.Ends, End{At: now, Came: c.At, Priority: c.Priority, InTime: inTime})
}

func (s *Stats) refuse(c *Call, now time.Time, onArrival bool) {
	s.Refused++
	if onArrival {
		s.Early++
	}
	s.Ends = append(s.Ends, End{At: now, Came: c.At, Priority: c.Priority, Refused: true})
}
