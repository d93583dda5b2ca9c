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
		FirstToken            []float64
		QueueWaits            []float64
		FirstTokenByWorkspace map[string][]float64
		Sent                  int
		Attempts              int
		Done                  int
		InTime                int
		Tokens                int
		Refused               int
		RefusedOnArrival      int
		// Ends lists the ends of all requests, in order of time.
		Ends []End
	}

	// End is the end of one request: done in time, done late or refused.
	End struct {
		EndedAt   time.Time
		ArrivedAt time.Time
		Priority  int
		InTime    bool
		Refused   bool
	}

	// Imbalance accumulates samples of the standard deviation of load over the
	// engines.
	Imbalance struct {
		sum float64
		n   int
	}
)

// CountOnly restricts the statistics to the calls for which include returns true.
func (f *Fleet) CountOnly(include func(*Call) bool) { f.include = include }

// ResetStats clears all statistics, for example at the end of a warm-up.
func (f *Fleet) ResetStats() {
	f.Stats = Stats{}
	f.requestedTokens, f.repeatedTokens = 0, 0
	for _, e := range f.engines {
		e.inputTokens, e.hitTokens = 0, 0
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
func (f *Fleet) BestHitRate() float64 {
	return float64(f.repeatedTokens) / float64(max(f.requestedTokens, 1))
}

func (f *Fleet) recordPrompt(prompt []Segment) {
	for _, s := range prompt {
		f.requestedTokens += s.Tokens
		if f.seenPrefixes[s.Key] {
			f.repeatedTokens += s.Tokens
		}
		f.seenPrefixes[s.Key] = true
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

// SampleImbalance samples the standard deviation of load over the engines every
// 100 ms.
func (f *Fleet) SampleImbalance(i *Imbalance) {
	const interval = 100 * time.Millisecond
	var mean float64
	for _, e := range f.engines {
		mean += float64(e.InFlight()) / float64(len(f.engines))
	}
	var variance float64
	for _, e := range f.engines {
		variance += math.Pow(float64(e.InFlight())-mean, 2) / float64(len(f.engines))
	}
	i.sum += math.Sqrt(variance)
	i.n++
	f.Clock.After(interval, func() { f.SampleImbalance(i) })
}

// Mean returns the mean over time of the standard deviation over engines, in
// requests in flight.
func (i *Imbalance) Mean() float64 { return i.sum / float64(max(i.n, 1)) }

// Quantile returns the p-quantile of the values, or 0 if there are none.
func Quantile(p float64, values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return stat.Quantile(p, stat.Empirical, sorted, nil)
}

func (s *Stats) recordFirstToken(c *Call, took time.Duration) {
	s.FirstToken = append(s.FirstToken, took.Seconds())
	if s.FirstTokenByWorkspace == nil {
		s.FirstTokenByWorkspace = make(map[string][]float64)
	}
	s.FirstTokenByWorkspace[c.Workspace] = append(s.FirstTokenByWorkspace[c.Workspace], took.Seconds())
}

func (s *Stats) recordEnd(c *Call, now time.Time) {
	s.Done++
	inTime := c.Deadline.IsZero() || !now.After(c.Deadline)
	if inTime {
		s.InTime++
		s.Tokens += c.OutputTokens
	}
	s.Ends = append(s.Ends, End{EndedAt: now, ArrivedAt: c.ArrivedAt, Priority: c.Priority, InTime: inTime})
}

func (s *Stats) recordRefusal(c *Call, now time.Time, onArrival bool) {
	s.Refused++
	if onArrival {
		s.RefusedOnArrival++
	}
	s.Ends = append(s.Ends, End{EndedAt: now, ArrivedAt: c.ArrivedAt, Priority: c.Priority, Refused: true})
}
