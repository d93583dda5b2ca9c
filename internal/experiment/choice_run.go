package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"rosereach/core/cascade"
	"rosereach/core/template"
	"rosereach/core/version"
	"rosereach/internal/model"
)

const (
	// choiceRate is the number of requests per second.
	choiceRate = 10.0

	// judgeNoise is the standard deviation of the judge's error.
	judgeNoise = 0.08

	// oracleTrials is the number of simulated requests by which a plan's mean
	// quality, cost and latency are estimated.
	oracleTrials = 1500
)

type (
	// choiceSimulation is the simulation of one seed: workspaces with their
	// shares of the traffic and quality targets, versions, and the best plan
	// for each workspace and class.
	choiceSimulation struct {
		random     *rand.Rand
		shares     []float64
		names      []string
		targets    map[string]float64
		priorities template.Priorities
		truths     []model.VersionProfile
		answers    *model.AnswerModel
		judge      cascade.Judge
		oracle     map[string]planEstimate
	}

	// planEstimate is a plan with the mean quality, cost and latency of its
	// answers.
	planEstimate struct {
		plan                   cascade.Plan
		quality, cost, latency float64
	}

	// outcome is the result of one request, with the cost of the oracle's plan.
	outcome struct {
		workspace     string
		quality, cost float64
		oracleCost    float64
	}
)

func newChoiceSimulation(seed uint64, priority template.Priorities) *choiceSimulation {
	w := &choiceSimulation{
		random: rand.New(rand.NewPCG(seed, 21)), shares: model.VitrinaVacia().Workspaces, priorities: priority,
		targets: make(map[string]float64), truths: model.DefaultProfiles(),
		judge: cascade.Judge{Price: 150, Delay: 60 * time.Millisecond, Noise: judgeNoise},
	}
	for i := range w.shares {
		name := fmt.Sprintf("w%d", i)
		w.names = append(w.names, name)
		w.targets[name] = 0.6 + 0.25*w.random.Float64()
	}
	w.answers = model.NewAnswerModel(w.truths, w.names, w.random)
	return w
}

// changeVersion multiplies the prices of one version by a factor, adds to its
// quality, and finds the best plans anew.
func (w *choiceSimulation) changeVersion(ref version.Ref, priceFactor, qualityDelta float64) {
	for i, t := range w.truths {
		if t.Version.Ref == ref {
			t.Version.OutputPrice = int64(float64(t.Version.OutputPrice) * priceFactor)
			t.Version.InputPrice = int64(float64(t.Version.InputPrice) * priceFactor)
			t.Quality += qualityDelta
			w.truths[i] = t
			w.answers.Profiles[ref] = t
		}
	}
	w.solveOracle()
}

// permitted returns all versions, sorted by reference.
func (w *choiceSimulation) permitted() []version.Version {
	var versions []version.Version
	for _, t := range w.truths {
		versions = append(versions, t.Version)
	}
	slices.SortFunc(versions, func(a, b version.Version) int {
		return strings.Compare(a.Ref.String(), b.Ref.String())
	})
	return versions
}

func (w *choiceSimulation) demand(name, class string) cascade.Demand {
	return cascade.Demand{
		Workspace: name, Class: class, Permitted: w.permitted(), InputTokens: inputTokens(class),
		Policy: template.Policy{QualityTarget: w.targets[name], Priorities: w.priorities},
	}
}

// serve simulates a plan on one request and returns the quality of its answer and
// the observation, without a rating. The observation's price covers all steps that
// ran and the judge.
func (w *choiceSimulation) serve(p cascade.Plan, name, class string, random *rand.Rand) (float64, cascade.Observation) {
	difficulty := model.Difficulty(random)
	o := cascade.Observation{Workspace: name, Class: class, OutputTokens: outputTokens(class)}
	var quality float64
	for i, ref := range p.Steps {
		t := w.answers.Profiles[ref]
		quality = w.answers.Quality(name, class, ref, difficulty, random)
		o.Ref, o.Escalated, o.TokenInterval = ref, i > 0, t.TokenInterval
		o.Price += t.Version.Price(inputTokens(class), outputTokens(class))
		o.FirstToken += t.FirstToken
		if i == len(p.Steps)-1 {
			break
		}
		o.Price += w.judge.Price * (inputTokens(class) + outputTokens(class)) / 1000
		o.FirstToken += time.Duration(outputTokens(class))*t.TokenInterval + w.judge.Delay
		if quality+random.NormFloat64()*w.judge.Noise >= p.Threshold {
			break
		}
	}
	if len(p.Steps) > 1 {
		o.Plan = p.Key()
	}
	return quality, o
}

