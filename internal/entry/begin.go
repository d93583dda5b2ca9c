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
	// resendRetryAfter is when to ask again for a request that still runs.
	resendRetryAfter = time.Second

	// errNotOwned is the cause that ends an attempt of a request that the
	// ledger gave to another entry, or that ended before.
	errNotOwned = errors.ConstError("the ledger has the request elsewhere")
)

// beginning is a begin record on its way to the ledger. Reply and err count
// once done is closed.
type beginning struct {
	owner ledger.Owner
	done  chan struct{}
	reply ledger.Reply
	err   error
}

// begin starts the begin record of a request. It is brought to the ledger even
// when the request gives up, so that it can be closed.
func (e *Entry) begin(x *execution, replied func(owned bool)) *beginning {
	b := &beginning{owner: e.owner(), done: make(chan struct{})}
	record := ledger.Begin{
		Key: x.key(), BodyHash: x.hash, Owner: b.owner, Idempotent: x.req.Idempotent, Service: x.req.Service,
		At: e.cfg.Clock.Now().UTC(),
	}
	go func() {
		defer close(b.done)
		b.reply, b.err = e.ledger.deliver(e.ctx, state.Command{Begin: &record})
		if replied != nil {
			replied(b.isOwned())
		}
	}()
	return b
}

// isOwned reports whether the ledger gave the request to this entry. A record
// whose first reply was lost is found running under the entry's own name. It
// counts once done is closed.
func (b *beginning) isOwned() bool {
	if b.err != nil || b.reply.Owner != b.owner {
		return false
	}
	return b.reply.Status == ledger.New || b.reply.Status == ledger.Running
}

// own waits until the ledger gives the request to this entry. When the request
// ended before, its recorded answer is returned. While it runs at another
// entry, the ledger is asked again: it has the answer when the request ends,
// and gives it to this entry when the other one is gone.
func (e *Entry) own(ctx context.Context, x *execution, b *beginning) (*beginning, *request.Answer, error) {
	for tries := 1; ; tries++ {
		select {
		case <-b.done:
		case <-ctx.Done():
			return b, nil, errors.Trace(ctx.Err())
		}
		switch {
		case b.err != nil:
			return b, nil, request.NewNotRun(request.CodeLedger, b.err.Error()).WithRetryAfter(resendRetryAfter)
		case b.isOwned():
			return b, nil, nil
		case b.reply.Status == ledger.Finished:
			return b, b.reply.Answer, nil
		case b.reply.Status == ledger.Mismatch:
			return b, nil, request.NewNotRun(request.CodeBodyMismatch, "the request id was used for another request; choose a new id")
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

// pause waits before the next try, longer after each failure.
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

// backOff is pause for work that failed.
func (e *Entry) backOff(ctx context.Context, failures int) error {
	return e.pause(ctx, backoff, failures)
}
