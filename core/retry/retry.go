// Package retry provides retry budgets, which bound how often failed requests are
// retried, and backoff, which spaces the retries.
package retry

import (
	"math/rand/v2"
	"time"
)

type (
	// Terms configures a Budget.
	Terms struct {
		// Share is the number of retries that each success adds.
		Share float64
		// Limit is the maximum number of retries in the budget. A new budget
		// starts full.
		Limit float64
	}

	// Budget is a token bucket that successes fill and retries drain, so that
	// retries stay a small share of the requests when everything fails. It is not
	// safe for concurrent use.
	Budget struct {
		terms Terms
		left  float64
	}

	// Budgets holds the budget of one process and one for each workspace. A retry
	// is spent from both. It is not safe for concurrent use.
	Budgets struct {
		each       Terms
		all        *Budget
		workspaces map[string]*Budget
	}

	// Backoff computes exponential delays with full jitter. The upper bound of a
	// delay doubles from Base to Max.
	Backoff struct {
		Base time.Duration
		Max  time.Duration
	}
)

// The budgets of an entry and of each of its workspaces. The limits are small, so
// that an overloaded pool does not get several attempts for each request.
var (
	EntryTerms     = Terms{Share: 0.1, Limit: 10}
	WorkspaceTerms = Terms{Share: 0.2, Limit: 10}
)

// NewBudget returns a full budget.
func NewBudget(t Terms) *Budget { return &Budget{terms: t, left: t.Limit} }

// Succeed records a success, which adds to the budget.
func (b *Budget) Succeed() { b.left = min(b.left+b.terms.Share, b.terms.Limit) }

// Allows reports whether the budget has a retry left.
func (b *Budget) Allows() bool { return b.left >= 1 }

// Take spends one retry and reports whether one was left.
func (b *Budget) Take() bool {
	if !b.Allows() {
		return false
	}
	b.left--
	return true
}

// NewBudgets returns full budgets: all configures that of the process, each that
// of every workspace.
func NewBudgets(all, each Terms) *Budgets {
	return &Budgets{each: each, all: NewBudget(all), workspaces: make(map[string]*Budget)}
}

// Succeed records a success, which adds to the budgets of the workspace and the
// process.
func (b *Budgets) Succeed(workspace string) {
	b.all.Succeed()
	if own, ok := b.workspaces[workspace]; ok {
		own.Succeed()
		b.forget(workspace, own)
	}
}

// Take spends one retry of the workspace and the process and reports whether both
// had one left.
func (b *Budgets) Take(workspace string) bool {
	own, ok := b.workspaces[workspace]
	if !ok {
		own = NewBudget(b.each)
		b.workspaces[workspace] = own
	}
	if !b.all.Allows() || !own.Allows() {
		return false
	}
	return b.all.Take() && own.Take()
}

// forget deletes a budget that is full again, since a new one starts full.
func (b *Budgets) forget(workspace string, own *Budget) {
	if own.left >= own.terms.Limit {
		delete(b.workspaces, workspace)
	}
}

// Delay returns the delay before the attempt that follows n failed ones. It is
// uniformly random between 0 and the bound, so that callers that failed together
// do not retry together.
func (b Backoff) Delay(n int, random *rand.Rand) time.Duration {
	bound := b.Base
	for range n - 1 {
		bound = min(bound*2, b.Max)
	}
	return time.Duration(random.Int64N(int64(bound) + 1))
}

// Spread returns the delay plus a random jitter of up to a quarter of it, so that
// callers that were refused together do not retry together.
func Spread(delay time.Duration, random *rand.Rand) time.Duration {
	return delay + time.Duration(random.Int64N(int64(delay)/4+1))
}
