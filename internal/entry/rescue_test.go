package entry

import "testing"

// Begun answers were taken from silent servers with all retries of the budget, and none was left to
// prove the ends of those that had only their ends to come.
func TestRescuesLeaveRetriesToProveEnds(t *testing.T) {
	f := newHarness(t).entry.forwarder
	var held []*rescues
	take := func() bool {
		r := &rescues{entry: &f.rescues}
		held = append(held, r)
		return f.takeRescue("s", r)
	}
	for range 1000 {
		if !take() {
			break
		}
	}
	taken := len(held) - 1
	if taken == 0 || f.rescues.Load() != int64(taken) {
		t.Fatalf("%d rescues, %d counted", taken, f.rescues.Load())
	}
	for _, r := range held[:2] {
		r.end()
	}
	if !take() {
		t.Error("answers that go on keep others from a rescue")
	}
	waiting := f.rescues.Load()
	for i := range waiting {
		if !f.takeRetry("s", true) {
			t.Fatalf("%d of %d rescued answers have a retry", i, waiting)
		}
	}
	for _, r := range held {
		r.end()
		r.end()
	}
	if n := f.rescues.Load(); n != 0 {
		t.Errorf("%d rescues are counted for requests that have ended", n)
	}
}
