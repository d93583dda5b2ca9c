// Package speed learns how fast backend servers are, apart from the pace of their machines
// at a moment.
package speed

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// retention is the time constant with which what servers told loses weight: a lasting
	// speed changes with the server's machine, not with its load.
	retention = 30 * time.Second

	// minWeight is the number of answers from which on an estimate is told. The pace of a
	// machine is unusual in some of its answers, so that fewer may all be unusual.
	minWeight = 5

	// Slowdowns are counted in steps of a factor of about 1.1 between minLog and maxLog,
	// natural logarithms.
	step   = 0.1
	maxLog = 1.6
	steps  = 33 // 2*maxLog/step + 1

	// changed is how far an estimate has to move before it is told again. Estimates that
	// follow every answer would move the homes of prompt parts.
	changed = 0.15

	// maxFigures is the number of slowdowns of a server that an entry reports at once.
	maxFigures = 16
)

type (
	// Sample holds what a server told one entry since its last sample.
	Sample struct {
		Server      string `json:"server"`
		Incarnation uint64 `json:"incarnation"`
		// Slowdowns are how long work took on the server's machine when it answered, as
		// logarithms in steps, see step.
		Slowdowns []int8 `json:"slowdowns"`
	}

	// Estimate is how long work usually takes at a server, as a natural logarithm: above 0
	// for a slow one.
	Estimate struct {
		Server      string  `json:"server"`
		Incarnation uint64  `json:"incarnation"`
		LogRatio    float64 `json:"log_ratio"`
	}

	// Recorder collects what servers tell one entry until it is sent. It is not safe for
	// concurrent use.
	Recorder struct{ samples map[string]Sample }

	// Pool combines what servers told many entries into estimates. It is not safe for
	// concurrent use.
	//
	// It answers servers of lasting speeds of which each entry has an answer every ten
	// seconds or more, on machines whose pace changes many times a second: an entry alone
	// learns too late, and what it learns is mostly pace. The usual pace is the median of
	// what a server told everyone. Times of answers say less: they scatter by a factor of
	// two, and fast servers that get more work take as long as slow ones.
	Pool struct {
		servers map[string]*pooled
		version uint64
	}

	pooled struct {
		incarnation uint64
		counts      [steps]float64
		weight      float64
		updated     time.Time
		told        float64 // estimate as it was told last
		isTold      bool
		toldVersion uint64
	}
)

// NewRecorder returns a recorder without answers.
func NewRecorder() *Recorder { return &Recorder{samples: make(map[string]Sample)} }

// Record records how long work takes on a server's machine, relative to the average of its
// service, as the server tells with an answer. Values that are not above 0 tell nothing.
func (r *Recorder) Record(server string, incarnation uint64, slowdown float64) {
	if !(slowdown > 0) || math.IsInf(slowdown, 0) {
		return
	}
	s := r.samples[server]
	if s.Incarnation != incarnation {
		s = Sample{Server: server, Incarnation: incarnation}
	}
	if len(s.Slowdowns) == maxFigures {
		s.Slowdowns = s.Slowdowns[1:]
	}
	s.Slowdowns = append(s.Slowdowns, int8(math.Round(min(max(math.Log(slowdown), -maxLog), maxLog)/step)))
	r.samples[server] = s
}

// Take returns the samples since the last call, ordered by server.
func (r *Recorder) Take() []Sample {
	if len(r.samples) == 0 {
		return nil
	}
	taken := make([]Sample, 0, len(r.samples))
	for _, s := range r.samples {
		taken = append(taken, s)
	}
	slices.SortFunc(taken, func(a, b Sample) int { return cmp.Compare(a.Server, b.Server) })
	clear(r.samples)
	return taken
}

// NewPool returns a pool without answers.
func NewPool() *Pool { return &Pool{servers: make(map[string]*pooled)} }

// Version increases when an estimate changes.
func (p *Pool) Version() uint64 { return p.version }

// Add adds the samples of an entry.
func (p *Pool) Add(now time.Time, samples []Sample) {
	for _, sample := range samples {
		s, ok := p.servers[sample.Server]
		if !ok || s.incarnation < sample.Incarnation {
			s = &pooled{incarnation: sample.Incarnation, updated: now}
			p.servers[sample.Server] = s
		}
		if s.incarnation != sample.Incarnation {
			continue
		}
		s.decay(now)
		for _, figure := range sample.Slowdowns[:min(len(sample.Slowdowns), maxFigures)] {
			s.counts[min(max(int(figure)+steps/2, 0), steps-1)]++
			s.weight++
		}
	}
}

// Judge updates the estimates and forgets the servers for which isKnown returns false.
func (p *Pool) Judge(now time.Time, isKnown func(server string) bool) {
	isNews := false
	for id, s := range p.servers {
		if !isKnown(id) {
			delete(p.servers, id)
			continue
		}
		if s.decay(now); s.weight >= minWeight && s.tell() {
			s.toldVersion = p.version + 1
			isNews = true
		}
	}
	if isNews {
		p.version++
	}
}

// Since returns the estimates that changed after a version, ordered by server.
func (p *Pool) Since(version uint64) []Estimate {
	var estimates []Estimate
	for id, s := range p.servers {
		if s.isTold && s.toldVersion > version {
			estimates = append(estimates, Estimate{Server: id, Incarnation: s.incarnation, LogRatio: s.told})
		}
	}
	slices.SortFunc(estimates, func(a, b Estimate) int { return cmp.Compare(a.Server, b.Server) })
	return estimates
}

// median returns the weighted median of the slowdowns, as a natural logarithm.
func (s *pooled) median() float64 {
	sum := 0.0
	for i, n := range s.counts {
		if sum += n; sum >= s.weight/2 {
			return float64(i-steps/2) * step
		}
	}
	return 0
}

// tell sets the estimate that is told if it has moved far enough, and reports whether it did.
func (s *pooled) tell() bool {
	estimate := s.median()
	if s.isTold && math.Abs(estimate-s.told) < changed {
		return false
	}
	isNews := s.isTold || estimate != 0
	s.isTold, s.told = true, estimate
	return isNews
}

func (s *pooled) decay(now time.Time) {
	elapsed := now.Sub(s.updated)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp(-elapsed.Seconds() / retention.Seconds())
	for i := range s.counts {
		s.counts[i] *= factor
	}
	s.weight *= factor
	s.updated = now
}
