package experiment

import (
	"context"
	"math"

	"rosereach/core/cascade"
	"rosereach/core/template"
	"rosereach/core/version"
)

const (
	choiceRequests = 24_000
	choiceWarmUp   = 8_000

	// followWindow is the number of requests over which a change is judged to
	// be followed.
	followWindow = 250
	followLimit  = 500
)

type choiceFirm struct {
	name     string
	priority template.Priorities
}

var choiceFirms = []choiceFirm{
	{"vitrina_vacia", template.Priorities{Cost: 0.5, Latency: 1}},
	{"terminalna", template.Priorities{Cost: 1, Exposure: 1}},
}

func choiceExperiment() Experiment {
	return newSeeded("choice", "choose versions and cascades: quality, cost, following changes", decisionSeeds, measureChoice)
}

// measureChoice compares the learned choice with the baselines and with an
// oracle that knows the truth.
func measureChoice(ctx context.Context, opts Options) (Result, error) {
	seeds, err := overSeeds(ctx, opts.Seeds, opts.Progress, func(seed uint64) samples {
		var s samples
		for _, firm := range choiceFirms {
			s = append(s, compareChoice(firm, seed)...)
			s = append(s, followChange(firm, seed, "price", 4, 0)...)
			s = append(s, followChange(firm, seed, "quality", 1, -0.15)...)
		}
		return s
	})
	return Result{Experiment: "choice", Seeds: opts.Seeds, Rows: rowsOf(seeds)}, err
}

func learnedChoice(w *choiceWorld) *cascade.Learned {
	cfg := cascade.DefaultLearnedConfig()
	cfg.Judge = &w.judge
	return cascade.NewLearned(cfg)
}

func compareChoice(firm choiceFirm, seed uint64) samples {
	var s samples
	costs := make(map[string]float64)
	for _, name := range []string{"learned", "strongest", "cheapest", "uniform", "previous"} {
		w := newChoiceWorld(seed, firm.priority)
		p := map[string]cascade.Policy{
			"learned": learnedChoice(w), "strongest": cascade.Strongest{}, "cheapest": cascade.LowestPrice{},
			"uniform": cascade.Uniform{}, "previous": cascade.Cheapest{},
		}[name]
		if name == "learned" {
			w.solve()
		}
		outcomes := w.run(p, choiceRequests, -1, nil)[choiceWarmUp:]
		costs[name] = meanCost(outcomes)
		if name == "learned" {
			costs["oracle"] = meanOracleCost(outcomes)
			s.add(firm.name+" least quality over target", "quality", leastMargin(w, outcomes), atLeast(0))
			continue
		}
		s.add(firm.name+" "+name+" least quality over target", "quality", leastMargin(w, outcomes), nil)
	}
	s.add(firm.name+" cost to the oracle's", "ratio", costs["learned"]/costs["oracle"], atMost(1.15))
	s.add(firm.name+" cost to always-strongest", "ratio", costs["learned"]/costs["strongest"], atMost(0.6))
	for _, name := range []string{"cheapest", "uniform", "previous"} {
		s.add(firm.name+" cost to "+name, "ratio", costs["learned"]/costs[name], nil)
	}
	return s
}

// followChange counts the requests until the version that serves most is no
// longer chosen at a loss, after its price rose or its quality fell.
func followChange(firm choiceFirm, seed uint64, name string, price, quality float64) samples {
	w := newChoiceWorld(seed, firm.priority)
	ref := version.Ref{Model: "medium", Version: "v1"}
	outcomes := w.run(learnedChoice(w), choiceWarmUp+4*followLimit, choiceWarmUp, func() { w.change(ref, price, quality) })
	var s samples
	s.add(firm.name+" requests until a change of "+name+" is followed", "requests",
		float64(followedAfter(w, outcomes[choiceWarmUp:])), atMost(followLimit))
	return s
}

// followedAfter returns the number of requests before the first window whose
// quality and cost keep to the target and near the new oracle.
func followedAfter(w *choiceWorld, outcomes []outcome) int {
	const step, slack, nearCost = 50, 0.01, 1.25
	for from := 0; from+followWindow <= len(outcomes); from += step {
		window := outcomes[from : from+followWindow]
		var over float64
		for _, o := range window {
			over += o.quality - w.targets[o.workspace]
		}
		if over/followWindow >= -slack && meanCost(window) <= nearCost*meanOracleCost(window) {
			return from
		}
	}
	return len(outcomes)
}

func leastMargin(w *choiceWorld, outcomes []outcome) float64 {
	sum, n := make(map[string]float64), make(map[string]float64)
	for _, o := range outcomes {
		sum[o.workspace] += o.quality
		n[o.workspace]++
	}
	least := math.Inf(1)
	for name, count := range n {
		least = min(least, sum[name]/count-w.targets[name])
	}
	return least
}

func meanCost(outcomes []outcome) float64 {
	var sum float64
	for _, o := range outcomes {
		sum += o.cost / float64(len(outcomes))
	}
	return sum
}

func meanOracleCost(outcomes []outcome) float64 {
	var sum float64
	for _, o := range outcomes {
		sum += o.oracleCost / float64(len(outcomes))
	}
	return sum
}
