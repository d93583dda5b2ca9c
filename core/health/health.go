// Package health implements passive health checks (outlier detection) of backend
// servers. A server with consecutive failures is ejected for a while, then probed
// with one request at a time; each further ejection lasts longer.
package health

import (
	"math"
	"time"
)

const (
	// memory is the time constant of the exponential decay of attempts.
	memory = 4 * time.Second

	// leastPause and maxEjection bound the ejection time: about one restart, and a
	// fraction of a minute for a server that flaps.
	leastPause = 500 * time.Millisecond
	mostPause  = 8 * time.Second

	// streakLimit is the number of consecutive failures that eject a server.
	streakLimit = 2

	// shareLimit is the failure rate above which a server is avoided while
	// others serve.
	shareLimit = 0.3

	// leastWeight is the decayed number of attempts below which the failure rate
	// is not reported.
	leastWeight = 4
)

type (
	// Tracker holds one entry's view of the health of backend servers. It is not
	// safe for concurrent use.
	Tracker struct {
		servers map[string]*seen
	}

	// seen is the state of one server. Attempts and failures decay with time.
	seen struct {
		at       time.Time // when the counts were last decayed
		attempts float64
		failures float64
		streak   int       // failures since the last success
		falls    int       // ejections since the server was last stable
		until    time.Time // end of the ejection
		probing  bool      // a probe is in flight
	}
)

// NewTracker returns a tracker without servers.
func NewTracker() *Tracker { return &Tracker{servers: make(map[string]*seen)} }

// Succeed records a successful attempt.
func (t *Tracker) Succeed(now time.Time, server string) {
	s := t.of(now, server)
	s.attempts++
	s.streak = 0
	s.probing = false
	if s.falls > 0 && now.After(s.until.Add(mostPause)) {
		s.falls = 0
	}
}

// Fail records a failed attempt. A hard failure, such as a connection that
// cannot be opened, ejects the server at once.
func (t *Tracker) Fail(now time.Time, server string, hard bool) {
	s := t.of(now, server)
	s.attempts++
	s.failures++
	s.streak++
	s.probing = false
	if !hard && s.streak < streakLimit {
		return
	}
	if now.Before(s.until) {
		return
	}
	ejection := min(leastPause<<min(s.falls, 6), mostPause)
	s.falls++
	s.until = now.Add(ejection)
}

// Try records that a request is sent to the server. If the server was ejected,
// the request is its probe.
func (t *Tracker) Try(server string) {
	if s, ok := t.servers[server]; ok && s.falls > 0 {
		s.probing = true
	}
}

// MayTry reports whether the server may get a request now: it is not ejected, or
// its ejection has ended and no probe is in flight.
func (t *Tracker) MayTry(now time.Time, server string) bool {
	s, ok := t.servers[server]
	if !ok || s.streak == 0 {
		return true
	}
	return !now.Before(s.until) && (s.falls == 0 || !s.probing)
}

// Share returns the failure rate of recent attempts, 0 to 1, or 0 while there
// were too few.
func (t *Tracker) Share(now time.Time, server string) float64 {
	s, ok := t.servers[server]
	if !ok {
		return 0
	}
	s.fade(now)
	if s.attempts < leastWeight {
		return 0
	}
	return s.failures / s.attempts
}

// IsGrey reports whether the server is degraded: its failure rate is above 30%.
func (t *Tracker) IsGrey(now time.Time, server string) bool { return t.Share(now, server) > shareLimit }

// Keep removes all servers for which isKnown returns false.
func (t *Tracker) Keep(isKnown func(server string) bool) {
	for id := range t.servers {
		if !isKnown(id) {
			delete(t.servers, id)
		}
	}
}

// of returns the state of the server, which is created when it is missing.
func (t *Tracker) of(now time.Time, server string) *seen {
	s, ok := t.servers[server]
	if !ok {
		s = &seen{at: now}
		t.servers[server] = s
	}
	s.fade(now)
	return s
}

// fade decays the counts.
func (s *seen) fade(now time.Time) {
	if elapsed := now.Sub(s.at); elapsed > 0 {
		decay := math.Exp(-elapsed.Seconds() / memory.Seconds())
		s.attempts *= decay
		s.failures *= decay
		s.at = now
	}
}
