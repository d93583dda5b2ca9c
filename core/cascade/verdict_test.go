package cascade

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// Replays a version whose quality falls while ratings come minutes late: the judge's
// verdicts change the choice, and late ratings of answers before the fall do not change
// it back.
func TestVerdictsShowFall(t *testing.T) {
	small, large := versionOf("small", "serving", 0.6, 10), versionOf("large", "serving", 0.9, 100)
	cfg := DefaultLearnedConfig()
	cfg.ExploreShare = 0
	cfg.Judge = &Judge{Price: 100_000, Noise: 0.08} // too expensive for cascades
	l, random := NewLearned(cfg), rand.New(rand.NewPCG(1, 1))
	chosen := func() string {
		p, ok := l.Choose(start, demandOf(0.7, large, small), random)
		if !ok || len(p.Steps) != 1 {
			t.Fatalf("plan %+v, %v", p, ok)
		}
		return p.Steps[0].Model
	}
	rateAt := func(at time.Time, n int) {
		good := 0.8
		for range n {
			l.Observe(Observation{At: at, Workspace: "w", Class: "question", Ref: small.Ref, Quality: &good})
		}
	}
	judge := func(verdict float64, n int) {
		for range n {
			l.Observe(Observation{At: start, Workspace: "w", Class: "question", Ref: small.Ref, Verdict: &verdict})
		}
	}
	rateAt(start.Add(-time.Hour), 60)
	judge(0.8, 30)
	if got := chosen(); got != "small" {
		t.Fatalf("after good ratings and verdicts %s", got)
	}
	judge(0.65, 20)
	if got := chosen(); got != "large" {
		t.Errorf("after bad verdicts %s", got)
	}
	rateAt(start.Add(-time.Minute), 200)
	if got := chosen(); got != "large" {
		t.Errorf("after late ratings %s", got)
	}
	rateAt(start.Add(time.Minute), 200)
	if got := chosen(); got != "small" {
		t.Errorf("after good ratings of later answers %s", got)
	}
}

// The judge checks the share of answers that its budget pays for.
func TestVerdictBudget(t *testing.T) {
	small := versionOf("small", "serving", 0.9, 1000)
	for _, tc := range []struct {
		name  string
		judge *Judge
		want  float64
	}{
		{"no judge", nil, 0},
		{"as expensive as the answer", &Judge{Price: 1000}, 0.015},
		{"a tenth of the answer", &Judge{Price: 100}, 0.15},
		{"free", &Judge{}, maxJudgedShare},
	} {
		t.Run(tc.name, func(t *testing.T) {
			cfg := DefaultLearnedConfig()
			cfg.Judge = tc.judge
			l, random := NewLearned(cfg), rand.New(rand.NewPCG(1, 1))
			const n = 20_000
			var judged float64
			for range n {
				if p, _ := l.Choose(start, demandOf(0.7, small), random); p.IsJudged {
					judged++
				}
			}
			if got := judged / n; math.Abs(got-tc.want) > 0.01 {
				t.Errorf("share %.4f, want %.4f", got, tc.want)
			}
		})
	}
}
