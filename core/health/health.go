// Package health judges backend servers by how the attempts at them went. A
// server that fails again and again is passed over, tried again after a while
// with single requests, and for longer the more often it fell back.
package health

import (
	"math"
	"time"
)

const (
	// memory is how far back attempts count.
	memory = 4 * time.Second

	// leastPause and mostPause bound how long a failing server is passed over:
	// about one restart, and a fraction of a minute for one that flaps.
	leastPause = 500 * time.Millisecond
	mostPause  = 8 * time.Second

	// streakLimit failures in a row pass a server over; shareLimit is the share
	// of failures from which it is avoided while others serve.
	streakLimit = 2
	shareLimit  = 0.3

	// leastWeight is how many recent attempts a share is worth something from.
	leastWeight = 4
)

type (
	// Tracker holds what one entry saw. It is not safe for concurrent use.
	Tracker struct {
		servers map[string]*seen
	}

	seen struct {
		at       time.Time
		attempts float64
		failures float64
		streak   int
		falls    int
		until    time.Time
		probing  bool
	}
)

// NewTracker returns a tracker that has seen nothing.
func NewTracker() *Tracker { return &Tracker{servers: make(map[string]*seen)} }

// Succeed notes an attempt that was answered.
func (t *Tracker) Succeed(now time.Time, server string) {
	s := t.of(now, server)
	s.attempts++
	s.streak = 0
	s.probing = false
	if s.falls > 0 && now.After(s.until.Add(mostPause)) {
		s.falls = 0
	}
}

// Fail notes an attempt that the server failed. A hard failure, such as a
// connection that cannot be opened, passes the server over at once.
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
	pause := min(leastPause<<min(s.falls, 6), mostPause)
	s.falls++
	s.until = now.Add(pause)
}

// Try notes that a request goes to the server, which is the probe of one that
// was passed over.
func (t *Tracker) Try(server string) {
	if s, ok := t.servers[server]; ok && s.falls > 0 {
		s.probing = true
	}
}

// MayTry reports whether the server may get a request now.
func (t *Tracker) MayTry(now time.Time, server string) bool {
	s, ok := t.servers[server]
	if !ok || s.streak == 0 {
		return true
	}
	return !now.Before(s.until) && (s.falls == 0 || !s.probing)
}

// Share returns the share of recent attempts that failed, 0 while few are
// known.
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

// IsGrey reports whether the server fails a good part of its requests.
func (t *Tracker) IsGrey(now time.Time, server string) bool { return t.Share(now, server) > shareLimit }

// Keep forgets all servers but those that are named.
func (t *Tracker) Keep(isKnown func(server string) bool) {
	for id := range t.servers {
		if !isKnown(id) {
			delete(t.servers, id)
		}
	}
}

func (t *Tracker) of(now time.Time, server string) *seen {
	s, ok := t.servers[server]
	if !ok {
		s = &seen{at: now}
		t.servers[server] = s
	}
	s.fade(now)
	return s
}

func (s *seen) fade(now time.Time) {
	if passed := now.Sub(s.at); passed > 0 {
		keep := math.Exp(-passed.Seconds() / memory.Seconds())
		s.attempts *= keep
		s.failures *= keep
		s.at = now
	}
}
