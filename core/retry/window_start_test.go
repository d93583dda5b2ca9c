package retry_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rosereach/core/retry"
)

// traffic is the requests and the retries of all members, in the order of time.
type traffic struct{ requests, retries []time.Time }

// between returns the number of times from the first, included, to the last, excluded.
func between(times []time.Time, first, last time.Time) float64 {
	from, _ := slices.BinarySearchFunc(times, first, time.Time.Compare)
	to, _ := slices.BinarySearchFunc(times, last, time.Time.Compare)
	return float64(to - from)
}

// check fails the test if a window that begins with a retry, or after a request, has more
// retries than the budget allows.
func (f traffic) check(t rapid.TB, cfg retry.WindowBudgetConfig) {
	t.Helper()
	starts := slices.Clone(f.retries)
	for _, at := range f.requests {
		starts = append(starts, at.Add(1))
	}
	for _, first := range starts {
		requests := max(between(f.requests, first, first.Add(cfg.Window)), between(f.requests, first.Add(-cfg.Window), first),
			between(f.requests, first.Add(-cfg.Window/2), first.Add(cfg.Window/2)))
		if retries := between(f.retries, first, first.Add(cfg.Window)); retries > cfg.Ratio*requests+cfg.Slack {
			t.Fatalf("from %v: %v retries of %v requests, bound %v", first.Sub(f.requests[0]), retries, requests, cfg.Ratio*requests+cfg.Slack)
		}
	}
}

// Requests that come together when traffic starts pay for retries in a window that begins
// after them: 611 retries where 604 were allowed.
func TestBurstBeforeWindowPaysForNoRetryInIt(t *testing.T) {
	const members, slack = 6, 52
	cfg := retry.WindowBudgetConfig{Ratio: 0.9, Slack: slack, Window: 10 * time.Second}
	var windows []*retry.WindowBudget
	for range members {
		windows = append(windows, retry.NewWindowBudget(cfg))
	}
	var f traffic
	start := time.Unix(1000, 0)
	for ms := 0; ms < 30_000; ms += 5 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		w := windows[(ms/5)%members]
		if ms < 150 || ms%20 == 0 {
			w.RecordRequest(now)
			f.requests = append(f.requests, now)
		}
		for ms >= 150 && w.TrySpend(now, members) {
			f.retries = append(f.retries, now)
		}
	}
	f.check(t, cfg)
}

// However the requests and the retries of a member come, each window stays in the budget.
func TestEachWindowStaysInBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := retry.WindowBudgetConfig{Ratio: 0.5, Slack: 4, Window: time.Second}
		w := retry.NewWindowBudget(cfg)
		var f traffic
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			for range rapid.IntRange(0, 20).Draw(t, "requests") {
				w.RecordRequest(now)
				f.requests = append(f.requests, now)
			}
			for range rapid.IntRange(0, 20).Draw(t, "retries") {
				if w.TrySpend(now, 1) {
					f.retries = append(f.retries, now)
				}
			}
		}
		f.check(t, cfg)
	})
}
