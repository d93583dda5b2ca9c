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

	// Config configures a Learned policy.
	Config struct {
		// Memory is the number of ratings after which an older one has lost most
		// of its weight.
		Memory float64
		// Prior is the weight of the estimate over all workspaces, in ratings of
		// a single workspace.
		Prior float64
		// Margin is the number of standard errors between an estimate and its
		// lower bound.
		Margin float64
		// Explore is the share of requests that may try a cheaper plan.
		Explore float64
		// Judge enables cascades, nil for none.
		Judge *Judge
	}

	// Learned chooses, of the plans whose lower bound of quality meets the
	// target, the one with the best weighted cost and latency. The bounds come
	// from discounted estimates for each workspace and class. It is not safe for
	// concurrent use.
	Learned struct {
		cfg      Config
		own      map[cellKey]*estimate // quality in one workspace
		pooled   map[cellKey]*estimate // quality over all workspaces
		paces    map[cellKey]*pace
		accepted map[cellKey]*estimate // share of answers that the judge accepts
		alarms   map[string]*alarm     // by class and plan
		served   map[string]*estimate  // quality of all answers, by workspace
		output   map[string]*estimate  // output tokens, by class
	}

	// cellKey identifies an estimate. Workspace is empty for one over all
	// workspaces.
	cellKey struct{ workspace, class, plan string }

	// option is a plan with its estimates: the quality's mean and bounds, the
	// cost, the latency in seconds and the weight of its ratings.
	option struct {
		plan                   Plan
		mean, lower, upper     float64
		cost, latency, ratings float64
	}
)

const (
	// alarmSlack is the shortfall of a rating that is ignored as normal, and
	// shortfallLimit the sum of further shortfalls that indicates a change.
	alarmSlack = 0.05
	alarmLimit = 1.0

	// alarmKeep is the share of the ratings' weight kept after a change.
	alarmKeep = 0.05

	// usualOutput is the prior for the output tokens of an answer.
	usualOutput = 200
)

// DefaultConfig returns the configuration for traffic of which only a sample is
// rated. It has no judge.
func DefaultConfig() Config {
	return Config{Memory: 1000, Prior: 100, Margin: 0.2, Explore: 0.05}
}

// NewLearned returns a policy without observations.
func NewLearned(cfg Config) *Learned {
	return &Learned{
		cfg: cfg, own: make(map[cellKey]*estimate), pooled: make(map[cellKey]*estimate),
		paces: make(map[cellKey]*pace), accepted: make(map[cellKey]*estimate),
		alarms: make(map[string]*alarm), served: make(map[string]*estimate), output: make(map[string]*estimate),
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
	if !d.InSession && random.Float64() < l.cfg.Explore {
		best = l.explore(d, best, options)
	}
	return withCanary(best.plan, canaries, random), true
}

// Observe updates the estimates with a finished request or a rating.
func (l *Learned) Observe(o Observation) {
	plan := o.Plan
	if plan == "" {
		plan = o.Ref.String()
	}
	own, all := cellKey{o.Workspace, o.Class, plan}, cellKey{"", o.Class, plan}
	if o.Quality != nil {
		l.rate(o, own, all)
		return
	}
	if o.Failed {
		return
	}
	at(l.paces, all).add(o.FirstToken, o.TokenInterval, l.cfg.Memory)
	at(l.output, o.Class).add(float64(o.OutputTokens), l.cfg.Memory)
	accepted := 1.0
	if o.Escalated {
		accepted = 0
	}
	at(l.accepted, own).add(accepted, l.cfg.Memory)
	at(l.accepted, all).add(accepted, l.cfg.Memory)
}

// rate updates the estimates with a rating. When ratings fall well below the
// estimate, most of what was learned about the plan is discarded first.
func (l *Learned) rate(o Observation, own, all cellKey) {
	q := *o.Quality
	if known := at(l.pooled, all); known.n > 0 {
		expected := at(l.own, own).mean(known.mean(0, 0), l.cfg.Prior)
		if at(l.alarms, all.class+" "+all.plan).add(expected-q, alarmSlack, alarmLimit) {
			l.forget(all.plan)
		}
	}
	at(l.own, own).add(q, l.cfg.Memory)
	at(l.pooled, all).add(q, l.cfg.Memory)
	at(l.served, o.Workspace).add(q, l.cfg.Memory)
}

// forget reduces the weight of all ratings of a plan after its quality changed.
func (l *Learned) forget(plan string) {
	for _, cells := range []map[cellKey]*estimate{l.own, l.pooled} {
		for key, e := range cells {
			if key.plan == plan {
				e.forget(alarmKeep)
			}
		}
	}
}

// best returns the option with the best score among those whose lower bound meets
// the target, or the one with the highest expected quality when none does.
func (l *Learned) best(d Demand, options []option) option {
	target := l.target(d)
	cost, latency := worst(options)
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
	mean := at(l.served, d.Workspace).mean(target, weight)
	return target + gain*max(target+reserve-mean, 0)
}

// score returns the weighted cost, latency and risk of the option, lower is better.
// The risk falls with the number of ratings.
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
	cost, latency := worst(options)
	chosen, chosenScore := best, best.score(d, cost, latency)
	for _, o := range options {
		score := o.score(d, cost, latency)
		if o.upper >= d.Policy.QualityTarget && score < chosenScore {
			chosen, chosenScore = o, score
			chosen.plan.Reason, chosen.plan.Explores = "exploration", true
		}
	}
	return chosen
}

// worst returns the highest cost and latency of the options.
func worst(options []option) (cost, latency float64) {
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

// at returns the value of the key, which is created when it is missing.
func at[K comparable, V any](m map[K]*V, key K) *V {
	v, ok := m[key]
	if !ok {
		v = new(V)
		m[key] = v
	}
	return v
}
