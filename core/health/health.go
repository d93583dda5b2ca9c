// Package health implements passive health checks (outlier detection) of backend
// servers. A server with consecutive failures is ejected for a while, then probed
// with one request at a time; each further ejection lasts longer.
package health

import (
	"math"
	"time"
)

const (
	// decayTime is the time constant of the exponential decay of attempts.
	decayTime = 4 * time.Second

	// minEjection and maxEjection bound the ejection time. A server restarts in
	// about minEjection; one that flaps is ejected for longer, up to
	// maxEjection.
	minEjection = 500 * time.Millisecond
	maxEjection = 8 * time.Second

	// consecutiveFailureLimit is the number of consecutive failures that eject a server.
	consecutiveFailureLimit = 2

	// degradedFailureRate is the failure rate above which a server gets requests
	// only if no better one is available.
	degradedFailureRate = 0.3

	// minAttempts is the decayed number of attempts below which the failure rate
	// is not reported.
	minAttempts = 4
)

type (
	// Tracker holds one entry's view of the health of backend servers. It is not
	// safe for concurrent use.
	Tracker struct {
		servers map[string]*serverState
	}

	// serverState is the state of one server. Attempts and failures decay with time.
	serverState struct {
		updated             time.Time // when the counts were last decayed
		attempts            float64
		failures            float64
		consecutiveFailures int       // failures since the last success
		ejections           int       // ejections since the server was last stable
		ejectedUntil        time.Time // end of the ejection
		probing             bool      // a probe is in flight
	}
)

// NewTracker returns a tracker without servers.
func NewTracker() *Tracker { return &Tracker{servers: make(map[string]*serverState)} }

// RecordSuccess records a successful attempt.
func (t *Tracker) RecordSuccess(now time.Time, server string) {
	s := t.state(now, server)
	s.attempts++
	s.consecutiveFailures = 0
	s.probing = false
	if s.ejections > 0 && now.After(s.ejectedUntil.Add(maxEjection)) {
		s.ejections = 0
	}
}

// RecordFailure records a failed attempt. A hard failure, such as a connection that
// cannot be opened, ejects the server at once.
func (t *Tracker) RecordFailure(now time.Time, server string, hard bool) {
	s := t.state(now, server)
	s.attempts++
	s.failures++
	s.consecutiveFailures++
	s.probing = false
	if !hard && s.consecutiveFailures < consecutiveFailureLimit {
		return
	}
	if now.Before(s.ejectedUntil) {
		return
	}
	ejection := min(minEjection<<min(s.ejections, 6), maxEjection)
	s.ejections++
	s.ejectedUntil = now.Add(ejection)
}

// RecordAttempt records that a request is sent to the server. If the server was ejected,
// the request is its probe.
func (t *Tracker) RecordAttempt(server string) {
	if s, ok := t.servers[server]; ok && s.ejections > 0 {
		s.probing = true
	}
}

// IsAvailable reports whether the server may get a request now: it is not ejected, or
// its ejection has ended and no probe is in flight.
func (t *Tracker) IsAvailable(now time.Time, server string) bool {
	s, ok := t.servers[server]
	if !ok || s.consecutiveFailures == 0 {
		return true
	}
	return !now.Before(s.ejectedUntil) && (s.ejections == 0 || !s.probing)
}

// FailureRate returns the failure rate of recent attempts, 0 to 1, or 0 while there
// were too few.
func (t *Tracker) FailureRate(now time.Time, server string) float64 {
	s, ok := t.servers[server]
	if !ok {
		return 0
	}
	s.decay(now)
	if s.attempts < minAttempts {
		return 0
	}
	return s.failures / s.attempts
}

// IsDegraded reports whether the server's failure rate is above degradedFailureRate.
func (t *Tracker) IsDegraded(now time.Time, server string) bool {
	return t.FailureRate(now, server) > degradedFailureRate
}

// Forget removes a server.
func (t *Tracker) Forget(server string) { delete(t.servers, server) }

// Retain removes all servers for which isKnown returns false.
func (t *Tracker) Retain(isKnown func(server string) bool) {
	for id := range t.servers {
		if !isKnown(id) {
			delete(t.servers, id)
		}
	}
}

// state returns the state of the server, which is created when it is missing.
func (t *Tracker) state(now time.Time, server string) *serverState {
	s, ok := t.servers[server]
	if !ok {
		s = &serverState{updated: now}
		t.servers[server] = s
	}
	s.decay(now)
	return s
}

// decay decays the counts.
func (s *serverState) decay(now time.Time) {
	if elapsed := now.Sub(s.updated); elapsed > 0 {
		weight := decayed(elapsed, decayTime)
		s.attempts *= weight
		s.failures *= weight
		s.updated = now
	}
}

// decayed returns the weight of an attempt after a while, for a time constant.
func decayed(elapsed, timeConstant time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / timeConstant.Seconds())
}
