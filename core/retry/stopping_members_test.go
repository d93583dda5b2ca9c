package retry_test

import (
	"fmt"
	"testing"
	"time"

	"rosereach/core/retry"
)

// The callers of a member that stops go to the others, while it still has what their requests paid for:
// together the members spent up to 1.34 times what the budget allows.
func TestStoppingMembersStayInBudgetTogether(t *testing.T) {
	cfg := retry.WindowBudgetConfig{Ratio: 0.9, Slack: 52, Window: 10 * time.Second}
	const step, delisted, exits = 5 * time.Millisecond, 500 * time.Millisecond, 7300 * time.Millisecond
	for _, members := range []int{2, 3, 6, 20} {
		for _, failing := range []time.Duration{0, 5 * time.Second} {
			t.Run(fmt.Sprintf("%d members, servers fail from %s before the signal on", members, failing), func(t *testing.T) {
				windows := make([]*retry.WindowBudget, members)
				for i := range windows {
					windows[i] = retry.NewWindowBudget(cfg)
				}
				signal := time.Unix(1000, 0)
				var f traffic
				next := 0
				for at := -20 * time.Second; at < 20*time.Second; at += step {
					now := signal.Add(at)
					if next = (next + 1) % members; next == 0 && at >= delisted {
						next = 1
					}
					windows[next].RecordRequest(now)
					f.requests = append(f.requests, now)
					for i, w := range windows {
						if at < -failing || i == 0 && at >= exits {
							continue
						}
						refusable := w.TrySpendRefusable
						if i == 0 && at >= 0 {
							refusable = w.TrySpendRefusableStopping
						}
						for refusable(now, members, 0) {
							f.retries = append(f.retries, now)
						}
						for w.TrySpendLeaving(now, members, 0) {
							f.retries = append(f.retries, now)
						}
					}
				}
				f.check(t, cfg)
			})
		}
	}
}
