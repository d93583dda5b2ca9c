package retry_test

import (
	"testing"
	"time"

	"rosereach/core/retry"
)

// Two bursts of retries, as far apart as the window is long, fall into one window if the
// first comes late in its slice and the second early in its own.
func TestRetriesAtSliceEdgesStayInBudget(t *testing.T) {
	const slack = 20
	cfg := retry.WindowBudgetConfig{Slack: slack, Window: 10 * time.Second}
	w := retry.NewWindowBudget(cfg)
	start := time.Unix(1000, 0)
	var spent []time.Time
	for ms := 0; ms < 30_000; ms += 10 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		w.RecordRequest(now)
		if phase := ms % 9_100; phase < 900 && ms >= 9_100 || phase >= 8_900 {
			if w.TrySpend(now, 1) {
				spent = append(spent, now)
			}
		}
	}
	for i, first := range spent {
		n := 0
		for _, at := range spent[i:] {
			if at.Sub(first) <= cfg.Window {
				n++
			}
		}
		if n > slack {
			t.Fatalf("%d retries within %v, bound %d", n, cfg.Window, slack)
		}
	}
}
