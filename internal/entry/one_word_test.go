package entry

import (
	"testing"
	"time"

	"rosereach/core/retry"
)

// A whole stream whose end only its sound server's connection marks waits for a retry until its
// deadline, or the exit, and is cut there if the budget has none.
func TestUnframedStreamIsNotCutForWantOfARetry(t *testing.T) {
	r := newHarness(t)
	r.entry.forwarder.retryBudgets = retry.NewWindowBudgets(retry.WindowBudgetConfig{Window: time.Minute})
	began := time.Now()
	got, runs := r.restInTurn(3, untilClose("", 1, 2, 3))
	if got.err != nil || got.body != streamText(1, 3) {
		t.Errorf("%q after %d runs and %s, %v", got.body, runs, time.Since(began), got.err)
	}
}
