package entry

import (
	"maps"
	"slices"
	"time"

	"rosereach/core/backend"
	"rosereach/core/health"
	"rosereach/core/placement"
	"rosereach/core/retry"
	"rosereach/core/rollout"
	"rosereach/core/route"
)

func (f *forwarder) markServiceUp(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.downSince, service)
	// Servers that take a few requests at a time have not caught up with those turned away.
	if n := f.turnedAway[service]; n > 1 && f.limiter.Count() > 0 {
		f.turnedAway[service] = n - 1
		return
	}
	delete(f.turnedAway, service)
}

func (f *forwarder) hasServers(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.roster.Serving(service)) > 0
}

// pickService draws one of the route's services.
func (f *forwarder) pickService(r route.Route) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return r.Pick(f.random)
}

// countRequest adds a request to the retry budget of its service.
func (f *forwarder) countRequest(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retryBudgets.For(service).RecordRequest(f.entry.cfg.Clock.Now())
}

// takeRetry takes a retry from the budget of the service, which all entries share, and
// reports whether there was one. Begun means that the caller has a part of the answer.
func (f *forwarder) takeRetry(service string, begun bool) bool {
	return f.takeRetryLeaving(service, begun, 0)
}

// takeRetryLeaving is takeRetry for a retry that needs others after it: it takes one only if
// the given number is left.
func (f *forwarder) takeRetryLeaving(service string, begun bool, left int) bool {
	members := f.watcher.liveEntryCount()
	f.mu.Lock()
	defer f.mu.Unlock()
	budget, spend := f.retryBudgets.For(service), (*retry.WindowBudget).TrySpendRefusable
	switch {
	case begun:
		spend = (*retry.WindowBudget).TrySpendLeaving
	case f.isStopping():
		spend = (*retry.WindowBudget).TrySpendRefusableStopping
	}
	if !spend(budget, f.entry.cfg.Clock.Now(), members, left) {
		f.metrics.retriesDenied.Inc()
		return false
	}
	return true
}

// hasRetry reports whether a retry is in the budget of the service.
func (f *forwarder) hasRetry(service string, begun bool) bool {
	members := f.watcher.liveEntryCount()
	f.mu.Lock()
	defer f.mu.Unlock()
	budget, now := f.retryBudgets.For(service), f.entry.cfg.Clock.Now()
	switch {
	case begun:
		return budget.Allows(now, members)
	case f.isStopping():
		return budget.AllowsRefusableStopping(now, members)
	}
	return budget.AllowsRefusable(now, members)
}

// isStopping reports whether the planned stop of the entry has begun.
func (f *forwarder) isStopping() bool { return !f.entry.stopping.current().IsZero() }

func (f *forwarder) trackStart(now time.Time, server backend.Announcement, tokens int64) {
	e := f.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tracker.Start(now, server.ID, tokens)
}

func (f *forwarder) trackEnd(server backend.Announcement) {
	e := f.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tracker.End(e.cfg.Clock.Now(), server.ID)
}

// recordLoad records the load that a server reported.
func (f *forwarder) recordLoad(server backend.Announcement, running, queued int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.entry.cfg.Clock.Now()
	f.loads[server.ID] = backend.Load{MeasuredAt: now, Running: running, Queued: queued}
	f.record(func(r *health.Recorder) { r.RecordLoad(now, server.ID, server.Incarnation, running, queued) })
}

func (f *forwarder) recordSuccess(a *attempt, x *activeRequest) {
	now := f.entry.cfg.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.health.RecordSuccess(now, a.server.ID)
	delete(f.parts.ended, serverStart{server: a.server.ID, incarnation: a.server.Incarnation})
	x.server, x.expected, x.firstByte, x.uncachedTokens = a.server.ID, a.expected, now.Sub(a.startedAt), a.uncachedTokens
	f.tallyAttempt(a, x, false, now.Sub(a.startedAt))
	f.record(func(r *health.Recorder) { r.RecordAnswer(a.server.ID, a.server.Incarnation) })
	f.recordPace(a)
	f.latencyModel.Observe(now, x.latencyGroup(), a.server.ID, a.predicted, f.usualPaceTime(a, now.Sub(a.startedAt)))
}

