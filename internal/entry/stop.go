package entry

import (
	"context"
	"sync"
	"time"

	"rosereach/core/forward"
)

// withheldDraining is why an attempt is not sent as the entry stops.
const withheldDraining = "draining"

// stopping is how far the planned stop of an entry has come.
type stopping struct {
	// closing ends when the entry takes no more requests.
	closing context.Context //nolint:containedctx // it is the state of the entry, not of a call
	close   context.CancelFunc

	mu     sync.Mutex
	exitAt time.Time // when running requests have to be finished, zero before the stop
}

func newStopping() *stopping {
	s := &stopping{}
	s.closing, s.close = context.WithCancel(context.Background())
	return s
}

func (s *stopping) setExit(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exitAt = at
}

// isClosed reports whether the entry takes no more requests.
func (s *stopping) isClosed() bool { return s.closing.Err() != nil }

// endsInTime reports whether what takes so long from now on ends before the exit.
func (s *stopping) endsInTime(now time.Time, longest time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.exitAt.IsZero() || now.Add(longest).Before(s.exitAt)
}

// StopListing removes the entry from the address list and waits for the given time, until
// callers no longer use an old list. Afterward the entry refuses new requests, and those that
// wait without having run. All requests end by exitAt: those that probably can't are refused
// while they have not run.
func (e *Entry) StopListing(ctx context.Context, addressTTL time.Duration, exitAt time.Time) {
	// A control that does not read holds the announcement up, and must not delay the rest.
	closeAt := e.cfg.Clock.After(addressTTL)
	e.stopping.setExit(exitAt)
	e.stopLog.begin(ctx, exitAt)
	e.draining.Store(true)
	go e.forwarder.watcher.announcePresence(ctx)
	select {
	case <-closeAt:
	case <-ctx.Done():
	}
	e.closed.Store(true)
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
	s := x.forwarder.entry.stopping
	if x.headSent {
		return nil
	}
	longest := x.forwarder.durations.Longest(x.route.Name)
	x.expectFromHistory(longest)
	if x.runs == 0 && s.isClosed() || !s.endsInTime(x.now(), longest) {
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
