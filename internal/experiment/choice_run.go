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
	sim := &choiceSimulation{
		random: rand.New(rand.NewPCG(seed, 21)), shares: model.VitrinaVacia().Workspaces, priorities: priority,
		targets: make(map[string]float64), truths: model.DefaultProfiles(),
		judge: cascade.Judge{Price: 150, Delay: 60 * time.Millisecond, Noise: judgeNoise},
	}
	for i := range sim.shares {
		name := fmt.Sprintf("w%d", i)
		sim.names = append(sim.names, name)
		sim.targets[name] = 0.6 + 0.25*sim.random.Float64()
	}
	sim.answers = model.NewAnswerModel(sim.truths, sim.names, sim.random)
	return sim
}

// changeVersion multiplies the prices of one version by a factor, adds to its
// quality, and finds the best plans anew.
func (s *choiceSimulation) changeVersion(ref version.Ref, priceFactor, qualityDelta float64) {
	for i, t := range s.truths {
		if t.Version.Ref == ref {
			t.Version.OutputPrice = int64(float64(t.Version.OutputPrice) * priceFactor)
			t.Version.InputPrice = int64(float64(t.Version.InputPrice) * priceFactor)
			t.Quality += qualityDelta
			s.truths[i] = t
			s.answers.Profiles[ref] = t
		}
	}
	s.solveOracle()
}

// permitted returns all versions, sorted by reference.
func (s *choiceSimulation) permitted() []version.Version {
	var versions []version.Version
	for _, t := range s.truths {
		versions = append(versions, t.Version)
	}
	slices.SortFunc(versions, func(a, b version.Version) int {
		return strings.Compare(a.Ref.String(), b.Ref.String())
	})
	return versions
}

func (s *choiceSimulation) demand(name, class string) cascade.Demand {
	return cascade.Demand{
		Workspace: name, Class: class, Permitted: s.permitted(), InputTokens: inputTokens(class),
		Policy: template.Policy{QualityTarget: s.targets[name], Priorities: s.priorities},
	}
}

// serve simulates a plan on one request and returns the quality of its answer and
// the observation, without a rating. The observation's price covers all steps that
// ran and the judge.
func (s *choiceSimulation) serve(p cascade.Plan, name, class string, random *rand.Rand) (float64, cascade.Observation) {
	difficulty := model.Difficulty(random)
	o := cascade.Observation{Workspace: name, Class: class, OutputTokens: outputTokens(class)}
	var quality float64
	for i, ref := range p.Steps {
		t := s.answers.Profiles[ref]
		quality = s.answers.Quality(name, class, ref, difficulty, random)
		o.Ref, o.Escalated, o.TokenInterval = ref, i > 0, t.TokenInterval
		o.Price += t.Version.Price(inputTokens(class), outputTokens(class))
		o.FirstToken += t.FirstToken
		if i == len(p.Steps)-1 {
			break
		}
		o.Price += s.judge.Price * (inputTokens(class) + outputTokens(class)) / 1000
		o.FirstToken += time.Duration(outputTokens(class))*t.TokenInterval + s.judge.Delay
		if quality+random.NormFloat64()*s.judge.Noise >= p.Threshold {
			break
		}
	}
	if len(p.Steps) > 1 {
		o.Plan = p.Key()
	}
	if p.IsJudged {
		verdict := quality + random.NormFloat64()*s.judge.Noise
		o.Verdict = &verdict
		o.Price += s.judge.Price * (inputTokens(class) + outputTokens(class)) / 1000
	}
	return quality, o
}

// solveOracle finds the best plan for each workspace and class, given the true
// qualities.
func (s *choiceSimulation) solveOracle() {
	s.oracle = make(map[string]planEstimate)
	for _, name := range s.names {
		for _, class := range []string{model.Question, model.Dossier} {
			s.oracle[name+class] = s.bestPlan(name, class)
		}
	}
}

// bestPlan returns the plan with the lowest weighted cost and latency, each
// relative to the highest of all plans, among those that reach the quality target.
// When none does, it returns the first plan.
func (s *choiceSimulation) bestPlan(name, class string) planEstimate {
	var candidates []planEstimate
	for _, a := range s.permitted() {
		candidates = append(candidates, s.estimatePlan(cascade.Plan{Steps: []version.Ref{a.Ref}}, name, class))
		for _, b := range s.permitted() {
			if a.OutputPrice < b.OutputPrice {
				p := cascade.Plan{Steps: []version.Ref{a.Ref, b.Ref}, Threshold: s.targets[name]}
				candidates = append(candidates, s.estimatePlan(p, name, class))
			}
		}
	}
	var maxCost, maxLatency float64
	for _, e := range candidates {
		maxCost, maxLatency = max(maxCost, e.cost), max(maxLatency, e.latency)
	}
	best, bestScore := candidates[0], math.Inf(1)
	for _, e := range candidates {
		score := s.priorities.Cost*e.cost/maxCost + s.priorities.Latency*e.latency/maxLatency
		if e.quality >= s.targets[name] && score < bestScore {
			best, bestScore = e, score
		}
	}
	return best
}

// estimatePlan estimates the mean quality, cost and latency of a plan. Its random
// numbers are the same for every plan.
func (s *choiceSimulation) estimatePlan(p cascade.Plan, name, class string) planEstimate {
	random := rand.New(rand.NewPCG(7, 7))
	e := planEstimate{plan: p}
	for range oracleTrials {
		quality, o := s.serve(p, name, class, random)
		e.quality += quality / oracleTrials
		e.cost += float64(o.Price) / oracleTrials
		e.latency += o.FirstToken.Seconds() / oracleTrials
	}
	return e
}

// run sends n requests through the policy and calls change before request number
// changeAt, unless that is negative.
func (s *choiceSimulation) run(p cascade.Policy, n, changeAt int, change func()) []outcome {
	clock := model.NewClock()
	outcomes := make([]outcome, 0, n)
	for i := range n {
		if i == changeAt {
			change()
		}
		clock.Advance(time.Duration(s.random.ExpFloat64() / choiceRate * float64(time.Second)))
		name, class := s.drawRequest()
		plan, ok := p.Choose(clock.Now(), s.demand(name, class), s.random)
		if !ok {
			continue
		}
		quality, o := s.serve(plan, name, class, s.random)
		o.At = clock.Now()
		p.Observe(o)
		outcomes = append(outcomes, outcome{
			workspace: name, quality: quality, cost: float64(o.Price), oracleCost: s.oracle[name+class].cost,
		})
		if rating, delay, rated := model.Rate(quality, plan.IsExploration, s.random); rated {
			o.Quality = &rating
			clock.After(delay, func() { p.Observe(o) })
		}
	}
	return outcomes
}

// drawRequest picks a workspace by its share of the traffic, and a class: 30%
// of the requests are dossiers.
func (s *choiceSimulation) drawRequest() (name, class string) {
	remaining := s.random.Float64()
	name = s.names[len(s.names)-1]
	for i, share := range s.shares {
		if remaining -= share; remaining < 0 {
			name = s.names[i]
			break
		}
	}
	class = model.Question
	if s.random.Float64() < 0.3 {
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
