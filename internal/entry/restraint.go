package entry

import (
	"cmp"
	"context"
	"time"

	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"rosereach/core/backend"
	"rosereach/core/forward"
	"rosereach/core/health"
	"rosereach/core/pacing"
	"rosereach/core/retry"
	"rosereach/core/roster"
)

// roomPoll is the pause between two looks for room at servers that get few requests after
// a hold-off.
const roomPoll = 20 * time.Millisecond

// maxLoggedWords is the maximum number of servers whose words are logged for a request
// that is kept from them.
const maxLoggedWords = 3

// prospect is when the servers of a request take work again.
type prospect struct {
	// restrained is set when each server asked for no requests or gets few of them, and
	// one of them at least will take work.
	restrained bool
	// recovers is set when a server has only as many requests as it should get at once.
	recovers bool
	// wait is the time until the first server takes work.
	wait time.Duration
	// places is the number of requests that the servers then take at once.
	places int
	// limited is set when servers take no more requests for the moment because of limits
	// that they named, and rate is the number a second that they take of this entry.
	limited bool
	rate    float64
	// words holds the words of some servers, by id.
	words map[string]health.Restraint
}

// hear records what a server says of itself in an answer to the request with the given
// id, which was sent at the given time.
func (f *forwarder) hear(server backend.Announcement, head forward.Head, sentAt time.Time, requestID string) {
	f.hearLimit(server, sentAt, head.Limit, requestID)
	now := f.entry.cfg.Clock.Now()
	f.mu.Lock()
	brittle := f.brittle.Observe(now, server.ID, server.Incarnation, sentAt, head.Brittle)
	var ownHoldOff time.Duration
	if head.IsFull() {
		ownHoldOff = f.brittle.HoldOff(server.ID, server.Incarnation)
	}
	f.observeWarmup(now, server, head, requestID)
	changed := f.restraints.Hear(now, server.ID, server.Incarnation, health.Word{Leaving: head.Leaving, HoldOff: max(head.HoldOff, ownHoldOff), RequestID: requestID})
	restraint, _ := f.restraints.Get(server.ID, server.Incarnation)
	firstUnreadable := head.Unreadable != "" && f.unreadable[server.ID] != server.Incarnation
	if firstUnreadable {
		f.unreadable[server.ID] = server.Incarnation
	}
	f.mu.Unlock()
	f.metrics.heard(head)
	logger := f.entry.cfg.Logger
	if changed && head.Leaving && restraint.LeavingBy == requestID {
		level.Info(logger).Log("msg", "Backend server says that it leaves.", "id", requestID, "server", server.ID, "word", health.Leaves, "addr", server.Address,
			"incarnation", server.Incarnation)
	}
	if brittle {
		level.Info(logger).Log("msg", "Backend server is brittle.", "id", requestID, "server", server.ID, "addr", server.Address,
			"incarnation", server.Incarnation, "bears", head.Brittle.PerSecond, "brittle", head.Brittle.Kind == pacing.Limited)
	}
	if changed && ownHoldOff > head.HoldOff {
		level.Info(logger).Log("msg", "Brittle backend server is left alone.", "id", requestID, "server", server.ID, "addr", server.Address,
			"incarnation", server.Incarnation, "for", ownHoldOff, "until", restraint.HeldUntil)
	} else if changed && head.HoldOff > 0 {
		level.Info(logger).Log("msg", "Backend server wants no requests.", "id", requestID, "server", server.ID, "word", health.HeldOff, "addr", server.Address,
			"incarnation", server.Incarnation, "for", head.HoldOff, "until", restraint.HeldUntil)
	}
	if firstUnreadable {
		level.Warn(logger).Log("msg", "Word of a backend server cannot be read.", "id", requestID, "server", server.ID, "addr", server.Address, "err", head.Unreadable)
	}
}