// recordDropped records the time to the first byte of an answer that is not forwarded
// because a larger model is asked.
func (f *forwarder) recordDropped(a *attempt, x *activeRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tallyAttempt(a, x, false, f.entry.cfg.Clock.Now().Sub(a.startedAt))
}

func (f *forwarder) recordFailure(a *attempt, x *activeRequest, hard bool) {
	now := f.entry.cfg.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.health.RecordFailure(now, a.server.ID, hard)
	f.record(func(r *health.Recorder) { r.RecordFailure(a.server.ID, a.server.Incarnation, hard) })
	if !hard {
		f.tallyAttempt(a, x, true, 0)
	}
}

// tallyAttempt adds an attempt to the tallies that the roll-out of its service
// is judged by. Callers hold f.mu.
func (f *forwarder) tallyAttempt(a *attempt, x *activeRequest, failed bool, took time.Duration) {
	if a.waitTallied {
		took = 0
	}
	f.tally(a, x, func(t rollout.Tally, o rollout.Order) rollout.Tally {
		return t.WithAttempt(failed, took, f.usualTime(a, x, o))
	})
}

// tallyWait adds the time that a silent attempt has waited for its first byte. Without it
// the slow answers of a new release are known only when its roll-out is almost over.
func (f *forwarder) tallyWait(a *attempt, x *activeRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a.waitTallied {
		return
	}
	a.waitTallied = true
	took := f.entry.cfg.Clock.Now().Sub(a.startedAt)
	f.tally(a, x, func(t rollout.Tally, o rollout.Order) rollout.Tally { return t.WithTime(took, f.usualTime(a, x, o)) })
}

// usualTime returns the time to the first byte at a typical server, with an empty cache if
// the attempt went to the target of the roll-out. Callers hold f.mu.
func (f *forwarder) usualTime(a *attempt, x *activeRequest, o rollout.Order) time.Duration {
	expected := a.predicted
	if a.server.Release == o.Target {
		expected = f.predictCold(a)
	}
	return f.latencyModel.TypicalTime(x.latencyGroup(), expected)
}

// tallyPace adds the mean time between a stream's events to the tallies.
func (f *forwarder) tallyPace(a *attempt, x *activeRequest, gap time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tally(a, x, func(t rollout.Tally, _ rollout.Order) rollout.Tally { return t.WithPace(gap) })
}

// tally updates the tally of an attempt while its service has a roll-out. Callers hold
// f.mu.
func (f *forwarder) tally(a *attempt, x *activeRequest, update func(rollout.Tally, rollout.Order) rollout.Tally) {
	o, ok := f.entry.catalog.Load().Rollout(x.service)
	if !ok || o.IsFinal() {
		maps.DeleteFunc(f.tallies, func(k tallyKey, _ rollout.Tally) bool { return k.service == x.service })
		return
	}
	ordered := o.Ordered.UnixMilli()
	maps.DeleteFunc(f.tallies, func(k tallyKey, t rollout.Tally) bool { return k.service == x.service && t.OrderedMS != ordered })
	if slices.Contains(o.RolledBack, a.server.Release) {
		return
	}
	key := tallyKey{service: x.service, release: a.server.Release, route: x.route.Name, model: x.model}
	t := f.tallies[key]
	t.Service, t.Release, t.Route, t.Model, t.OrderedMS = key.service, key.release, key.route, key.model, ordered
	f.tallies[key] = update(t, o)
}

// predictCold returns the prediction for a server with an empty cache. Servers
// of a new release start with one.
func (f *forwarder) predictCold(a *attempt) placement.Estimate {
	e := a.predicted
	e.Own += time.Duration(a.cachedTokens) * f.placement.Costs.PrefillPerToken
	return e
}
