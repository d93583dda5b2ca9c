package health

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// poolDecayTime is the time constant with which pooled attempts lose weight.
	poolDecayTime = 3 * time.Second

	// unreachableWindow is how long an entry's report that it cannot reach a server
	// counts, and unreachableEntries the number of entries that have to agree.
	unreachableWindow  = 2 * time.Second
	unreachableEntries = 2

	// An entry that misses minMissed servers at least, and more than maxMissedShare of
	// those that it tried in the window, is taken to be cut off.
	minMissed      = 3
	maxMissedShare = 2.0 / 3

	// A failing server fails more often than the rest of its service by
	// excessFailureRate, and minFailureRate is assumed for the rest at least.
	// failingLogLikelihood is the log-likelihood ratio from which a server counts
	// as failing.
	excessFailureRate    = 0.3
	minFailureRate       = 0.05
	failingLogLikelihood = 3.2

	// maxFailingShare is the maximum share of a service's servers that are reported
	// for their failure rate. Beyond it the service itself is the likelier cause.
	maxFailingShare = 1.0 / 3

	// minFailingTime is how long a verdict lasts at first. It doubles with each
	// repetition, maxDoublings times at most, as a flapping server fails again. After
	// stableTime without one it starts anew.
	minFailingTime = 2 * time.Second
	maxDoublings   = 2
	stableTime     = 10 * time.Second
)

type (
	// Sample holds one entry's attempts at one backend server since its last sample.
	Sample struct {
		_           struct{} `cbor:",toarray"`
		Server      string
		Incarnation uint64
		// Answers counts the answers, and Failures the attempts that failed at a
		// server that could be reached.
		Answers  uint32
		Failures uint32
		// Unreachable counts the attempts at which the server refused connections or
		// was silent on all of them.
		Unreachable uint32
		// Running and Waiting are the load that the server reported last, LoadAge is
		// the age of that report, negative if there is none.
		Running int
		Waiting int
		LoadAge time.Duration
	}

	// Verdict says that a backend server is failing compared to others of its service.
	// It should get requests only if no other can take them.
	Verdict struct {
		_           struct{} `cbor:",toarray"`
		Server      string
		Incarnation uint64
	}

	// LoadReport is the newest load report of one backend server.
	LoadReport struct {
		_       struct{} `cbor:",toarray"`
		Server  string
		Running int
		Waiting int
		Age     time.Duration
	}

	// Pool combines the attempts of many entries into one view of each backend
	// server. It answers a fleet in which each entry sends a server a request only
	// every ten seconds or more: what an entry sees of a server that crashed or fails
	// part of its requests is then too little to act on, while all entries together
	// see it within seconds. It is not safe for concurrent use.
	Pool struct {
		servers map[string]*pooledServer
		views   map[string]view // by entry
	}

	// view is what an entry last saw of each server, by its id.
	view map[string]observation

	observation struct {
		at     time.Time
		missed bool
	}

	pooledServer struct {
		incarnation   uint64
		updated       time.Time // when the counts were last decayed
		answers       float64
		failures      float64
		unreachableBy map[string]time.Time // by entry, since the last answer
		failingUntil  time.Time
		verdicts      int  // since the server was last stable
		failedAgain   bool // an attempt failed since the last verdict
		load          LoadReport
		loadAt        time.Time
		sampledAt     time.Time
		judgedBy      Evidence // of the last verdict
	}

	// Evidence is what the last verdict on a server was based on.
	Evidence struct {
		// Answers and Failures are the recent attempts, weighted by age.
		Answers  float64
		Failures float64
		// Unreachable is the number of entries that could not reach the server.
		Unreachable int
		// Age is the age of the newest of them.
		Age time.Duration

		sampledAt time.Time
	}

	// serviceTotals are the sums over all servers of a service.
	serviceTotals struct {
		servers, failing  int
		answers, failures float64
	}
)

// NewPool returns a pool without samples.
func NewPool() *Pool {
	return &Pool{servers: make(map[string]*pooledServer), views: make(map[string]view)}
}

// Add adds an entry's samples.
func (p *Pool) Add(now time.Time, entry string, samples []Sample) {
	for _, sample := range samples {
		s, ok := p.servers[sample.Server]
		if !ok || s.incarnation < sample.Incarnation {
			s = &pooledServer{incarnation: sample.Incarnation, updated: now, unreachableBy: make(map[string]time.Time)}
			p.servers[sample.Server] = s
		}
		if s.incarnation == sample.Incarnation {
			s.add(now, entry, sample)
		}
	}
	p.updateView(now, entry, samples)
}

// updateView updates an entry's view.
func (p *Pool) updateView(now time.Time, entry string, samples []Sample) {
	v, ok := p.views[entry]
	if !ok {
		v = make(view)
		p.views[entry] = v
	}
	for _, s := range samples {
		if s.Answers > 0 || s.Unreachable > 0 {
			v[s.Server] = observation{at: now, missed: s.Answers == 0}
		}
	}
}

// cutOffEntries returns the entries that are taken to be cut off, and forgets observations
// that are too old to count.
//
// It answers a partition of some entries from all servers, which the others go on using: each
// of them would report every server that it tries.
func (p *Pool) cutOffEntries(now time.Time) map[string]bool {
	cutOff := make(map[string]bool)
	for entry, v := range p.views {
		maps.DeleteFunc(v, func(_ string, o observation) bool { return now.Sub(o.at) >= unreachableWindow })
		if len(v) == 0 {
			delete(p.views, entry)
		} else if v.isCutOff() {
			cutOff[entry] = true
		}
	}
	return cutOff
}

