package entry

import (
	"cmp"
	"context"
	"sync/atomic"
	"time"

	"rosereach/core/drain"
	"rosereach/core/forward"
	"rosereach/core/route"
)

// withheldDraining is why an attempt is not sent as the entry stops.
const withheldDraining = "draining"

// stopping is how far the planned stop of an entry has come.
type stopping struct {
	schedule atomic.Pointer[drain.Schedule] // nil before the stop

	// closing ends the waits of requests that have not run when the entry closes. It may end
	// late; what has to be in time asks the schedule.
	closing context.Context //nolint:containedctx // it is the state of the entry, not of a call
	close   context.CancelFunc
}

func newStopping() *stopping {
	s := &stopping{}
	s.closing, s.close = context.WithCancel(context.Background())
	return s
}

// begin begins the stop and returns its schedule: that of the first call.
func (s *stopping) begin(schedule drain.Schedule) drain.Schedule {
	s.schedule.CompareAndSwap(nil, &schedule)
	return *s.schedule.Load()
}

// current returns the schedule, the zero one before the stop.
func (s *stopping) current() drain.Schedule {
	if schedule := s.schedule.Load(); schedule != nil {
		return *schedule
	}
	return drain.Schedule{}
}

// isClosed reports whether the entry takes no more requests.
func (e *Entry) isClosed() bool {
	return e.stopping.current().Phase(e.cfg.Clock.Now()) >= drain.Closed
}

// StopListing removes the entry from the address list and waits until the schedule closes it.
// From then on it refuses new requests, and those that wait without having run. Requests that
// can't end before the exit are refused while they have not run.
func (e *Entry) StopListing(ctx context.Context, schedule drain.Schedule) {
	schedule = e.stopping.begin(schedule)
	// A control that does not read holds the announcement up, and must not delay the rest.
	closes := e.cfg.Clock.After(schedule.Closes().Sub(e.cfg.Clock.Now()))
	e.stopLog.begin(ctx, schedule)
	e.draining.Store(true)
	go e.forwarder.watcher.announcePresence(ctx)
	select {
	case <-closes:
	case <-ctx.Done():
	}
	e.stopping.close()
	e.stopLog.enter(phaseClosed)
}

// untilClosed returns a context for the waits of a request that has not run. It ends with
// the given one, and when the entry takes no more requests.
func (e *Entry) untilClosed(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(e.stopping.closing, cancel)
	return ctx, func() { stop(); cancel() }
}

// drainingFailure returns the failure of a request that must not be passed on any more as the
// entry stops, nil if it may be. The attempt is nil while no server is chosen.
func (x *activeRequest) drainingFailure(a *attempt) *forward.Failure {
	step := drain.Start
	switch {
	case x.headSent:
		step = drain.Resume
	case x.runs > 0:
		step = drain.Repeat
	}
	if x.decideStop(step, a).Allowed {
		return nil
	}
	return x.forwarder.entry.newDrainingFailure(x.deadline)
}

// decideStop decides whether the request is passed on as the entry stops. The attempt is nil
// while no server is chosen.
func (x *activeRequest) decideStop(step drain.Step, a *attempt) drain.Decision {
	s, now := x.forwarder.entry.stopping.current(), x.now()
	history := x.forwarder.durations.Longest(x.route.Name)
	if s.IsZero() {
		x.expect(history, basisOf(history))
		return s.Decide(now, drain.Request{Step: step})
	}
	r := drain.Request{
		Step: step, Deadline: x.deadline, Alone: x.forwarder.entry.isAlone(),
		History: history, OwnFigures: x.ownDuration(now, a),
	}
	if step == drain.Resume {
		r.History, r.OwnFigures = x.restOf(now, r.History, a), x.restOf(now, r.OwnFigures, a)
	}
	d := s.Decide(now, r)
	if d.Allowed || x.runs == 0 { // what it was passed on with, or refused for
		x.expect(d.Expected, d.Basis)
	}
	return d
}

// restOf returns what is left, with the time to the first byte, of an answer that may well take
// so long as a whole. It is 0, for unknown, if the answer has taken longer.
func (x *activeRequest) restOf(now time.Time, whole time.Duration, a *attempt) time.Duration {
	rest := whole - now.Sub(x.startedAt)
	if rest <= 0 {
		return 0
	}
	if a != nil {
		rest += a.expected
	}
	return rest
}

// mayReplace reports whether the attempt may replace one that is at a server, or follow its
// answer, as the entry stops. Begun means that the caller has a part of the answer.
func (x *activeRequest) mayReplace(begun bool, next *attempt) bool {
	if begun {
		return x.decideStop(drain.Resume, next).Allowed
	}
	return x.decideStop(drain.Repeat, next).Allowed
}

// ownDuration returns how long the request may well take by its own size: the time to its first
// byte and that for all its tokens, at the pace of its route and model and at a slow server's of
// that. It is 0 if unknown.
func (x *activeRequest) ownDuration(now time.Time, a *attempt) time.Duration {
	f := x.forwarder
	all := f.paces.Longest(x.paceGroup()) * time.Duration(x.req.OutputTokens)
	if all <= 0 || a == nil {
		return all
	}
	f.mu.Lock()
	ratio := f.latencyModel.ServerRatio(now, a.server.ID)
	f.mu.Unlock()
	return a.expected + time.Duration(max(ratio, 1)*float64(all))
}

// paceGroup returns the key under which the paces of streams are kept.
func (x *activeRequest) paceGroup() string {
	model := cmp.Or(x.model, x.req.Model)
	if x.model == "" && x.req.AnyModel {
		model = x.forwarder.sizes.First(x.route.Models)
	}
	return x.route.Name + "/" + model
}

// recordDuration records how long the request took, for the decisions of a stop.
func (x *activeRequest) recordDuration(err error) {
	f, took := x.forwarder, x.now().Sub(x.startedAt)
	if err != nil {
		f.durations.ObserveAtLeast(x.route.Name, took)
		return
	}
	f.durations.Observe(x.route.Name, took)
	if x.route.Kind == route.Streaming && x.req.OutputTokens > 0 && x.req.LastEventID == 0 && x.runs == 1 {
		f.paces.Observe(x.paceGroup(), (took-x.firstByte)/time.Duration(x.req.OutputTokens))
	}
}

// isAlone reports whether no other entry could take requests.
func (e *Entry) isAlone() bool { return e.forwarder.watcher.liveEntryCount() <= 1 }

// admitToSend is admit at the last moment before a request is sent: the entry may have closed
// while it connected.
func (x *activeRequest) admitToSend(a *attempt) error {
	if failure := x.drainingFailure(a); failure != nil {
		a.withheld = withheldDraining
		return failure
	}
	x.sentAt = x.now()
	return x.admit(a)
}

// newDrainingFailure returns the failure of a request that ends at the deadline, zero if that is
// unknown. Another entry takes it at once; a sole entry's successor, once this one has ended.
func (e *Entry) newDrainingFailure(deadline time.Time) *forward.Failure {
	wait := drainingRetryAfter
	if e.isAlone() {
		now := e.cfg.Clock.Now()
		left := e.stopping.current().Exits().Sub(now)
		if !deadline.IsZero() {
			left = min(left, deadline.Sub(now)/retryAfterDivisor)
		}
		wait = max(wait, left)
	}
	return &forward.Failure{Code: forward.Draining, Detail: "this entry is shutting down; use another", RetryAfter: wait}
}
