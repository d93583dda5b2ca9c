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
		all, each := BudgetConfig{RetriesPerSuccess: 0.25, MaxRetries: 6}, BudgetConfig{RetriesPerSuccess: 0.5, MaxRetries: 3}
		b := NewBudgets(all, each)
		taken, earned := make(map[string]float64), make(map[string]float64)
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			workspace := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace")
			if rapid.Bool().Draw(t, "succeed") {
				b.RecordSuccess(workspace)
				earned[workspace]++
				continue
			}
			if b.TrySpend(workspace) {
				taken[workspace]++
			}
		}
		var sum, successes float64
		for workspace, n := range taken {
			if n > each.MaxRetries+each.RetriesPerSuccess*earned[workspace] {
				t.Fatalf("%s: %v retries after %v successes", workspace, n, earned[workspace])
			}
			sum += n
		}
		for _, n := range earned {
			successes += n
		}
		if sum > all.MaxRetries+all.RetriesPerSuccess*successes {
			t.Fatalf("%v retries after %v successes", sum, successes)
		}
	})
}

// A workspace whose requests fail does not use up the retries of another.
func TestBudgetsAreIndependent(t *testing.T) {
	b := NewBudgets(BudgetConfig{RetriesPerSuccess: 0.1, MaxRetries: 10}, BudgetConfig{RetriesPerSuccess: 0.1, MaxRetries: 2})
	for b.TrySpend("failing") {
	}
	if !b.TrySpend("other") {
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
