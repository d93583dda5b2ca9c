// Package retry bounds how often and how soon failed work is tried again.
package retry

import (
	"math/rand/v2"
	"time"
)

type (
	// Terms are the settings of a budget. Every success earns Share of a
	// retry, up to Limit retries; a new budget starts full.
	Terms struct {
		Share float64
		Limit float64
	}

	// Budget is a token bucket that successes fill and retries empty, so that
	// retries stay a small share of the work when everything fails. It is not
	// safe for concurrent use.
	Budget struct {
		terms Terms
		left  float64
	}

	// Budgets are the budgets of one process and of each workspace. A retry
	// takes from both. It is not safe for concurrent use.
	Budgets struct {
		each       Terms
		all        *Budget
		workspaces map[string]*Budget
	}

	// Backoff gives the waits between tries: they double from Base to Max.
	Backoff struct {
		Base time.Duration
		Max  time.Duration
	}
)

// The terms of an entry and of each workspace there. The limits are small, so
// that a pool that runs out is not asked many times for each request.
var (
	EntryTerms     = Terms{Share: 0.1, Limit: 10}
	WorkspaceTerms = Terms{Share: 0.2, Limit: 10}
)

// NewBudget returns a full budget.
func NewBudget(t Terms) *Budget { return &Budget{terms: t, left: t.Limit} }

// Succeed earns a share of a retry.
func (b *Budget) Succeed() { b.left = min(b.left+b.terms.Share, b.terms.Limit) }

// Allows reports whether the budget holds a retry.
func (b *Budget) Allows() bool { return b.left >= 1 }

// Take spends one retry and reports whether the budget held it.
func (b *Budget) Take() bool {
	if !b.Allows() {
		return false
	}
	b.left--
	return true
}

// NewBudgets returns full budgets, with the terms for the whole process and
// for each workspace.
func NewBudgets(all, each Terms) *Budgets {
	return &Budgets{each: each, all: NewBudget(all), workspaces: make(map[string]*Budget)}
}

// Succeed earns a share of a retry for the workspace and the process.
func (b *Budgets) Succeed(workspace string) {
	b.all.Succeed()
	if own, ok := b.workspaces[workspace]; ok {
		own.Succeed()
		b.forget(workspace, own)
	}
}

// Take spends one retry of the workspace and reports whether it is allowed.
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

// forget drops a full budget: a new one would be the same.
func (b *Budgets) forget(workspace string, own *Budget) {
	if own.left >= own.terms.Limit {
		delete(b.workspaces, workspace)
	}
}

// Delay returns a random wait before the try after n failed ones, from 0 to
// the doubled bound, so that those who failed together do not come back
// together.
func (b Backoff) Delay(n int, random *rand.Rand) time.Duration {
	bound := b.Base
	for range n - 1 {
		bound = min(bound*2, b.Max)
	}
	return time.Duration(random.Int64N(int64(bound) + 1))
}

// Spread returns the wait, or up to a quarter more, so that those who were
// refused together do not come back together.
func Spread(wait time.Duration, random *rand.Rand) time.Duration {
	return wait + time.Duration(random.Int64N(int64(wait)/4+1))
}
