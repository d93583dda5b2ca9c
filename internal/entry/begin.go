package entry

import (
	"context"
	"time"

	"github.com/juju/errors"

	"rosereach/core/ledger"
	"rosereach/core/request"
	"rosereach/core/retry"
	"rosereach/core/state"
)

const (
	// resendRetryAfter is the Retry-After value for a request that is still
	// running.
	resendRetryAfter = time.Second

	// errNotOwned is the cancellation cause of attempts when the ledger reports
	// that another entry owns the request or that it has already ended.
	errNotOwned = errors.ConstError("the ledger did not give the request to this entry")
)

// beginRecord is a begin record that is being delivered to the ledger. Reply
// and err are valid once done is closed.
type beginRecord struct {
	owner ledger.Owner
	done  chan struct{}
	reply ledger.Reply
	err   error
}

// begin starts delivering the request's begin record to the ledger. Delivery
// goes on when the request fails, so that its record can be closed. Replied, if
// not nil, is called with the result.
func (e *Entry) begin(x *execution, replied func(owned bool)) *beginRecord {
	b := &beginRecord{owner: e.owner(), done: make(chan struct{})}
	record := ledger.Begin{
		Key: x.key(), BodyHash: x.hash, Owner: b.owner, Idempotent: x.req.Idempotent, Service: x.req.Service,
		At: e.cfg.Clock.Now().UTC(),
	}
	go func() {
		defer close(b.done)
		b.reply, b.err = e.ledgerBatcher.deliver(e.ctx, state.Command{Begin: &record})
		if replied != nil {
			replied(b.isOwned())
		}
	}()
	return b
}

// isOwned reports whether the ledger gave the request to this entry. If the reply
// to a first delivery was lost, a later one finds the request running with this
// entry as its owner. The result is valid once done is closed.
func (b *beginRecord) isOwned() bool {
	if b.err != nil || b.reply.Owner != b.owner {
		return false
	}
	return b.reply.Status == ledger.New || b.reply.Status == ledger.Running
}

// provesFirstRun reports whether the ledger has replied that the request did not run
// before. A request whose ID was used for another one did not run itself.
func (b *beginRecord) provesFirstRun() bool {
	select {
	case <-b.done:
		return b.isOwned() && !b.reply.MayHaveRun || b.err == nil && b.reply.Status == ledger.Mismatch
	default:
		return false
	}
}

// awaitOwnership waits until the ledger gives the request to this entry. If the
// request has already ended, it returns the recorded answer. While the request
// runs at another entry, it queries the ledger again with a delay: the ledger
// returns the answer once the request ends there, or ownership if that entry is
// gone.
func (e *Entry) awaitOwnership(ctx context.Context, x *execution, b *beginRecord) (*beginRecord, *request.Answer, error) {
	for tries := 1; ; tries++ {
		select {
		case <-b.done:
		case <-ctx.Done():
			return b, nil, errors.Trace(ctx.Err())
		}
		switch {
		case b.err != nil:
			return b, nil, request.NewNotRun(request.CodeLedgerUnavailable, b.err.Error()).WithRetryAfter(resendRetryAfter)
		case b.isOwned():
			return b, nil, nil
		case b.reply.Status == ledger.Finished:
			return b, b.reply.Answer, nil
		case b.reply.Status == ledger.Mismatch:
			return b, nil, request.NewNotRun(request.CodeIDReused, "the request id was used for another request; choose a new id")
		case b.reply.Status == ledger.Expired:
			return b, nil, request.NewUnknown(request.CodeIDExpired, "the request id is older than the ledger's horizon; choose a new id")
		}
		if err := e.pause(ctx, resendBackoff, tries); err != nil {
			return b, nil, request.NewUnknown(request.CodeRunningElsewhere, "the request runs at "+b.reply.Owner.Entry+"; ask again").
				WithRetryAfter(resendRetryAfter)
		}
		b = e.begin(x, nil)
	}
}

// pause waits for the backoff delay after the given number of failures.
func (e *Entry) pause(ctx context.Context, b retry.Backoff, failures int) error {
	e.mu.Lock()
	wait := b.Delay(failures, e.random)
	e.mu.Unlock()
	select {
	case <-e.cfg.Clock.After(wait):
		return nil
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}

// backOff is pause with the default backoff.
func (e *Entry) backOff(ctx context.Context, failures int) error {
	return e.pause(ctx, backoff, failures)
}
