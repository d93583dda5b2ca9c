package rollout_test

import (
	"testing"
	"time"

	"rosereach/core/rollout"
)

// pacedTally counts n streams at a release. Their events are 40 to 56 ms apart, times the
// factor, and those of every slowEvery-th eight times that, 0 for none. The times to their
// first byte vary widely.
func pacedTally(release, model string, n, slowEvery int, factor float64) rollout.Tally {
	t := rollout.Tally{Service: "s", Release: release, Route: "r", Model: model}
	for i := range n {
		gap := factor * float64(40+4*(i%5))
		if slowEvery > 0 && i%slowEvery == 0 {
			gap *= 8
		}
		first := expected
		if i%3 == 0 {
			first *= 6
		}
		t = t.WithAttempt(false, first, expected).WithPace(time.Duration(gap * float64(time.Millisecond)))
	}
	return t
}

// A release that is eight times slower on half of its requests was completed: the times to
// the first byte varied as widely at the old release, whose servers had queues.
func TestSlowPaceRollsBack(t *testing.T) {
	for name, c := range map[string]struct {
		tallies []rollout.Tally
		want    rollout.Stage
	}{
		"half of the requests are slow": {
			[]rollout.Tally{pacedTally("v1", "m", 200, 0, 1), pacedTally("v2", "m", 16, 2, 1)}, rollout.StageRolledBack,
		},
		"all requests are slow": {
			[]rollout.Tally{pacedTally("v1", "m", 200, 0, 1), pacedTally("v2", "m", 6, 1, 1)}, rollout.StageRolledBack,
		},
		"servers that read whole prompts are slower": {
			[]rollout.Tally{pacedTally("v1", "m", 200, 0, 1), pacedTally("v2", "m", 40, 0, 1.4)}, rollout.StageCanary,
		},
		"the new release got more requests for the slower model": {
			[]rollout.Tally{
				pacedTally("v1", "small", 300, 0, 1), pacedTally("v1", "large", 20, 0, 4),
				pacedTally("v2", "small", 4, 0, 1), pacedTally("v2", "large", 30, 0, 4),
			}, rollout.StageCanary,
		},
		"few streams": {
			[]rollout.Tally{pacedTally("v1", "m", 200, 0, 1), pacedTally("v2", "m", 4, 2, 1)}, rollout.StageCanary,
		},
	} {
		if got, reason := next(order(rollout.StageCanary), duration*55/100, c.tallies...); got != c.want {
			t.Errorf("%s: %s (%s), want %s", name, got, reason, c.want)
		}
	}
}
