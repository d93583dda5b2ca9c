package model

import (
	"math"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"
)

type (
	// Stats are what callers saw. Times are in seconds.
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
		// Ends are the ends of all requests, in order of time.
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

	// Swing follows the spread of load over engines.
	Swing struct {
		sum float64
		n   int
	}
)

// Count makes the fleet count only the calls that fits returns true for.
func (f *Fleet) Count(fits func(*Call) bool) { f.counted = fits }

// Reset forgets all counts so far, at the end of a warm-up.
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

// HitRate returns the share of prompt tokens that engines found in caches.
func (f *Fleet) HitRate() float64 {
	var input, hits int64
	for _, e := range f.engines {
		i, h := e.HitTokens()
		input += i
		hits += h
	}
	return float64(hits) / float64(max(input, 1))
}

// BestHitRate returns the hit rate of one cache without limit that all
// engines share, the best that any placement could reach.
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

// LinkBytes returns the bytes sent over the link between regions, both ways.
func (f *Fleet) LinkBytes() int64 {
	var n int64
	for _, l := range f.links {
		n += l.Bytes()
	}
	return n
}

// WatchSwing samples the spread of load over the engines.
func (f *Fleet) WatchSwing(s *Swing) {
	const every = 100 * time.Millisecond
	var mean float64
	for _, e := range f.engines {
		mean += float64(e.InFlight()) / float64(len(f.engines))
	}
	var square float64
	for _, e := range f.engines {
		square += math.Pow(float64(e.InFlight())-mean, 2) / float64(len(f.engines))
	}
	s.sum += math.Sqrt(square)
	s.n++
	f.Clock.After(every, func() { f.WatchSwing(s) })
}

// Mean returns the mean over time of the standard deviation over engines, in
// requests.
func (s *Swing) Mean() float64 { return s.sum / float64(max(s.n, 1)) }

// Quantile returns the p-quantile of the values, or 0 without any.
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

func (s *Stats) refuse(c *Call, now time.Time, early bool) {
	s.Refused++
	if early {
		s.Early++
	}
	s.Ends = append(s.Ends, End{At: now, Came: c.At, Priority: c.Priority, Refused: true})
}
