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

	// adaptationWindow is the number of requests over which quality and cost are
	// averaged to judge whether the policy has adapted to a change.
	adaptationWindow = 250

	// adaptationLimit is the number of requests within which it has to adapt.
	adaptationLimit = 500
)

// choiceCustomer is a customer with its priorities.
type choiceCustomer struct {
	name       string
	priorities template.Priorities
}

var choiceCustomers = []choiceCustomer{
	{"vitrina_vacia", template.Priorities{Cost: 0.5, Latency: 1}},
	{"terminalna", template.Priorities{Cost: 1, Exposure: 1}},
}

func choiceExperiment() Experiment {
	return newWithSeeds("choice", "choose versions and cascades: quality, cost, following changes", simulationSeeds, measureChoice)
}

// measureChoice compares the learned policy with the baselines and with an oracle
// that knows the true quality and cost of every plan.
func measureChoice(ctx context.Context, opts Options) (Result, error) {
	seeds, err := measureSeeds(ctx, opts.Seeds, opts.Progress, func(seed uint64) samples {
		var s samples
		for _, customer := range choiceCustomers {
			s = append(s, compareChoice(customer, seed)...)
			s = append(s, measureAdaptation(customer, seed, "price", 4, 0)...)
			s = append(s, measureAdaptation(customer, seed, "quality", 1, -0.15)...)
		}
		return s
	})
	return Result{Experiment: "choice", Seeds: opts.Seeds, Rows: rowsOf(seeds)}, err
}

func newLearnedPolicy(s *choiceSimulation) *cascade.Learned {
	cfg := cascade.DefaultLearnedConfig()
	cfg.Judge = &s.judge
	return cascade.NewLearned(cfg)
}

func compareChoice(customer choiceCustomer, seed uint64) samples {
	var s samples
	costs := make(map[string]float64)
	for _, name := range []string{"learned", "strongest", "cheapest", "uniform", "previous"} {
		sim := newChoiceSimulation(seed, customer.priorities)
		policy := map[string]cascade.Policy{
			"learned": newLearnedPolicy(sim), "strongest": cascade.Strongest{}, "cheapest": cascade.LowestPrice{},
			"uniform": cascade.Uniform{}, "previous": cascade.Cheapest{},
		}[name]
		if name == "learned" {
			sim.solveOracle()
		}
		outcomes := sim.run(policy, choiceRequests, -1, nil)[choiceWarmUp:]
		costs[name] = meanCost(outcomes)
		if name == "learned" {
			costs["oracle"] = meanOracleCost(outcomes)
			s.add(customer.name+" least quality over target", "quality", minQualityMargin(sim, outcomes), atLeast(0))
			continue
		}
		s.add(customer.name+" "+name+" least quality over target", "quality", minQualityMargin(sim, outcomes), nil)
	}
	s.add(customer.name+" cost to the oracle's", "ratio", costs["learned"]/costs["oracle"], atMost(1.15))
	s.add(customer.name+" cost to always-strongest", "ratio", costs["learned"]/costs["strongest"], atMost(0.6))
	for _, name := range []string{"cheapest", "uniform", "previous"} {
		s.add(customer.name+" cost to "+name, "ratio", costs["learned"]/costs[name], nil)
	}
	return s
}

// measureAdaptation multiplies the price of one version or adds to its quality, and
// counts the requests until the learned policy has adapted.
func measureAdaptation(customer choiceCustomer, seed uint64, name string, priceFactor, qualityDelta float64) samples {
	sim := newChoiceSimulation(seed, customer.priorities)
	ref := version.Ref{Model: "medium", Version: "v1"}
	outcomes := sim.run(newLearnedPolicy(sim), choiceWarmUp+4*adaptationLimit, choiceWarmUp, func() { sim.changeVersion(ref, priceFactor, qualityDelta) })
	var s samples
	s.add(customer.name+" requests until a change of "+name+" is followed", "requests",
		float64(requestsToAdapt(sim, outcomes[choiceWarmUp:])), atMost(adaptationLimit))
	return s
}

// requestsToAdapt returns the number of requests before the first window with a
// mean quality at most 0.01 under target and a mean cost of at most 1.25 times
// the oracle's, or all requests when there is none. Windows start every 50
// requests.
func requestsToAdapt(s *choiceSimulation, outcomes []outcome) int {
	const step, qualitySlack, maxCostRatio = 50, 0.01, 1.25
	for from := 0; from+adaptationWindow <= len(outcomes); from += step {
		window := outcomes[from : from+adaptationWindow]
		var margin float64
		for _, o := range window {
			margin += o.quality - s.targets[o.workspace]
		}
		if margin/adaptationWindow >= -qualitySlack && meanCost(window) <= maxCostRatio*meanOracleCost(window) {
			return from
		}
	}
	return len(outcomes)
}

// minQualityMargin returns the lowest margin of a workspace's mean quality over its
// target.
func minQualityMargin(s *choiceSimulation, outcomes []outcome) float64 {
	qualitySum, counts := make(map[string]float64), make(map[string]float64)
	for _, o := range outcomes {
		qualitySum[o.workspace] += o.quality
		counts[o.workspace]++
	}
	lowest := math.Inf(1)
	for name, count := range counts {
		lowest = min(lowest, qualitySum[name]/count-s.targets[name])
	}
	return lowest
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
