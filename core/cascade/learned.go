package cascade

import (
	"math"
	"math/rand/v2"
	"time"

	"rosereach/core/version"
)

type (
	// Judge describes the judge between the steps of a cascade.
	Judge struct {
		// Price is for 1,000 tokens read, in millionths of the billing currency.
		Price int64
		Delay time.Duration
		// Noise is the standard deviation of a verdict.
		Noise float64
	}

	// LearnedConfig configures a Learned policy.
	LearnedConfig struct {
		// DecayRatings is the number of ratings after which an older one has lost most
		// of its weight.
		DecayRatings float64
		// PooledWeight is the weight of the estimate over all workspaces, in ratings of
		// a single workspace.
		PooledWeight float64
		// Margin is the number of standard errors between an estimate and its
		// lower bound.
		Margin float64
		// ExploreShare is the share of requests that may try a cheaper plan.
		ExploreShare float64
		// VerdictBudget is the price of verdicts on answers of single versions, as a
		// share of the price of all answers.
		VerdictBudget float64
		// Judge enables cascades and verdicts, nil for none.
		Judge *Judge
	}

	// Learned chooses, of the plans whose lower bound of quality meets the
	// target, the one with the best weighted cost and latency. The bounds come
	// from discounted estimates for each workspace and class. It is not safe for
	// concurrent use.
	Learned struct {
		cfg              LearnedConfig
		workspaceQuality map[estimateKey]*estimate // quality in one workspace
		pooledQuality    map[estimateKey]*estimate // quality over all workspaces
		tokenTimes       map[estimateKey]*tokenTimes
		acceptance       map[estimateKey]*estimate  // share of answers that the judge accepts
		detectors        map[string]*changeDetector // by class and plan
		verdicts         map[string]*changeDetector // by plan
		changedAt        map[string]time.Time       // when verdicts showed a fall, by plan
		servedQuality    map[string]*estimate       // quality of all answers, by workspace
		outputTokens     map[string]*estimate       // output tokens, by class
	}

	// estimateKey identifies an estimate. Workspace is empty for one over all
	// workspaces.
	estimateKey struct{ workspace, class, plan string }

	// option is a plan with its estimates: the quality's mean and bounds, the
	// cost, the latency in seconds and the weight of its ratings.
	option struct {
		plan                   Plan
		mean, lower, upper     float64
		cost, latency, ratings float64
	}
)

const (
	// shortfallSlack is the shortfall of a rating that is ignored as normal, and
	// shortfallLimit the sum of further shortfalls that indicates a change.
	shortfallSlack = 0.05
	shortfallLimit = 1.0

	// verdictLimit is shortfallLimit for verdicts of the judge.
	verdictLimit = 1.5

	// changeDiscount is the share of the ratings' weight kept after a change.
	changeDiscount = 0.05

	// priorOutputTokens is the prior for the output tokens of an answer.
	priorOutputTokens = 200
)

// DefaultLearnedConfig returns the configuration for traffic of which only a sample is
// rated. It has no judge.
func DefaultLearnedConfig() LearnedConfig {
	return LearnedConfig{DecayRatings: 1000, PooledWeight: 100, Margin: 0.2, ExploreShare: 0.05, VerdictBudget: 0.015}
}

// NewLearned returns a policy without observations.
func NewLearned(cfg LearnedConfig) *Learned {
	return &Learned{
		cfg: cfg, workspaceQuality: make(map[estimateKey]*estimate), pooledQuality: make(map[estimateKey]*estimate),
		tokenTimes: make(map[estimateKey]*tokenTimes), acceptance: make(map[estimateKey]*estimate),
		detectors: make(map[string]*changeDetector), verdicts: make(map[string]*changeDetector), changedAt: make(map[string]time.Time),
		servedQuality: make(map[string]*estimate), outputTokens: make(map[string]*estimate),
	}
}

// Name returns the policy's name.
func (*Learned) Name() string { return "learned" }

