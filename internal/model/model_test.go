package model

import (
	"math/rand/v2"
	"testing"
	"time"

	"rosereach/core/backend"
	"rosereach/core/placement"
)

// An engine finds in its cache what it has read before, until memory runs out,
// and a found prefix brings the first token forward.
func TestEngineCachesPrefixes(t *testing.T) {
	c := NewClock()
	cfg := DefaultEngine("e", "r", "z")
	cfg.CacheTokens = 3000
	e := NewEngine(c, cfg, rand.New(rand.NewPCG(1, 1)), func(backend.Load) {}, func(CacheEvent) {})
	ask := func(key uint64) time.Duration {
		start := c.Since()
		var first time.Duration
		e.Submit(&Job{Prompt: []Segment{{Key: key, Tokens: 2000}}, Output: 3, OnFirst: func() { first = c.Since() - start }})
		c.Run(5 * time.Second)
		return first
	}
	cold, warm := ask(1), ask(1)
	if cold < 200*time.Millisecond || warm > cold/4 {
		t.Errorf("first token cold after %v, warm after %v", cold, warm)
	}
	ask(2)
	if again := ask(1); again != cold {
		t.Errorf("first token after eviction in %v, want %v", again, cold)
	}
}

// The same seed gives the same run, another seed another one.
func TestFleetIsReproducible(t *testing.T) {
	run := func(seed uint64) float64 {
		f := NewFleet(FleetConfig{Workload: VitrinaVacia(), Seed: seed, Policy: func() placement.Policy { return placement.NewPredicted() }})
		f.Offer(10, 20*time.Second)
		f.Clock.Run(30 * time.Second)
		return Quantile(0.95, f.Stats.First) + float64(f.LinkBytes())
	}
	first := run(1)
	if again := run(1); again != first {
		t.Errorf("two runs of one seed: %v and %v", first, again)
	}
	if other := run(2); other == first {
		t.Errorf("two seeds give the same %v", other)
	}
}