// solveOracle finds the best plan for each workspace and class, given the true
// qualities.
func (w *choiceSimulation) solveOracle() {
	w.oracle = make(map[string]planEstimate)
	for _, name := range w.names {
		for _, class := range []string{model.Question, model.Dossier} {
			w.oracle[name+class] = w.bestPlan(name, class)
		}
	}
}

// bestPlan returns the plan with the lowest weighted cost and latency, each
// relative to the highest of all plans, among those that reach the quality target.
// When none does, it returns the first plan.
func (w *choiceSimulation) bestPlan(name, class string) planEstimate {
	var candidates []planEstimate
	for _, a := range w.permitted() {
		candidates = append(candidates, w.estimatePlan(cascade.Plan{Steps: []version.Ref{a.Ref}}, name, class))
		for _, b := range w.permitted() {
			if a.OutputPrice < b.OutputPrice {
				p := cascade.Plan{Steps: []version.Ref{a.Ref, b.Ref}, Threshold: w.targets[name]}
				candidates = append(candidates, w.estimatePlan(p, name, class))
			}
		}
	}
	var maxCost, maxLatency float64
	for _, e := range candidates {
		maxCost, maxLatency = max(maxCost, e.cost), max(maxLatency, e.latency)
	}
	best, bestScore := candidates[0], math.Inf(1)
	for _, e := range candidates {
		score := w.priorities.Cost*e.cost/maxCost + w.priorities.Latency*e.latency/maxLatency
		if e.quality >= w.targets[name] && score < bestScore {
			best, bestScore = e, score
		}
	}
	return best
}

// estimatePlan estimates the mean quality, cost and latency of a plan. Its random
// numbers are the same for every plan.
func (w *choiceSimulation) estimatePlan(p cascade.Plan, name, class string) planEstimate {
	random := rand.New(rand.NewPCG(7, 7))
	e := planEstimate{plan: p}
	for range oracleTrials {
		quality, o := w.serve(p, name, class, random)
		e.quality += quality / oracleTrials
		e.cost += float64(o.Price) / oracleTrials
		e.latency += o.FirstToken.Seconds() / oracleTrials
	}
	return e
}

// run sends n requests through the policy and calls change before request number
// changeAt, unless that is negative.
func (w *choiceSimulation) run(p cascade.Policy, n, changeAt int, change func()) []outcome {
	clock := model.NewClock()
	outcomes := make([]outcome, 0, n)
	for i := range n {
		if i == changeAt {
			change()
		}
		clock.Advance(time.Duration(w.random.ExpFloat64() / choiceRate * float64(time.Second)))
		name, class := w.drawRequest()
		plan, ok := p.Choose(clock.Now(), w.demand(name, class), w.random)
		if !ok {
			continue
		}
		quality, o := w.serve(plan, name, class, w.random)
		o.At = clock.Now()
		p.Observe(o)
		outcomes = append(outcomes, outcome{
			workspace: name, quality: quality, cost: float64(o.Price), oracleCost: w.oracle[name+class].cost,
		})
		if rating, delay, rated := model.Rate(quality, plan.IsExploration, w.random); rated {
			o.Quality = &rating
			clock.After(delay, func() { p.Observe(o) })
		}
	}
	return outcomes
}

// drawRequest picks a workspace by its share of the traffic, and a class: 30%
// of the requests are dossiers.
func (w *choiceSimulation) drawRequest() (name, class string) {
	remaining := w.random.Float64()
	name = w.names[len(w.names)-1]
	for i, share := range w.shares {
		if remaining -= share; remaining < 0 {
			name = w.names[i]
			break
		}
	}
	class = model.Question
	if w.random.Float64() < 0.3 {
		class = model.Dossier
	}
	return name, class
}

func inputTokens(class string) int64 {
	if class == model.Question {
		return 860
	}
	return 6000
}

func outputTokens(class string) int64 {
	if class == model.Question {
		return 80
	}
	return 300
}
