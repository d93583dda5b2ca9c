package entry

import (
	"cmp"
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"rosereach/core/drain"
	"rosereach/core/forward"
	"rosereach/core/route"
	"rosereach/internal/httpd"
)

const (
	// withheldDraining is why an attempt is not sent as the entry stops.
	withheldDraining = "draining"

	// errExiting is why the entry ends a request when its planned stop has to end.
	errExiting = errors.ConstError("the entry exits")

	// errClosed is why the entry ends an attempt that still connects when it closes.
	errClosed = errors.ConstError("the entry takes no more requests")
)

// The states of a gate.
const (
	gateOpen int32 = iota
	gatePassed
	gateShut
)

type (
	// stopping is how far the planned stop of an entry has come.
	stopping struct {
		schedule atomic.Pointer[drain.Schedule] // nil before the stop

		// Each of these ends when its phase begins, or late; what has to be in time asks the
		// schedule.
		signaled stopSignal // ends the waits of requests that aren't known to end in time
		closing  stopSignal // ends the waits of requests that have not run
		ending   stopSignal // ends requests without an answer
		exiting  stopSignal // cuts answers that have begun
	}

	// stopSignal is a context that a phase of the stop ends.
	stopSignal struct {
		context.Context
		end context.CancelFunc
	}

	// gate is passed or shut, whichever comes first.
	gate struct{ state atomic.Int32 }
)

func newStopping() *stopping {
	return &stopping{signaled: newStopSignal(), closing: newStopSignal(), ending: newStopSignal(), exiting: newStopSignal()}
}

func newStopSignal() stopSignal {
	ctx, cancel := context.WithCancel(context.Background())
	return stopSignal{Context: ctx, end: cancel}
}

// pass reports whether the gate is passed, now or before.
func (g *gate) pass() bool {
	return g.state.CompareAndSwap(gateOpen, gatePassed) || g.state.Load() == gatePassed
}

