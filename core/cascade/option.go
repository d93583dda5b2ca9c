package cascade

import (
	"math"

	"rosereach/core/version"
)

// The priors for the times to the first token and between tokens, in seconds.
const (
	priorFirstToken    = 0.3
	priorTokenInterval = 0.02
)

// exploreMargin is the number of standard errors between an estimate and its upper bound,
// which decides whether a plan is worth exploring.
const exploreMargin = 1.5

// options returns all plans with their estimates: each version by itself and, if
// cascades are possible, each pair of a cheaper and a more expensive version.
func (l *Learned) options(d Demand, versions []version.Version) []option {
	var options []option
	for _, v := range versions {
		options = append(options, l.singlePlan(d, v))
	}
	if d.InSession || l.cfg.Judge == nil {
		return options
	}
	for _, cheap := range versions {
		for _, strong := range versions {
			if cheap.OutputPrice < strong.OutputPrice && cheap.Ref != strong.Ref {
				options = append(options, l.cascadePlan(d, cheap, strong))
			}
		}
	}
	return options
}

// singlePlan returns the plan that uses one version.
func (l *Learned) singlePlan(d Demand, v version.Version) option {
	key := v.Ref.String()
	o := l.estimateQuality(d, key, v.Quality)
	o.plan = Plan{Steps: []version.Ref{v.Ref}}
	o.cost = float64(v.Price(d.InputTokens, l.expectedOutput(d)))
	o.latency = getOrCreate(l.tokenTimes, estimateKey{"", d.Class, key}).mean(priorFirstToken)
	return o
}

// cascadePlan returns the plan that tries the cheap version first, and the strong one when
// the judge rates the answer below the target.
func (l *Learned) cascadePlan(d Demand, cheap, strong version.Version) option {
	steps := []version.Ref{cheap.Ref, strong.Ref}
	key := planKey(steps)
	first, second := l.estimateQuality(d, cheap.Ref.String(), cheap.Quality), l.estimateQuality(d, strong.Ref.String(), strong.Quality)
	spread := getOrCreate(l.pooledQuality, estimateKey{"", d.Class, cheap.Ref.String()}).deviation()
	prior, quality := acceptedShare(first.mean, spread, l.cfg.Judge.Noise, d.Policy.QualityTarget)
	share := getOrCreate(l.acceptance, estimateKey{d.Workspace, d.Class, key}).mean(prior, l.cfg.PooledWeight)
	output := l.expectedOutput(d)
	o := l.estimateQuality(d, key, prior*quality+(1-prior)*second.mean)
	o.plan = Plan{Steps: steps, Threshold: d.Policy.QualityTarget}
	o.cost = float64(cheap.Price(d.InputTokens, output)) + float64(l.cfg.Judge.Price*(d.InputTokens+output))/1000 +
		(1-share)*float64(strong.Price(d.InputTokens, output))
	o.latency = getOrCreate(l.tokenTimes, estimateKey{"", d.Class, key}).mean(
		priorFirstToken + float64(output)*priorTokenInterval + l.cfg.Judge.Delay.Seconds() + (1-share)*priorFirstToken)
	return o
}

// estimateQuality returns the estimated quality of a plan and its bounds: the mean
// of its ratings in the workspace, shrunk toward that of all workspaces, which is
// shrunk toward the prior.
func (l *Learned) estimateQuality(d Demand, key string, prior float64) option {
	const priorWeight = 10
	pooled := getOrCreate(l.pooledQuality, estimateKey{"", d.Class, key})
	own := getOrCreate(l.workspaceQuality, estimateKey{d.Workspace, d.Class, key})
	weight := l.cfg.PooledWeight
	mean := own.mean(pooled.mean(prior, priorWeight), weight)
	known := own.n + min(weight, pooled.n+priorWeight)
	err := pooled.deviation() / math.Sqrt(known)
	return option{mean: mean, lower: mean - l.cfg.Margin*err, upper: mean + exploreMargin*err, ratings: own.n}
}

// expectedOutput returns the expected output tokens of the request.
func (l *Learned) expectedOutput(d Demand) int64 {
	return int64(getOrCreate(l.outputTokens, d.Class).mean(priorOutputTokens, 1))
}

// acceptedShare returns the share of answers that a judge rates at the threshold or
// above, and their mean quality, for normally distributed quality and judge noise.
func acceptedShare(mean, spread, noise, threshold float64) (share, quality float64) {
	total := math.Hypot(spread, noise)
	z := (mean - threshold) / total
	share = 0.5 * math.Erfc(-z/math.Sqrt2)
	if share < 1e-6 {
		return 0, mean
	}
	density := math.Exp(-z*z/2) / math.Sqrt(2*math.Pi)
	return share, mean + spread*spread/total*density/share
}
