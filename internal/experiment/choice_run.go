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
	// choiceWorld is the simulation of one seed: workspaces with their
	// shares of the traffic and quality targets, versions, and the best plan
	// for each workspace and class.
	choiceWorld struct {
		random   *rand.Rand
		shares   []float64
		names    []string
		targets  map[string]float64
		priority template.Priorities
		truths   []model.Truth
		answers  *model.Answers
		judge    cascade.Judge
		oracle   map[string]expectation
	}

	// expectation is a plan with the mean quality, cost and latency of its
	// answers.
	expectation struct {
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

func newChoiceWorld(seed uint64, priority template.Priorities) *choiceWorld {
	w := &choiceWorld{
		random: rand.New(rand.NewPCG(seed, 21)), shares: model.VitrinaVacia().Workspaces, priority: priority,
		targets: make(map[string]float64), truths: model.Catalogue(),
		judge: cascade.Judge{Price: 150, Delay: 60 * time.Millisecond, Noise: judgeNoise},
	}
	for i := range w.shares {
		name := fmt.Sprintf("w%d", i)
		w.names = append(w.names, name)
		w.targets[name] = 0.6 + 0.25*w.random.Float64()
	}
	w.answers = model.NewAnswers(w.truths, w.names, w.random)
	return w
}

// change multiplies the prices of one version by a factor, adds to its
// quality, and finds the best plans anew.
func (w *choiceWorld) change(ref version.Ref, priceFactor, qualityDelta float64) {
	for i, t := range w.truths {
		if t.Version.Ref == ref {
			t.Version.OutputPrice = int64(float64(t.Version.OutputPrice) * priceFactor)
			t.Version.InputPrice = int64(float64(t.Version.InputPrice) * priceFactor)
			t.Quality += qualityDelta
			w.truths[i] = t
			w.answers.Truths[ref] = t
		}
	}
	w.solve()
}

// permitted returns all versions, sorted by reference.
func (w *choiceWorld) permitted() []version.Version {
	var versions []version.Version
	for _, t := range w.truths {
		versions = append(versions, t.Version)
	}
	slices.SortFunc(versions, func(a, b version.Version) int {
		return strings.Compare(a.Ref.String(), b.Ref.String())
	})
	return versions
}

func (w *choiceWorld) demand(name, class string) cascade.Demand {
	return cascade.Demand{
		Workspace: name, Class: class, Permitted: w.permitted(), InputTokens: inputOf(class),
		Policy: template.Policy{QualityTarget: w.targets[name], Priorities: w.priority},
	}
}

// serve simulates a plan on one request and returns the quality of its answer and
// the observation, without a rating. The observation's price covers all steps that
// ran and the judge.
func (w *choiceWorld) serve(p cascade.Plan, name, class string, random *rand.Rand) (float64, cascade.Observation) {
	difficulty := model.Difficulty(random)
	o := cascade.Observation{Workspace: name, Class: class, OutputTokens: outputOf(class)}
	var quality float64
	for i, ref := range p.Steps {
		t := w.answers.Truths[ref]
		quality = w.answers.Quality(name, class, ref, difficulty, random)
		o.Ref, o.Escalated, o.TokenInterval = ref, i > 0, t.Interval
		o.Price += t.Version.Price(inputOf(class), outputOf(class))
		o.FirstToken += t.First
		if i == len(p.Steps)-1 {
			break
		}
		o.Price += w.judge.Price * (inputOf(class) + outputOf(class)) / 1000
		o.FirstToken += time.Duration(outputOf(class))*t.Interval + w.judge.Delay
		if quality+random.NormFloat64()*w.judge.Noise >= p.Threshold {
			break
		}
	}
	if len(p.Steps) > 1 {
		o.Plan = p.Key()
	}
	return quality, o
}

// solve finds the best plan for each workspace and class, given the true
// qualities.
func (w *choiceWorld) solve() {
	w.oracle = make(map[string]expectation)
	for _, name := range w.names {
		for _, class := range []string{model.Question, model.Dossier} {
			w.oracle[name+class] = w.bestPlan(name, class)
		}
	}
}

// bestPlan returns the plan with the lowest weighted cost and latency, each
// relative to the highest of all plans, among those that reach the quality target.
// When none does, it returns the first plan.
func (w *choiceWorld) bestPlan(name, class string) expectation {
	var candidates []expectation
	for _, a := range w.permitted() {
		candidates = append(candidates, w.expect(cascade.Plan{Steps: []version.Ref{a.Ref}}, name, class))
		for _, b := range w.permitted() {
			if a.OutputPrice < b.OutputPrice {
				p := cascade.Plan{Steps: []version.Ref{a.Ref, b.Ref}, Threshold: w.targets[name]}
				candidates = append(candidates, w.expect(p, name, class))
			}
		}
	}
	var maxCost, maxLatency float64
	for _, e := range candidates {
		maxCost, maxLatency = max(maxCost, e.cost), max(maxLatency, e.latency)
	}
	best, bestScore := candidates[0], math.Inf(1)
	for _, e := range candidates {
		score := w.priority.Cost*e.cost/maxCost + w.priority.Latency*e.latency/maxLatency
		if e.quality >= w.targets[name] && score < bestScore {
			best, bestScore = e, score
		}
	}
	return best
}

// expect estimates the mean quality, cost and latency of a plan. Its random
// numbers are the same for every plan.
func (w *choiceWorld) expect(p cascade.Plan, name, class string) expectation {
	random := rand.New(rand.NewPCG(7, 7))
	e := expectation{plan: p}
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
func (w *choiceWorld) run(p cascade.Policy, n, changeAt int, change func()) []outcome {
	clock := model.NewClock()
	outcomes := make([]outcome, 0, n)
	for i := range n {
		if i == changeAt {
			change()
		}
		clock.Run(time.Duration(w.random.ExpFloat64() / choiceRate * float64(time.Second)))
		name, class := w.draw()
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

// draw picks a workspace by its share of the traffic, and a class: 30%
// of the requests are dossiers.
func (w *choiceWorld) draw() (name, class string) {
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

func inputOf(class string) int64 {
	if class == model.Question {
		return 860
	}
	return 6000
}

func outputOf(class string) int64 {
	if class == model.Question {
		return 80
	}
	return 300
}
