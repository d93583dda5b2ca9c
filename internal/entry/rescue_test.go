package entry

import "testing"

// Begun answers were taken from silent servers with all retries of the budget, and none was left to
// prove the ends of those that had only their ends to come.
func TestRescuesLeaveRetriesToProveEnds(t *testing.T) {
	f := newHarness(t).entry.forwarder
	all := f.rescuesFor("s").service
	var held []*rescues
	take := func() bool {
		r := f.rescuesFor("s")
		held = append(held, r)
		return f.takeRescue("s", r)
	}
	for range 1000 {
		if !take() {
			break
		}
	}
	taken := len(held) - 1
	if taken == 0 || all.Load() != int64(taken) {
		t.Fatalf("%d rescues, %d counted", taken, all.Load())
	}
	for _, r := range held[:2] {
		r.end()
	}
	if !take() {
		t.Error("answers that go on keep others from a rescue")
	}
	waiting := all.Load()
	for i := range waiting {
		if !f.takeRetry("s", true) {
			t.Fatalf("%d of %d rescued answers have a retry", i, waiting)
		}
	}
	for _, r := range held {
		r.end()
		r.end()
	}
	if n := all.Load(); n != 0 {
		t.Errorf("%d rescues are counted for requests that have ended", n)
	}
}

// Answers that were taken from the silent servers of one service kept those of another, which has a
// budget of its own, at their servers until the exit cut them.
func TestRescuesOfAServiceLeaveThoseOfOthers(t *testing.T) {
	f := newHarness(t).entry.forwarder
	taken := make(map[string]int)
	for _, service := range []string{"busy", "other"} {
		for f.takeRescue(service, f.rescuesFor(service)) {
			taken[service]++
		}
	}
	if taken["busy"] == 0 || taken["other"] != taken["busy"] {
		t.Errorf("rescues of services with equal budgets: %v", taken)
	}
}
