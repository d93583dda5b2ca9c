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
	choiceRate   = 10.0
	judgeNoise   = 0.08
	oracleTrials = 1500
)

type (
	// choiceWorld is what one seed's policies meet.
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

	// expectation is what is true of a plan on the average.
	expectation struct {
		plan                   cascade.Plan
		quality, cost, latency float64
	}

	// outcome is what became of one request.
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

// change doubles the price of one version or lowers its quality.
func (w *choiceWorld) change(ref version.Ref, price, quality float64) {
	for i, t := range w.truths {
		if t.Version.Ref == ref {
			t.Version.OutputPrice = int64(float64(t.Version.OutputPrice) * price)
			t.Version.InputPrice = int64(float64(t.Version.InputPrice) * price)
			t.Quality += quality
			w.truths[i] = t
			w.answers.Truths[ref] = t
		}
	}
	w.solve()
}

func (w *choiceWorld) permitted() []version.Version {
	var list []version.Version
	for _, t := range w.truths {
		list = append(list, t.Version)
	}
	slices.SortFunc(list, func(a, b version.Version) int {
		return strings.Compare(a.Ref.String(), b.Ref.String())
	})
	return list
}

func (w *choiceWorld) demand(name, class string) cascade.Demand {
	return cascade.Demand{
		Workspace: name, Class: class, Permitted: w.permitted(), InputTokens: inputOf(class),
		Policy: template.Policy{QualityTarget: w.targets[name], Priorities: w.priority},
	}
}

// serve runs a plan on a request and returns the answer's quality, the price
// of all that was used, and the observation without its rating.
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

// solve finds the true best plan for each workspace and class.
func (w *choiceWorld) solve() {
	w.oracle = make(map[string]expectation)
	for _, name := range w.names {
		for _, class := range []string{model.Question, model.Dossier} {
			w.oracle[name+class] = w.bestPlan(name, class)
		}
	}
}

func (w *choiceWorld) bestPlan(name, class string) expectation {
	var all []expectation
	for _, a := range w.permitted() {
		all = append(all, w.expect(cascade.Plan{Steps: []version.Ref{a.Ref}}, name, class))
		for _, b := range w.permitted() {
			if a.OutputPrice < b.OutputPrice {
				p := cascade.Plan{Steps: []version.Ref{a.Ref, b.Ref}, Threshold: w.targets[name]}
				all = append(all, w.expect(p, name, class))
			}
		}
	}
	var cost, latency float64
	for _, e := range all {
		cost, latency = max(cost, e.cost), max(latency, e.latency)
	}
	best, bestScore := all[0], math.Inf(1)
	for _, e := range all {
		score := w.priority.Cost*e.cost/cost + w.priority.Latency*e.latency/latency
		if e.quality >= w.targets[name] && score < bestScore {
			best, bestScore = e, score
		}
	}
	return best
}

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

// run sends n requests through the policy; before the request of the given
// number, the world changes.
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

func (w *choiceWorld) draw() (name, class string) {
	at := w.random.Float64()
	name = w.names[len(w.names)-1]
	for i, share := range w.shares {
		if at -= share; at < 0 {
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