// Choose returns the plan for a request. Versions in a roll-out get their share of
// their model's requests.
func (l *Learned) Choose(_ time.Time, d Demand, random *rand.Rand) (Plan, bool) {
	stable, canaries := split(d.Permitted)
	if len(stable) == 0 {
		stable, canaries = canaries, nil
	}
	options := l.options(d, stable)
	if len(options) == 0 {
		return Plan{}, false
	}
	best := l.best(d, options)
	if !d.InSession && random.Float64() < l.cfg.ExploreShare {
		best = l.explore(d, best, options)
	}
	return withCanary(l.withJudge(d, best, random), canaries, random), true
}

// Observe updates the estimates with a finished request or a rating.
func (l *Learned) Observe(o Observation) {
	plan := o.Plan
	if plan == "" {
		plan = o.Ref.String()
	}
	own, all := estimateKey{o.Workspace, o.Class, plan}, estimateKey{"", o.Class, plan}
	if o.Quality != nil {
		l.rate(o, own, all)
		return
	}
	if o.Failed {
		return
	}
	getOrCreate(l.tokenTimes, all).add(o.FirstToken, o.TokenInterval, l.cfg.DecayRatings)
	getOrCreate(l.outputTokens, o.Class).add(float64(o.OutputTokens), l.cfg.DecayRatings)
	accepted := 1.0
	if o.Escalated {
		accepted = 0
	}
	getOrCreate(l.acceptance, own).add(accepted, l.cfg.DecayRatings)
	getOrCreate(l.acceptance, all).add(accepted, l.cfg.DecayRatings)
	if o.Verdict != nil {
		l.addVerdict(o, own, all)
	}
}

// rate updates the estimates with a rating. When ratings fall well below the
// estimate, most of what was learned about the plan is discarded first.
func (l *Learned) rate(o Observation, own, all estimateKey) {
	q := *o.Quality
	if l.isOutdated(o, all.plan) {
		return
	}
	if expected, known := l.expectedQuality(own, all); known && getOrCreate(l.detectors, all.class+" "+all.plan).add(expected-q, shortfallSlack, shortfallLimit) > 0 {
		l.discountPlan(all.plan)
	}
	l.addQuality(o.Workspace, q, own, all)
}

// addVerdict compares the judge's verdict with the estimates. When verdicts fall well
// below them, they are lowered, and later verdicts update them as ratings do.
func (l *Learned) addVerdict(o Observation, own, all estimateKey) {
	if expected, known := l.expectedQuality(own, all); known {
		if fall := getOrCreate(l.verdicts, all.plan).add(expected-*o.Verdict, shortfallSlack, verdictLimit); fall > 0 {
			l.lowerQuality(all.plan, fall, o.At)
		}
	}
	if !l.changedAt[all.plan].IsZero() {
		l.addQuality(o.Workspace, *o.Verdict, own, all)
	}
}

// expectedQuality returns the mean quality of a plan in a workspace, and false if it has
// no ratings.
func (l *Learned) expectedQuality(own, all estimateKey) (float64, bool) {
	known := getOrCreate(l.pooledQuality, all)
	if known.n == 0 {
		return 0, false
	}
	return getOrCreate(l.workspaceQuality, own).mean(known.mean(0, 0), l.cfg.PooledWeight), true
}

func (l *Learned) addQuality(workspace string, q float64, own, all estimateKey) {
	getOrCreate(l.workspaceQuality, own).add(q, l.cfg.DecayRatings)
	getOrCreate(l.pooledQuality, all).add(q, l.cfg.DecayRatings)
	getOrCreate(l.servedQuality, workspace).add(q, l.cfg.DecayRatings)
}

// discountPlan reduces the weight of all ratings of a plan after its quality changed.
func (l *Learned) discountPlan(plan string) {
	for _, cells := range []map[estimateKey]*estimate{l.workspaceQuality, l.pooledQuality} {
		for key, e := range cells {
			if key.plan == plan {
				e.discount(changeDiscount)
			}
		}
	}
}

