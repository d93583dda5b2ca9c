package entry

import (
	"maps"
	"time"

	"github.com/juju/errors"

	"rosereach/core/backend"
	"rosereach/core/placement"
	"rosereach/core/rollout"
	"rosereach/core/route"
)

func (f *forwarding) noteUp(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.downAt, service)
}

// pickService draws one of the route's services.
func (f *forwarding) pickService(r route.Route) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return r.Pick(f.random)
}

func (f *forwarding) countRequest() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budget.Request(f.entry.cfg.Clock.Now())
}

func (f *forwarding) takeRepeat() bool {
	members := f.feeds.fleetSize()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.budget.Take(f.entry.cfg.Clock.Now(), members) {
		f.metrics.denied.Inc()
		return false
	}
	return true
}

// recheck returns an error if the server may no longer get the request. It
// is called just before the first byte is sent.
func (f *forwarding) recheck(server backend.Announcement) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if rec, ok := f.roster.Find(server.ID); !ok || rec.Server.State != backend.Serving || rec.Server.Incarnation != server.Incarnation {
		return errors.Errorf("backend server %s no longer accepts requests", server.ID)
	}
	return nil
}

func (f *forwarding) start(now time.Time, server backend.Announcement, tokens int64) {
	e := f.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tracker.Start(now, server.ID, tokens)
}

func (f *forwarding) end(server backend.Announcement) {
	e := f.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tracker.End(e.cfg.Clock.Now(), server.ID)
}

// observe records the server load reported in an answer.
func (f *forwarding) observe(a *attempt) {
	if a.head.Slots == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loads[a.server.ID] = backend.Load{At: f.entry.cfg.Clock.Now(), Running: a.head.Running, Queued: a.head.Waiting}
}

func (f *forwarding) succeed(a *attempt, x *passage) {
	now := f.entry.cfg.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.health.Succeed(now, a.server.ID)
	x.server, x.expected, x.firstByte, x.unread = a.server.ID, a.expected, now.Sub(a.started), a.unread
	f.count(a, x, false, now.Sub(a.started))
	f.slowness.Learn(now, x.group(), a.server.ID, a.predicted, now.Sub(a.started))
}

func (f *forwarding) fail(a *attempt, x *passage, hard bool) {
	now := f.entry.cfg.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.health.Fail(now, a.server.ID, hard)
	if !hard {
		f.count(a, x, true, 0)
	}
}

// count adds an attempt to the tallies that the roll-out of its service
// is judged by. Callers hold f.mu.
func (f *forwarding) count(a *attempt, x *passage, failed bool, took time.Duration) {
	o, ok := f.entry.catalog.Load().Rollout(x.service)
	if !ok || o.IsFinal() {
		maps.DeleteFunc(f.tallies, func(k tallyKey, _ rollout.Tally) bool { return k.service == x.service })
		return
	}
	key := tallyKey{service: x.service, release: a.server.Release, route: x.route.Name}
	t := f.tallies[key]
	t.Service, t.Release, t.Route = key.service, key.release, key.route
	expected := a.predicted
	if a.server.Release == o.Target {
		expected = f.whenCold(a)
	}
	f.tallies[key] = t.WithAttempt(failed, took, f.slowness.Usual(x.group(), expected))
}

// whenCold returns the prediction for a server with an empty cache. Servers
// of a new release start with one.
func (f *forwarding) whenCold(a *attempt) placement.Estimate {
	e := a.predicted
	e.Own += time.Duration(a.kept) * f.placement.Costs.PrefillPerToken
	return e
}
