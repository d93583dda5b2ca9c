package retry_test

import (
	"fmt"
	"testing"
	"time"

	"rosereach/core/retry"
)

// The retries of the requests that a stopping member refuses no longer used up its budget once these
// requests began to leave the window: up to the exit no stream of a silent server found one.
func TestStoppingMemberKeepsRetriesForStreams(t *testing.T) {
	cfg := retry.WindowBudgetConfig{Ratio: 0.9, Slack: 52, Window: 10 * time.Second}
	const step, closes, exits = 10 * time.Millisecond, 2700 * time.Millisecond, 7300 * time.Millisecond
	for _, members := range []int{2, 3, 6, 300} {
		for _, each := range []int{1, 2, 10} {
			t.Run(fmt.Sprintf("%d members, %d retries a request", members, each), func(t *testing.T) {
				w := retry.NewWindowBudget(cfg)
				signal := time.Unix(1000, 0)
				retried, streams := 0, 0
				for at := -20 * time.Second; at < exits; at += step {
					now := signal.Add(at)
					if at < closes {
						w.RecordRequest(now)
					}
					for range each {
						if at >= 0 && at < closes && w.TrySpendRefusableStopping(now, members, 0) {
							retried++
						}
					}
					if at >= closes && at%(500*time.Millisecond) == 0 {
						if streams++; !w.TrySpendLeaving(now, members, 0) {
							t.Errorf("no retry for a stream %s after the signal", at)
						}
					}
				}
				if retried == 0 || streams == 0 {
					t.Errorf("%d retries of requests, %d streams", retried, streams)
				}
			})
		}
	}
}