// admit decides whether the attempt may be sent, and returns an error if not. It is the
// only way to a server, for requests of any origin: it is called before a connection is
// opened, and again just before the first byte is sent, as a request may have waited for
// its connection meanwhile.
func (f *forwarder) admit(a *attempt) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	server := a.server
	if rec, ok := f.roster.Find(server.ID); !ok || rec.Server.State != backend.Serving || rec.Server.Incarnation != server.Incarnation {
		a.withheld = withheldGone
		return errors.Errorf("backend server %s no longer accepts requests", server.ID)
	}
	now := f.entry.cfg.Clock.Now()
	var reason health.Reason
	if a.counted {
		if reason = f.restraints.Check(now, server.ID, server.Incarnation); reason == health.Recovers {
			reason = ""
		}
	} else {
		a.counted, reason = f.restraints.Begin(now, server.ID, server.Incarnation)
	}
	a.withheld = string(reason)
	if reason != "" {
		return errors.Errorf("backend server %s wants no requests: %s", server.ID, reason)
	}
	if !a.begun && !f.brittle.Allows(server.ID, server.Incarnation, server.Capacity) {
		a.withheld = withheldBrittle
		return errors.Errorf("backend server %s is brittle and has its part of this entry's requests", server.ID)
	}
	if err := f.checkLocation(a); err != nil {
		return err
	}
	if err := f.takeWarmupPlace(now, a); err != nil {
		return err
	}
	if !a.paced {
		if err := f.takePlace(now, a); err != nil {
			return err
		}
	}
	if !a.begun {
		a.begun = true
		f.brittle.Begin(server.ID)
	}
	return nil
}

// takePlace takes a place at a server that named a limit. Callers hold f.mu.
func (f *forwarder) takePlace(now time.Time, a *attempt) error {
	server := a.server
	taken, ok := f.limiter.Take(now, server.ID, server.Incarnation)
	if !ok {
		a.withheld = withheldLimited
		return errors.Errorf("backend server %s takes no more requests for the moment", server.ID)
	}
	a.paced = taken
	return nil
}

// The reasons why an attempt is not sent to a server that is not announced any more, and to
// one that falls over when it has to reject too much.
const (
	withheldGone    = "gone"
	withheldBrittle = "brittle"
)

// endAtServer records that an attempt is not at its server any more.
func (f *forwarder) endAtServer(a *attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a.begun {
		a.begun = false
		f.brittle.End(a.server.ID)
	}
}

// settle records that the attempt has its answer, or will get none.
func (f *forwarder) settle(a *attempt, accepted bool) {
	if !a.counted {
		return
	}
	a.counted = false
	f.mu.Lock()
	defer f.mu.Unlock()
	f.restraints.End(a.server.ID, a.server.Incarnation, accepted)
}

// withhold ends an attempt that was not sent because its server may not get it. The server
// has not failed, and the request has used up nothing.
func (x *activeRequest) withhold(a *attempt) {
	f := x.forwarder
	f.metrics.withheld.WithLabelValues(a.withheld).Inc()
	f.settle(a, false)
	f.returnPlace(a)
	f.mu.Lock()
	word, _ := f.restraints.Get(a.server.ID, a.server.Incarnation)
	f.mu.Unlock()
	x.logWithheld(a, word)
}

// isHeldOff reports whether the server has asked for a time without requests that goes
// on.
func (f *forwarder) isHeldOff(server backend.Announcement) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.restraints.Check(f.entry.cfg.Clock.Now(), server.ID, server.Incarnation) == health.HeldOff
}

// takers returns the servers of the list that may get a request now. Callers hold f.mu.
func (f *forwarder) takers(now time.Time, list []roster.Record) []roster.Record {
	return filterRecords(list, func(r roster.Record) bool {
		return f.restraints.Check(now, r.Server.ID, r.Server.Incarnation) == "" && f.allowsWarmup(now, r.Server) && f.limiter.Allows(now, r.Server.ID, r.Server.Incarnation) && f.brittle.Allows(r.Server.ID, r.Server.Incarnation, r.Server.Capacity)
	})
}

// staying returns the servers of the list that have not said that they leave. Callers
// hold f.mu.
func (f *forwarder) staying(now time.Time, list []roster.Record) []roster.Record {
	return filterRecords(list, func(r roster.Record) bool {
		return f.restraints.Check(now, r.Server.ID, r.Server.Incarnation) != health.Leaves
	})
}

