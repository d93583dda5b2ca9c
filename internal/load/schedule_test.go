package load

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func bothSources(rate float64) []Source {
	return []Source{
		{Profile: Vitrina(), Key: "a", Rate: rate},
		{Profile: Terminalna(), Key: "b", Rate: rate},
	}
}

func TestScheduleIsFixedBySeed(t *testing.T) {
	first := Schedule(bothSources(20), 10*time.Second, 3)
	if diff := cmp.Diff(first, Schedule(bothSources(20), 10*time.Second, 3)); diff != "" {
		t.Error(diff)
	}
	if cmp.Equal(first, Schedule(bothSources(20), 10*time.Second, 4)) {
		t.Error("another seed gave the same schedule")
	}
}

// Arrivals form a Poisson process: the counts per second have equal mean and
// variance. Classes have their shares, ids are unique and sessions have the
// configured number of turns.
func TestScheduleMix(t *testing.T) {
	const rate, length = 50.0, 400
	all := Schedule([]Source{{Profile: Vitrina(), Rate: rate}}, length*time.Second, 1)
	var perSecond [length]float64
	classes := make(map[string]float64)
	ids := make(map[string]bool)
	turns := make(map[int]int)
	for i, a := range all {
		if i > 0 && a.At < all[i-1].At {
			t.Fatalf("arrival %d is out of order", i)
		}
		perSecond[a.At/time.Second]++
		classes[a.Class.Name]++
		ids[a.ID] = true
		if a.Session > 0 {
			turns[a.Session]++
		}
	}
	if len(ids) != len(all) {
		t.Errorf("%d ids for %d arrivals", len(ids), len(all))
	}
	var variance float64
	mean := float64(len(all)) / length
	for _, n := range perSecond {
		variance += (n - mean) * (n - mean) / length
	}
	if math.Abs(mean-rate) > rate*0.05 || math.Abs(variance-mean) > mean*0.25 {
		t.Errorf("mean %.1f and variance %.1f at rate %.0f", mean, variance, rate)
	}
	for _, c := range Vitrina().Classes {
		if share := classes[c.Name] / float64(len(all)); math.Abs(share-c.Weight) > 0.015 {
			t.Errorf("%s has share %.3f, want %.3f", c.Name, share, c.Weight)
		}
	}
	for session, n := range turns {
		if n != 4 && session != len(turns) {
			t.Errorf("session %d has %d turns", session, n)
		}
	}
}
