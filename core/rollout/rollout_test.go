package rollout

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"rosereach/core/version"
)

var (
	start  = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)
	newRef = version.Ref{Model: "small", Version: "v2"}
	oldRef = version.Ref{Model: "small", Version: "v1"}
)

// ratings returns n ratings that alternate between the versions.
func ratings(from uint64, n int, quality float64, random *rand.Rand) []Rating {
	var list []Rating
	for i := range n {
		ref, mean := newRef, quality
		if i%2 == 0 {
			ref, mean = oldRef, 0.8
		}
		list = append(list, Rating{Sequence: from + uint64(i), Ref: ref, Quality: mean + random.NormFloat64()*0.1})
	}
	return list
}

func TestNext(t *testing.T) {
	late := start.Add(10 * time.Minute)
	random := rand.New(rand.NewPCG(1, 1))
	for _, tc := range []struct {
		name     string
		now      time.Time
		evidence Evidence
		kind     Kind
		state    State
		share    float64
	}{
		{"no evidence", late, Evidence{}, Keep, Canary, 0.02},
		{"good ratings too soon", start, Evidence{Ratings: ratings(1, 600, 0.8, random)}, Keep, Canary, 0.02},
		{"good ratings", late, Evidence{Ratings: ratings(1, 600, 0.8, random)}, Promote, Ramping, 0.1},
		{"bad ratings", start, Evidence{Ratings: ratings(1, 400, 0.6, random)}, Hold, Held, 0},
		{"an entry holds", start, Evidence{HeldBy: "entry-1"}, Hold, Held, 0},
	} {
		next, action := Next(tc.now, Start(start, DefaultPlan(newRef, oldRef)), tc.evidence)
		if action.Kind != tc.kind || next.State != tc.state || next.Share() != tc.share {
			t.Errorf("%s: action %+v, state %s, share %v", tc.name, action, next.State, next.Share())
		}
	}
}

// Evidence that is passed again, as after a failover, must not count twice.
func TestNextCountsOnce(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 1))
	list := ratings(1, 300, 0.75, random)
	whole, _ := Next(start, Start(start, DefaultPlan(newRef, oldRef)), Evidence{Ratings: list})
	parts := Start(start, DefaultPlan(newRef, oldRef))
	for i := 20; i <= len(list); i += 20 {
		parts, _ = Next(start, parts, Evidence{Ratings: list[max(i-70, 0):i]})
	}
	if diff := cmp.Diff(whole, parts); diff != "" {
		t.Error(diff)
	}
}

// A held roll-out stays held until an operator resumes it, from the first
// stage and with a new test.
func TestHeldStaysHeld(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 1))
	r, _ := Next(start, Start(start, DefaultPlan(newRef, oldRef)), Evidence{HeldBy: "entry-1"})
	r, action := Next(start.Add(time.Hour), r, Evidence{Ratings: ratings(1, 900, 0.9, random)})
	if r.State != Held || action.Kind != Keep {
		t.Errorf("after good ratings: %s, %+v", r.State, action)
	}
	r, err := r.WithTrigger(start.Add(time.Hour), ToResume)
	if err != nil || r.State != Canary || r.Stage != 0 || r.Worse != (SequentialTest{}) {
		t.Errorf("resumed: %+v, %v", r, err)
	}
}

// Checking the test after every value must not reject a true hypothesis more often
// than the level allows.
func TestSequentialTestIsValidAnytime(t *testing.T) {
	const runs, values, level = 2000, 500, 0.05
	random := rand.New(rand.NewPCG(4, 1))
	rejected := 0
	for range runs {
		var b SequentialTest
		for range values {
			if b = b.With(random.NormFloat64() * 0.2); b.Rejects(level) {
				rejected++
				break
			}
		}
	}
	if rate := float64(rejected) / runs; rate > level {
		t.Errorf("rejected a true hypothesis in %v of runs", rate)
	}
}

// A guard holds a failing version after a few failures and until it is released,
// and does not hold other versions.
func TestGuard(t *testing.T) {
	g := NewGuard()
	for range 1000 {
		g.Observe(newRef, false)
	}
	held := 0
	for i := 1; i <= 20 && held == 0; i++ {
		if g.Observe(newRef, true) {
			held = i
		}
	}
	if held == 0 || !g.Holds(newRef) || g.Holds(oldRef) {
		t.Errorf("held after %d failures", held)
	}
	for range 100 {
		g.Observe(newRef, false)
	}
	if !g.Holds(newRef) {
		t.Error("successes after the hold released it")
	}
	g.Release(newRef)
	if g.Holds(newRef) {
		t.Error("still held after Release")
	}
}

func TestPlanCheck(t *testing.T) {
	if found := DefaultPlan(newRef, oldRef).Check(); len(found) != 0 {
		t.Errorf("the default plan: %v", found)
	}
	bad := Plan{Ref: newRef, Baseline: newRef, Shares: []float64{0.5, 0.2}, Tolerance: 0, Error: 1}
	if found := bad.Check(); len(found) != 4 {
		t.Errorf("findings: %v", found)
	}
}