// isCutOff reports whether an entry misses nearly all servers that it has tried: it is itself
// the likelier cause.
func (v view) isCutOff() bool {
	missed := 0
	for _, o := range v {
		if o.missed {
			missed++
		}
	}
	return missed >= minMissed && float64(missed) > maxMissedShare*float64(len(v))
}

// Verdicts returns the servers that are failing, ordered by id. ServiceOf returns a
// server's service, empty for a server that is gone, whose samples are dropped.
func (p *Pool) Verdicts(now time.Time, serviceOf func(server string) string) []Verdict {
	byService := make(map[string][]string)
	for id, s := range p.servers {
		service := serviceOf(id)
		if service == "" {
			delete(p.servers, id)
			continue
		}
		s.decay(now)
		byService[service] = append(byService[service], id)
	}
	cutOff := p.cutOffEntries(now)
	var verdicts []Verdict
	for _, ids := range byService {
		slices.Sort(ids)
		verdicts = append(verdicts, p.judge(now, ids, cutOff)...)
	}
	slices.SortFunc(verdicts, func(a, b Verdict) int { return cmp.Compare(a.Server, b.Server) })
	return verdicts
}

// Loads returns the newest load reports that are not older than maxAge.
func (p *Pool) Loads(now time.Time, maxAge time.Duration) []LoadReport {
	var loads []LoadReport
	for _, s := range p.servers {
		if age := now.Sub(s.loadAt); !s.loadAt.IsZero() && age <= maxAge {
			l := s.load
			l.Age = age
			loads = append(loads, l)
		}
	}
	return loads
}

// Evidence returns what the last verdict on a server was based on.
func (p *Pool) Evidence(now time.Time, server string) Evidence {
	s, ok := p.servers[server]
	if !ok {
		return Evidence{}
	}
	e := s.judgedBy
	e.Age = now.Sub(e.sampledAt)
	return e
}

// judge returns the verdicts on the servers of one service.
func (p *Pool) judge(now time.Time, ids []string, cutOff map[string]bool) []Verdict {
	t := p.totals(now, ids)
	var verdicts []Verdict
	for _, id := range ids {
		s := p.servers[id]
		switch {
		case now.Before(s.failingUntil):
		case s.isUnreachable(now, cutOff), s.isFailing(t) && float64(t.failing+1) <= maxFailingShare*float64(t.servers):
			s.eject(now)
			t.failing++
		}
		if now.Before(s.failingUntil) {
			verdicts = append(verdicts, Verdict{Server: id, Incarnation: s.incarnation})
		}
	}
	return verdicts
}

func (p *Pool) totals(now time.Time, ids []string) serviceTotals {
	t := serviceTotals{servers: len(ids)}
	for _, id := range ids {
		s := p.servers[id]
		if now.Before(s.failingUntil) {
			t.failing++
		}
		t.answers += s.answers
		t.failures += s.failures
	}
	return t
}

func (s *pooledServer) add(now time.Time, entry string, sample Sample) {
	s.decay(now)
	s.sampledAt = now
	s.answers += float64(sample.Answers)
	s.failures += float64(sample.Failures)
	s.failedAgain = s.failedAgain || sample.Failures > 0
	switch {
	case sample.Answers > 0:
		clear(s.unreachableBy)
	case sample.Unreachable > 0:
		s.unreachableBy[entry] = now
	}
	if at := now.Add(-sample.LoadAge); sample.LoadAge >= 0 && at.After(s.loadAt) {
		s.loadAt = at
		s.load = LoadReport{Server: sample.Server, Running: sample.Running, Waiting: sample.Waiting}
	}
}

// isUnreachable reports whether enough entries that reach others could not reach the
// server and none has had an answer since.
func (s *pooledServer) isUnreachable(now time.Time, cutOff map[string]bool) bool {
	n := 0
	for entry, at := range s.unreachableBy {
		if now.Sub(at) < unreachableWindow && !cutOff[entry] {
			n++
		}
	}
	return n >= unreachableEntries
}

// isFailing reports whether the server fails more of its requests than the others, by
// a likelihood ratio test.
func (s *pooledServer) isFailing(t serviceTotals) bool {
	if !s.failedAgain {
		return false
	}
	others := t.answers + t.failures - s.answers - s.failures
	good := min(max((t.failures-s.failures)/max(others, 1), minFailureRate), 1-excessFailureRate-0.05)
	bad := good + excessFailureRate
	return s.failures*math.Log(bad/good)+s.answers*math.Log((1-bad)/(1-good)) > failingLogLikelihood
}

// eject makes the server count as failing for a while. The next verdict needs another
// failure.
func (s *pooledServer) eject(now time.Time) {
	if now.After(s.failingUntil.Add(stableTime)) {
		s.verdicts = 0
	}
	s.judgedBy = Evidence{Answers: s.answers, Failures: s.failures, Unreachable: len(s.unreachableBy), sampledAt: s.sampledAt}
	s.failingUntil = now.Add(minFailingTime << min(s.verdicts, maxDoublings))
	s.verdicts++
	s.failedAgain = false
	clear(s.unreachableBy)
}

func (s *pooledServer) decay(now time.Time) {
	if elapsed := now.Sub(s.updated); elapsed > 0 {
		weight := decayed(elapsed, poolDecayTime)
		s.answers *= weight
		s.failures *= weight
		s.updated = now
	}
}
