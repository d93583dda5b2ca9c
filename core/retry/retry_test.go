package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Retries never exceed the initial budget plus what successes added, for the
// process and for each workspace.
func TestBudgetsProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all, each := Terms{Share: 0.25, Limit: 6}, Terms{Share: 0.5, Limit: 3}
		b := NewBudgets(all, each)
		taken, earned := make(map[string]float64), make(map[string]float64)
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			workspace := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace")
			if rapid.Bool().Draw(t, "succeed") {
				b.Succeed(workspace)
				earned[workspace]++
				continue
			}
			if b.Take(workspace) {
				taken[workspace]++
			}
		}
		var sum, successes float64
		for workspace, n := range taken {
			if n > each.Limit+each.Share*earned[workspace] {
				t.Fatalf("%s: %v retries after %v successes", workspace, n, earned[workspace])
			}
			sum += n
		}
		for _, n := range earned {
			successes += n
		}
		if sum > all.Limit+all.Share*successes {
			t.Fatalf("%v retries after %v successes", sum, successes)
		}
	})
}

// A workspace whose requests fail does not use up the retries of another.
func TestBudgetsAreApart(t *testing.T) {
	b := NewBudgets(Terms{Share: 0.1, Limit: 10}, Terms{Share: 0.1, Limit: 2})
	for b.Take("failing") {
	}
	if !b.Take("other") {
		t.Error("no retry left for another workspace")
	}
}

func TestBackoff(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	b := Backoff{Base: 10 * time.Millisecond, Max: 40 * time.Millisecond}
	for n, bound := range []time.Duration{0, 10, 20, 40, 40, 40} {
		for range 100 {
			if d := b.Delay(n, random); n > 0 && (d < 0 || d > bound*time.Millisecond) {
				t.Fatalf("delay %s after %d failures", d, n)
			}
		}
	}
}