// prospectFor returns when the servers that the request may go to take work again.
func (f *forwarder) prospectFor(x *activeRequest) prospect {
	entries := f.watcher.liveEntryCount()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.entry.cfg.Clock.Now()
	p := prospect{restrained: true, words: make(map[string]health.Restraint)}
	list, _ := f.assignedServers(now, x)
	if len(list) == 0 {
		return prospect{}
	}
	first := now.Add(retry.MaxAfter)
	for _, r := range list {
		at, isOpen := f.addProspect(now, r.Server, first, &p)
		if isOpen {
			return prospect{}
		}
		if at.Before(first) {
			first = at
		}
		p.places += r.Server.Capacity
		if word, ok := f.restraints.Get(r.Server.ID, r.Server.Incarnation); ok && len(p.words) < maxLoggedWords {
			p.words[r.Server.ID] = word
		}
	}
	p.wait, p.places = first.Sub(now), max(p.places/entries, 1)
	if p.limited {
		p.places = 1
	}
	return p
}

// addProspect adds to a prospect that a server takes no requests now, and returns when it
// does, latest if this entry is not to send it any. IsOpen is set if it takes them now.
// Callers hold f.mu.
func (f *forwarder) addProspect(now time.Time, server backend.Announcement, latest time.Time, p *prospect) (at time.Time, isOpen bool) {
	switch f.restraints.Check(now, server.ID, server.Incarnation) {
	case health.Recovers:
		p.recovers = true
		return now, false
	case "":
	default:
		at, _ = f.restraints.TakesWorkAt(now, server.ID, server.Incarnation)
		return at, false
	}
	wait, rate := f.warmupWait(now, server)
	if wait == 0 {
		wait, rate = f.limiter.Wait(now, server.ID, server.Incarnation)
		switch {
		case !f.limiter.Allows(now, server.ID, server.Incarnation):
			if rate == 0 {
				wait = latest.Sub(now)
			}
		case f.brittle.Allows(server.ID, server.Incarnation, server.Capacity):
			return now, true
		default:
			p.recovers = true
			return now, false
		}
	}
	p.limited, p.rate = true, p.rate+rate
	return now.Add(wait), false
}

// round returns the time that the servers need for as many requests as there are places.
func (p prospect) round(usual time.Duration) time.Duration {
	if !p.limited {
		return usual
	}
	return time.Duration(float64(time.Second) / max(p.rate, pacing.MinLimit))
}

// awaitRoom waits for room at a server that gets few requests after a hold-off, for the
// route's objective at most, and returns an attempt there. A server in that state takes
// more with each answer, so that a wait is shorter than a rejection. It returns false at
// once if the servers get no requests at all.
func (x *activeRequest) awaitRoom(ctx context.Context) (*attempt, bool) {
	f, c := x.forwarder, x.forwarder.entry.cfg.Clock
	end := c.Now().Add(min(x.route.Objective, x.deadline.Sub(c.Now())/retryAfterDivisor))
	for c.Now().Before(end) && f.prospectFor(x).recovers {
		select {
		case <-c.After(roomPoll):
		case <-ctx.Done():
			return nil, false
		}
		if a, ok := f.chooseAndCommit(x); ok {
			return a, true
		}
	}
	return nil, false
}

// restrainedFailure returns the failure of a request whose servers all asked for no
// requests, and false if that is not so or the request may have run, so that it can't be
// rejected. The callers are told to return when the first server takes work again, in the
// order in which they were rejected.
func (x *activeRequest) restrainedFailure() (*forward.Failure, bool) {
	if x.runs > 0 {
		return nil, false
	}
	f, now := x.forwarder, x.now()
	p := f.prospectFor(x)
	if !p.restrained {
		return nil, false
	}
	f.mu.Lock()
	order := f.turnedAway[x.service]
	f.turnedAway[x.service]++
	wait := retry.Spread(p.wait, p.round(cmp.Or(x.route.Objective, defaultCallTime)), order, p.places, f.random)
	f.mu.Unlock()
	x.logRestrained(p, order)
	return &forward.Failure{Code: forward.NoServer, Detail: "all backend servers want no requests", RetryAfter: min(wait, x.deadline.Sub(now)/retryAfterDivisor)}, true
}

// countRestrained returns the number of servers that leave and of those that are held off.
func (f *forwarder) countRestrained() (leaving, heldOff int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.restraints.Count(f.entry.cfg.Clock.Now())
}