// best returns the option with the best score among those whose lower bound meets
// the target, or the one with the highest expected quality when none does.
func (l *Learned) best(d Demand, options []option) option {
	target := l.target(d)
	cost, latency := maxCostAndLatency(options)
	best, bestScore := options[0], math.Inf(1)
	for _, o := range options {
		score := o.score(d, cost, latency)
		if o.lower >= target && score < bestScore {
			best, bestScore = o, score
		}
	}
	if !math.IsInf(bestScore, 1) {
		best.plan.Reason = "best weighed cost and latency at the quality target"
		return best
	}
	for _, o := range options {
		if o.mean > best.mean {
			best = o
		}
	}
	best.plan.Reason = "highest expected quality, as no plan surely meets the target"
	return best
}

// target returns the workspace's target, raised in proportion to the shortfall of
// its recent answers.
func (l *Learned) target(d Demand) float64 {
	const weight, gain, reserve = 20, 3, 0.005
	target := d.Policy.QualityTarget
	mean := getOrCreate(l.servedQuality, d.Workspace).mean(target, weight)
	return target + gain*max(target+reserve-mean, 0)
}

// score returns the weighted sum of the option's cost, latency and risk; lower is
// better. Cost and latency are divided by the given ones, the highest of all
// options. The risk falls with the number of ratings.
func (o option) score(d Demand, cost, latency float64) float64 {
	p := d.Policy.Priorities
	if p.Cost+p.Latency+p.Exposure == 0 {
		p.Cost = 1
	}
	const halfRiskRatings = 20
	risk := halfRiskRatings / (halfRiskRatings + o.ratings)
	return p.Cost*o.cost/max(cost, 1e-9) + p.Latency*o.latency/max(latency, 1e-9) + p.Exposure*risk/halfRiskRatings
}

// explore returns the option with the best score among those whose upper bound
// meets the target, or best when none has a better score.
func (l *Learned) explore(d Demand, best option, options []option) option {
	cost, latency := maxCostAndLatency(options)
	chosen, chosenScore := best, best.score(d, cost, latency)
	for _, o := range options {
		score := o.score(d, cost, latency)
		if o.upper >= d.Policy.QualityTarget && score < chosenScore {
			chosen, chosenScore = o, score
			chosen.plan.Reason, chosen.plan.IsExploration = "exploration", true
		}
	}
	return chosen
}

// maxCostAndLatency returns the highest cost and latency of the options.
func maxCostAndLatency(options []option) (cost, latency float64) {
	for _, o := range options {
		cost, latency = max(cost, o.cost), max(latency, o.latency)
	}
	return cost, latency
}

// split separates stable versions from those in a roll-out.
func split(permitted []version.Version) (stable, canaries []version.Version) {
	for _, v := range permitted {
		if v.State == version.Canary || v.State == version.Ramping {
			canaries = append(canaries, v)
			continue
		}
		stable = append(stable, v)
	}
	return stable, canaries
}

// withCanary replaces a version in the plan by the one of the same model that is
// being rolled out, for the share of requests of the roll-out.
func withCanary(p Plan, canaries []version.Version, random *rand.Rand) Plan {
	for _, c := range canaries {
		for i, ref := range p.Steps {
			if ref.Model == c.Ref.Model && random.Float64() < c.Share {
				steps := append([]version.Ref(nil), p.Steps...)
				steps[i] = c.Ref
				return Plan{Steps: steps, Threshold: p.Threshold, Reason: "share of a version being rolled out"}
			}
		}
	}
	return p
}

// getOrCreate returns the value of the key, which is created when it is missing.
func getOrCreate[K comparable, V any](m map[K]*V, key K) *V {
	v, ok := m[key]
	if !ok {
		v = new(V)
		m[key] = v
	}
	return v
}
