package model

import (
	"math/rand/v2"
	"testing"
	"time"

	"rosereach/core/backend"
	"rosereach/core/placement"
)

// An engine finds earlier prompts in its cache until they are evicted, and a
// cache hit reduces the time to first token.
func TestEngineCachesPrefixes(t *testing.T) {
	c := NewClock()
	cfg := DefaultEngine("e", "r", "z")
	cfg.CacheTokens = 3000
	e := NewEngine(c, cfg, rand.New(rand.NewPCG(1, 1)), func(backend.Load) {}, func(CacheEvent) {})
	ask := func(key uint64) time.Duration {
		start := c.Elapsed()
		var first time.Duration
		e.Submit(&Job{Prompt: []Segment{{Key: key, Tokens: 2000}}, OutputTokens: 3, OnFirst: func() { first = c.Elapsed() - start }})
		c.Advance(5 * time.Second)
		return first
	}
	cold, warm := ask(1), ask(1)
	if cold < 200*time.Millisecond || warm > cold/4 {
		t.Errorf("time to first token: %v uncached, %v cached", cold, warm)
	}
	ask(2)
	if again := ask(1); again != cold {
		t.Errorf("time to first token after eviction: %v, want %v", again, cold)
	}
}

// Runs with the same seed are identical, runs with different seeds differ.
func TestFleetIsReproducible(t *testing.T) {
	run := func(seed uint64) float64 {
		f := NewFleet(FleetConfig{Workload: VitrinaVacia(), Seed: seed, NewPolicy: func() placement.Policy { return placement.NewPredicted() }})
		f.OfferLoad(10, 20*time.Second)
		f.Clock.Advance(30 * time.Second)
		return Quantile(0.95, f.Stats.FirstToken) + float64(f.LinkBytes())
	}
	first := run(1)
	if again := run(1); again != first {
		t.Errorf("two runs of one seed: %v and %v", first, again)
	}
	if other := run(2); other == first {
		t.Errorf("two seeds give the same %v", other)
	}
}
