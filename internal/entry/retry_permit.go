package entry

import (
	"context"
	"sync"
)

// retryPermit is a retry that may be taken from the budget before the attempt that
// precedes it is ended, so that no attempt is given up for a retry that is not there.
type retryPermit struct {
	entry     *Entry
	execution *execution

	mu    sync.Mutex
	taken bool
}

// take takes a retry from the budget unless one is held already, and reports whether one
// is held.
func (p *retryPermit) take() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.taken = p.taken || p.entry.spendRetry(p.execution)
	return p.taken
}

// await uses up a held retry, or takes one, and waits for the backoff. Failures is the
// number of attempts so far.
func (p *retryPermit) await(ctx context.Context, failures int) bool {
	if ctx.Err() != nil || !p.take() {
		return false
	}
	p.mu.Lock()
	p.taken = false
	p.mu.Unlock()
	return p.entry.pause(ctx, backoff, failures) == nil
}
