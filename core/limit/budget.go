package limit

import "time"

// Retries are a twentieth of the first attempts, and at most ten at once.
const (
	retryShare = 0.05
	retryBurst = 10
)

type (
	// Budget pays for retries: every first attempt adds a share of a retry.
	// When it is empty, failures are passed on instead of repeated.
	Budget struct {
		share float64
		most  float64
		held  float64
	}

	// Bytes is the budget of bytes for the link between regions: it refills at
	// a rate and holds at most a burst.
	Bytes struct {
		perSecond float64
		burst     float64
		held      float64
		at        time.Time
	}
)

// NewBudget returns a budget that allows share retries for each first attempt
// and saves up at most most of them.
func NewBudget(share, most float64) *Budget { return &Budget{share: share, most: most} }

// DefaultBudget returns an empty budget with the shares of an entry.
func DefaultBudget() *Budget { return NewBudget(retryShare, retryBurst) }

// Earn adds the share of a first attempt.
func (b *Budget) Earn() { b.held = min(b.held+b.share, b.most) }

// Spend takes one retry, or returns false when there is none.
func (b *Budget) Spend() bool {
	if b.held < 1 {
		return false
	}
	b.held--
	return true
}

// NewBytes returns a full budget.
func NewBytes(perSecond, burst float64) *Bytes {
	return &Bytes{perSecond: perSecond, burst: burst, held: burst}
}

// Has reports whether n bytes may be sent over the link now.
func (b *Bytes) Has(now time.Time, n int64) bool {
	b.refill(now)
	return b.held >= float64(n)
}

// Spend takes n bytes. What is sent in spite of an empty budget is taken from
// what refills later.
func (b *Bytes) Spend(now time.Time, n int64) {
	b.refill(now)
	b.held -= float64(n)
}

func (b *Bytes) refill(now time.Time) {
	if !b.at.IsZero() && now.After(b.at) {
		b.held = min(b.held+now.Sub(b.at).Seconds()*b.perSecond, b.burst)
	}
	if now.After(b.at) {
		b.at = now
	}
}
