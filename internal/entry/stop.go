package entry

import (
	"context"
	"sync/atomic"

	"rosereach/core/drain"
	"rosereach/core/forward"
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
// entry stops, nil if it may be: nothing that has not run is after the close, and nothing
// without an answer if it probably takes longer than the entry has.
func (x *activeRequest) drainingFailure() *forward.Failure {
	if x.headSent {
		return nil
	}
	s, now := x.forwarder.entry.stopping.current(), x.now()
	longest := x.forwarder.durations.Longest(x.route.Name)
	x.expectFromHistory(longest)
	if x.runs == 0 && s.Phase(now) >= drain.Closed || !s.IsZero() && !now.Add(longest).Before(s.Exits()) {
		return newDrainingFailure()
	}
	return nil
}

// admitToSend is admit at the last moment before a request is sent: the entry may have closed
// while it connected.
func (x *activeRequest) admitToSend(a *attempt) error {
	if failure := x.drainingFailure(); failure != nil {
		a.withheld = withheldDraining
		return failure
	}
	x.sentAt = x.now()
	return x.admit(a)
}

func newDrainingFailure() *forward.Failure {
	return &forward.Failure{Code: forward.Draining, Detail: "this entry is shutting down; use another", RetryAfter: drainingRetryAfter}
}
