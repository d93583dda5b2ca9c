package cascade

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// maxJudgedShare is the maximum share of requests that the judge checks.
const maxJudgedShare = 0.2

// withJudge returns the plan with its answer checked by the judge, for a random share
// of requests such that the judge costs VerdictBudget of their price. Verdicts come at
// once. Ratings come minutes later: after a fall in a version's quality, many requests
// would be served badly until then.
func (l *Learned) withJudge(d Demand, o option, random *rand.Rand) Plan {
	if l.cfg.Judge == nil || len(o.plan.Steps) > 1 {
		return o.plan
	}
	price := float64(l.cfg.Judge.Price*(d.InputTokens+l.expectedOutput(d))) / 1000
	share := min(l.cfg.VerdictBudget*o.cost/max(price, 1e-9), maxJudgedShare)
	o.plan.IsJudged = random.Float64() < share
	return o.plan
}

// lowerQuality lowers the estimates of a plan by the fall and reduces the weight of
// what was learned about it and about cascades with its versions. Ratings of answers
// before the change are ignored from then on.
func (l *Learned) lowerQuality(plan string, fall float64, at time.Time) {
	l.changedAt[plan] = at
	for _, cells := range []map[estimateKey]*estimate{l.workspaceQuality, l.pooledQuality, l.acceptance} {
		for key, e := range cells {
			switch {
			case key.plan == plan:
				e.discount(changeDiscount)
				e.shift(-fall)
			case slices.Contains(strings.Split(key.plan, stepSeparator), plan):
				e.discount(changeDiscount)
			}
		}
	}
}

// isOutdated reports whether a rating is of an answer before a change of its plan.
func (l *Learned) isOutdated(o Observation, plan string) bool {
	for _, name := range append(strings.Split(plan, stepSeparator), plan) {
		if o.At.Before(l.changedAt[name]) {
			return true
		}
	}
	return false
}
