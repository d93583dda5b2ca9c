package cascade

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"rosereach/core/template"
	"rosereach/core/version"
)

var start = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

func versionOf(model string, state version.State, quality float64, price int64) version.Version {
	return version.Version{Ref: version.Ref{Model: model, Version: "v1"}, State: state, Quality: quality, OutputPrice: price, InputPrice: price}
}

func demandOf(target float64, permitted ...version.Version) Demand {
	return Demand{Workspace: "w", Class: "question", Policy: template.Policy{QualityTarget: target}, Permitted: permitted, InputTokens: 1000}
}

func rate(l *Learned, ref version.Ref, quality float64, n int) {
	for range n {
		l.Observe(Observation{Workspace: "w", Class: "question", Ref: ref, Quality: &quality})
	}
}

// The policy chooses the cheapest version whose ratings meet the target, and
// changes its choice when the ratings fall.
func TestLearnedFollowsRatings(t *testing.T) {
	small, large := versionOf("small", version.Serving, 0.6, 10), versionOf("large", version.Serving, 0.9, 100)
	cfg := DefaultLearnedConfig()
	cfg.ExploreShare = 0
	l, random := NewLearned(cfg), rand.New(rand.NewPCG(1, 1))
	choose := func() string {
		p, ok := l.Choose(start, demandOf(0.7, large, small), random)
		if !ok || len(p.Steps) != 1 {
			t.Fatalf("plan %+v, %v", p, ok)
		}
		return p.Steps[0].Model
	}
	if got := choose(); got != "large" {
		t.Errorf("without ratings %s", got)
	}
	rate(l, small.Ref, 0.85, 60)
	if got := choose(); got != "small" {
		t.Errorf("after good ratings %s", got)
	}
	rate(l, small.Ref, 0.5, 40)
	if got := choose(); got != "large" {
		t.Errorf("after bad ratings %s", got)
	}
	if _, ok := l.Choose(start, demandOf(0.7), random); ok {
		t.Error("a choice without permitted versions")
	}
}

// Cascades are used only for requests without a session and with a judge that is
// worth its price.
func TestLearnedCascades(t *testing.T) {
	small, large := versionOf("small", version.Serving, 0.7, 10), versionOf("large", version.Serving, 0.9, 1000)
	cfg := DefaultLearnedConfig()
	cfg.ExploreShare = 0
	for _, tc := range []struct {
		name      string
		judge     *Judge
		inSession bool
		steps     int
	}{
		{"no session", &Judge{Price: 1, Noise: 0.05}, false, 2},
		{"in a session", &Judge{Price: 1, Noise: 0.05}, true, 1},
		{"no judge", nil, false, 1},
		{"expensive judge", &Judge{Price: 5000, Noise: 0.05}, false, 1},
	} {
		cfg.Judge = tc.judge
		l, d := NewLearned(cfg), demandOf(0.78, large, small)
		rate(l, small.Ref, 0.7, 100)
		rate(l, large.Ref, 0.9, 100)
		d.InSession = tc.inSession
		p, ok := l.Choose(start, d, rand.New(rand.NewPCG(1, 1)))
		if !ok || len(p.Steps) != tc.steps {
			t.Errorf("%s: plan %+v", tc.name, p)
		}
	}
}

// A version in a roll-out gets its share of the model's requests.
func TestCanaryShare(t *testing.T) {
	stable := versionOf("small", version.Serving, 0.9, 10)
	canary := versionOf("small", version.Canary, 0.9, 10).WithShare(0.1)
	canary.Ref.Version = "v2"
	l, random := NewLearned(DefaultLearnedConfig()), rand.New(rand.NewPCG(1, 1))
	const n = 5000
	got := 0
	for range n {
		p, _ := l.Choose(start, demandOf(0.5, stable, canary), random)
		if p.Steps[0] == canary.Ref {
			got++
		}
	}
	if share := float64(got) / n; math.Abs(share-0.1) > 0.015 {
		t.Errorf("canary's share %v", share)
	}
}

// Every baseline policy follows its rule.
func TestBaselines(t *testing.T) {
	a, b, c := versionOf("a", version.Serving, 0.6, 1), versionOf("b", version.Serving, 0.8, 5), versionOf("c", version.Serving, 0.9, 9)
	for _, tc := range []struct {
		policy Policy
		want   string
	}{{Cheapest{}, "b"}, {Strongest{}, "c"}, {LowestPrice{}, "a"}} {
		p, ok := tc.policy.Choose(start, demandOf(0.7, a, b, c), rand.New(rand.NewPCG(1, 1)))
		if !ok || p.Steps[0].Model != tc.want {
			t.Errorf("%s chose %+v", tc.policy.Name(), p)
		}
	}
}
