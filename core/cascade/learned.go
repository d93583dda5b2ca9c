package cascade

import (
	"math"
	"math/rand/v2"
	"time"

	"rosereach/core/version"
)

type (
	// Judge describes the judge between the steps of a cascade: its price for
	// 1,000 tokens that it reads, in millionths of the billing currency, its
	// delay, and the standard deviation of its verdict.
	Judge struct {
		Price int64
		Delay time.Duration
		Noise float64
	}

	// Config are the settings of a Learned policy. Memory is the number of
	// ratings after which an older one has lost most of its weight; Prior is
	// how many ratings of a workspace the experience of all is worth. Margin is
	// the number of standard errors between an estimate and its lower bound.
	// Explore is the share of requests that may try a cheaper plan. Without a
	// Judge there are no cascades.
	Config struct {
		Memory  float64
		Prior   float64
		Margin  float64
		Explore float64
		Judge   *Judge
	}

	// Learned chooses the plan of the best weighed cost and latency whose lower
	// bound of quality meets the target, from discounted estimates for each
	// workspace and class. It is not safe for concurrent use.
	Learned struct {
		cfg      Config
		own      map[cellKey]*estimate
		pooled   map[cellKey]*estimate
		paces    map[cellKey]*pace
		accepted map[cellKey]*estimate
		alarms   map[string]*alarm
		served   map[string]*estimate
		output   map[string]*estimate
	}

	// cellKey names an estimate. Workspace is empty for that of all.
	cellKey struct{ workspace, class, plan string }

	// option is a plan with what is expected of it.
	option struct {
		plan                   Plan
		mean, lower, upper     float64
		cost, latency, ratings float64
	}
)

const (
	// alarmSlack and alarmLimit are the shortfall of a rating that is usual,
	// and the sum of shortfalls that means a change.
	alarmSlack = 0.05
	alarmLimit = 1.0

	// alarmKeep is the share of the experience kept after a change.
	alarmKeep = 0.05

	// usualOutput is the length of an answer while none was seen.
	usualOutput = 200
)

// DefaultConfig returns settings for traffic of which a sample is rated.
func DefaultConfig() Config {
	return Config{Memory: 1000, Prior: 100, Margin: 0.2, Explore: 0.05}
}

// NewLearned returns a policy without experience.
func NewLearned(cfg Config) *Learned {
	return &Learned{
		cfg: cfg, own: make(map[cellKey]*estimate), pooled: make(map[cellKey]*estimate),
		paces: make(map[cellKey]*pace), accepted: make(map[cellKey]*estimate),
		alarms: make(map[string]*alarm), served: make(map[string]*estimate), output: make(map[string]*estimate),
	}
}

// Name returns the policy's name.
func (*Learned) Name() string { return "learned" }

// Choose returns the plan; canaries get their share of their model's requests.
func (l *Learned) Choose(_ time.Time, d Demand, random *rand.Rand) (Plan, bool) {
	settled, canaries := split(d.Permitted)
	if len(settled) == 0 {
		settled, canaries = canaries, nil
	}
	options := l.options(d, settled)
	if len(options) == 0 {
		return Plan{}, false
	}
	best := l.best(d, options)
	if !d.InSession && random.Float64() < l.cfg.Explore {
		best = l.explore(d, best, options)
	}
	return withCanary(best.plan, canaries, random), true
}

// Observe learns from a finished request, or from a rating that came later.
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

// forget drops most of what is known of a plan's quality, after a change.
func (l *Learned) forget(plan string) {
	for _, cells := range []map[cellKey]*estimate{l.own, l.pooled} {
		for key, e := range cells {
			if key.plan == plan {
				e.forget(alarmKeep)
			}
		}
	}
}

// best returns the option of the best score that meets the target, or else
// the one of the highest expected quality.
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

// target is the workspace's target, raised by what its answers fell short.
func (l *Learned) target(d Demand) float64 {
	const weight, gain, reserve = 20, 3, 0.005
	target := d.Policy.QualityTarget
	mean := at(l.served, d.Workspace).mean(target, weight)
	return target + gain*max(target+reserve-mean, 0)
}

func (o option) score(d Demand, cost, latency float64) float64 {
	p := d.Policy.Priorities
	if p.Cost+p.Latency+p.Exposure == 0 {
		p.Cost = 1
	}
	const trusted = 20
	risk := trusted / (trusted + o.ratings)
	return p.Cost*o.cost/max(cost, 1e-9) + p.Latency*o.latency/max(latency, 1e-9) + p.Exposure*risk/trusted
}

// explore returns the plan of the best score that may meet the target, if it
// is cheaper than the best one.
func (l *Learned) explore(d Demand, best option, options []option) option {
	cost, latency := worst(options)
	tried, triedScore := best, best.score(d, cost, latency)
	for _, o := range options {
		score := o.score(d, cost, latency)
		if o.upper >= d.Policy.QualityTarget && score < triedScore {
			tried, triedScore = o, score
			tried.plan.Reason, tried.plan.Explores = "exploration", true
		}
	}
	return tried
}

// worst returns the highest cost and latency of the options.
func worst(options []option) (cost, latency float64) {
	for _, o := range options {
		cost, latency = max(cost, o.cost), max(latency, o.latency)
	}
	return cost, latency
}

// split separates versions that serve from those being rolled out.
func split(permitted []version.Version) (settled, canaries []version.Version) {
	for _, v := range permitted {
		if v.State == version.Canary || v.State == version.Ramping {
			canaries = append(canaries, v)
			continue
		}
		settled = append(settled, v)
	}
	return settled, canaries
}

// withCanary puts a version being rolled out in the place of its model's other
// version, for its share of the requests.
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

// at returns the value of the key, which is made when it is missing.
func at[K comparable, V any](m map[K]*V, key K) *V {
	v, ok := m[key]
	if !ok {
		v = new(V)
		m[key] = v
	}
	return v
}
