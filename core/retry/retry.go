// Package retry provides retry budgets, which bound how often failed requests are
// retried, and backoff, which spaces the retries.
package retry

import (
	"math/rand/v2"
	"time"
)

type (
	// BudgetConfig configures a Budget.
	BudgetConfig struct {
		// RetriesPerSuccess is the number of retries that each success adds.
		RetriesPerSuccess float64
		// MaxRetries is the maximum number of retries in the budget. A new budget
		// starts full.
		MaxRetries float64
	}

	// Budget is a token bucket that successes fill and retries drain, so that
	// retries stay a small share of the requests when everything fails. It is not
	// safe for concurrent use.
	Budget struct {
		cfg    BudgetConfig
		tokens float64
	}

	// Budgets holds the budget of one process and one for each workspace. A retry
	// is spent from both. It is not safe for concurrent use.
	Budgets struct {
		workspaceConfig BudgetConfig
		process         *Budget
		workspaces      map[string]*Budget
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
	EntryBudgetConfig     = BudgetConfig{RetriesPerSuccess: 0.1, MaxRetries: 10}
	WorkspaceBudgetConfig = BudgetConfig{RetriesPerSuccess: 0.2, MaxRetries: 10}
)

// NewBudget returns a full budget.
func NewBudget(cfg BudgetConfig) *Budget { return &Budget{cfg: cfg, tokens: cfg.MaxRetries} }

// RecordSuccess records a success, which adds to the budget.
func (b *Budget) RecordSuccess() { b.tokens = min(b.tokens+b.cfg.RetriesPerSuccess, b.cfg.MaxRetries) }

// Allows reports whether the budget has a retry left.
func (b *Budget) Allows() bool { return b.tokens >= 1 }

// TrySpend spends one retry and reports whether one was left.
func (b *Budget) TrySpend() bool {
	if !b.Allows() {
		return false
	}
	b.tokens--
	return true
}

// NewBudgets returns full budgets. The parameter all configures the budget of the
// process, each that of every workspace.
func NewBudgets(all, each BudgetConfig) *Budgets {
	return &Budgets{workspaceConfig: each, process: NewBudget(all), workspaces: make(map[string]*Budget)}
}

// RecordSuccess records a success, which adds to the budgets of the workspace and the
// process.
func (b *Budgets) RecordSuccess(workspace string) {
	b.process.RecordSuccess()
	if own, ok := b.workspaces[workspace]; ok {
		own.RecordSuccess()
		b.dropIfFull(workspace, own)
	}
}

// TrySpend spends one retry of the workspace and the process and reports whether both
// had one left.
func (b *Budgets) TrySpend(workspace string) bool {
	own, ok := b.workspaces[workspace]
	if !ok {
		own = NewBudget(b.workspaceConfig)
		b.workspaces[workspace] = own
	}
	if !b.process.Allows() || !own.Allows() {
		return false
	}
	return b.process.TrySpend() && own.TrySpend()
}

// dropIfFull deletes a budget that is full again, since a new one starts full.
func (b *Budgets) dropIfFull(workspace string, own *Budget) {
	if own.tokens >= own.cfg.MaxRetries {
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

// WithJitter returns the delay plus a random jitter of up to a quarter of it, so that
// callers that were refused together do not retry together.
func WithJitter(delay time.Duration, random *rand.Rand) time.Duration {
	return delay + time.Duration(random.Int64N(int64(delay)/4+1))
}