// shut reports whether the gate is shut, now or before.
func (g *gate) shut() bool {
	return g.state.CompareAndSwap(gateOpen, gateShut) || g.state.Load() == gateShut
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

// StopListing removes the entry from the address list and waits until the schedule hangs up.
// From its close on it refuses new requests, and those that wait without having run. Requests
// that can't end before the exit are refused while they have not run. What still runs goes on to
// the schedule's end: then requests without an answer get a failure, and at the exit answers
// that have begun are cut.
func (e *Entry) StopListing(ctx context.Context, schedule drain.Schedule) {
	schedule = e.stopping.begin(schedule)
	e.forwarder.observeRunning()
	e.stopping.signaled.end()
	now := e.cfg.Clock.Now()
	e.cfg.Clock.AfterFunc(schedule.Ends().Sub(now), e.stopping.ending.end)
	e.cfg.Clock.AfterFunc(schedule.Exits().Sub(now), e.stopping.exiting.end)
	// A control that does not read holds the announcement up, and must not delay the rest.
	closes, hangsUp := e.cfg.Clock.After(schedule.Closes().Sub(now)), e.cfg.Clock.After(schedule.HangsUp().Sub(now))
	e.stopLog.begin(ctx, schedule)
	e.draining.Store(true)
	go e.forwarder.watcher.announcePresence(ctx)
	select {
	case <-closes:
	case <-ctx.Done():
	}
	e.stopping.closing.end()
	e.stopLog.enter(drain.Closed)
	select {
	case <-hangsUp:
	case <-ctx.Done():
	}
}

// UntilClosed returns a context for the waits of a request that has not run. It ends with
// the given one, and when the entry takes no more requests.
func (e *Entry) UntilClosed(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(e.stopping.closing, cancel)
	return ctx, func() { stop(); cancel() }
}

// untilRefused returns a context for the wait in the queue. It ends with the given one, when the
// entry takes no more requests, and at the signal if the request isn't known to end in time.
func (x *activeRequest) untilRefused(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := x.forwarder.entry.UntilClosed(ctx)
	waiting := *x // the request itself may leave the queue meanwhile
	stop := context.AfterFunc(x.forwarder.entry.stopping.signaled, func() {
		if waiting.drainingFailure(nil) != nil {
			cancel()
		}
	})
	return ctx, func() { stop(); cancel() }
}

// untilExit returns a context for the request. It ends with the given one, and in a planned stop:
// before the exit while the caller has nothing of an answer, and at the exit in any case.
func (x *activeRequest) untilExit(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	s := x.forwarder.entry.stopping
	x.answerGate = &gate{}
	stopEnd := context.AfterFunc(s.ending, func() {
		if x.answerGate.shut() {
			cancel(errExiting)
		}
	})
	stopExit := context.AfterFunc(s.exiting, func() { cancel(errExiting) })
	return ctx, func() { stopEnd(); stopExit(); cancel(nil) }
}

// isExit reports whether a request ends for the exit: by the entry, or by the server of its caller's
// connection where the entry's timers are late.
func isExit(cause error) bool {
	return errors.Is(cause, errExiting) || errors.Is(cause, httpd.ErrStopped)
}

// exitFailure returns the failure of a request that the exit ends without an answer. It says that
// the request did not run only if no server can have run it.
func (x *activeRequest) exitFailure(last forward.Outcome) *forward.Failure {
	failure := forward.FailureFor(last, x.runs, !x.now().Before(x.deadline))
	if failure.IsNotRun() {
		return x.forwarder.entry.newDrainingFailure(x.deadline)
	}
	return failure
}

// drainingFailure returns the failure of a request that must not be passed on any more as the
// entry stops, nil if it may be. The attempt is nil while no server is chosen.
func (x *activeRequest) drainingFailure(a *attempt) *forward.Failure {
	step := drain.Start
	switch next := cmp.Or(a, x.nextAttempt); {
	case x.headSent && (x.awaitsRescue || next != nil && next.rescues):
		step = drain.Rescue
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
	switch {
	case x.awaitsEnd:
		r.History, r.OwnFigures = 0, x.firstByteOf(a)
	case step == drain.Resume, step == drain.Rescue:
		r.History, r.OwnFigures = x.restOf(now, r.History, a), x.restOf(now, r.OwnFigures, a)
	}
	d := s.Decide(now, r)
	if d.Allowed || x.runs == 0 { // what it was passed on with, or refused for
		x.expect(d.Expected, d.Basis)
	}
	return d
}

// firstByteOf returns the expected time to the first byte of an answer, above 0: that of the last
// one while no server is chosen.
func (x *activeRequest) firstByteOf(a *attempt) time.Duration {
	if a != nil {
		return max(a.expected, 1)
	}
	return max(x.expected, 1)
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
		return x.decideStop(drain.Rescue, next).Allowed
	}
	return x.decideStop(drain.Replace, next).Allowed
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

func (f *forwarder) beginRunning(x *activeRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[x] = f.entry.cfg.Clock.Now()
}

func (f *forwarder) endRunning(x *activeRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.running, x)
}

// observeRunning records how long the requests that run have taken so far. Of a route whose long
// requests have not ended yet, the others say too little.
func (f *forwarder) observeRunning() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.entry.cfg.Clock.Now()
	for x, since := range f.running {
		f.durations.ObserveAtLeast(x.route.Name, now.Sub(since))
	}
}

// isAlone reports whether no other entry could take requests.
func (e *Entry) isAlone() bool { return e.forwarder.watcher.isAlone() }

// untilSent returns a context for an attempt. It ends with the given one, and when the entry
// closes before a request that has not run has passed the gate.
func (x *activeRequest) untilSent(ctx context.Context) (context.Context, context.CancelCauseFunc, *gate) {
	ctx, cancel := context.WithCancelCause(ctx)
	sending := &gate{}
	if x.runs > 0 {
		return ctx, cancel, sending
	}
	stop := context.AfterFunc(x.forwarder.entry.stopping.closing, func() {
		if sending.shut() {
			cancel(errClosed)
		}
	})
	return ctx, func(cause error) { stop(); cancel(cause) }, sending
}

// admitToSend is admit at the last moment before a request is sent: the entry may have closed
// while it connected.
func (x *activeRequest) admitToSend(a *attempt, sending *gate) error {
	failure := x.drainingFailure(a)
	if failure == nil && !sending.pass() {
		failure = x.forwarder.entry.newDrainingFailure(x.deadline)
	}
	if failure != nil {
		a.withheld = withheldDraining
		return failure
	}
	x.sentAt, x.heardAt = x.now(), time.Time{}
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
