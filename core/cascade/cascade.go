// Package cascade chooses the plan for a model request: one version, or
// several tried from cheap to strong with a judge between them.
package cascade

import (
	"math/rand/v2"
	"time"

	"rosereach/core/template"
	"rosereach/core/version"
)

type (
	// Demand is what the choice may know of a request. Permitted are the
	// versions that the workspace may use now, ordered by reference.
	Demand struct {
		Workspace   string
		Class       string
		Policy      template.Policy
		Permitted   []version.Version
		InputTokens int64
		InSession   bool
	}

	// Plan is the versions to try, in order. A plan of one step has no judge.
	// An answer with a judged quality of at least Threshold ends the plan.
	Plan struct {
		Steps     []version.Ref
		Threshold float64
		Reason    string
	}

	// Observation is what became known of one finished attempt. Quality is nil
	// for an answer that was not rated.
	Observation struct {
		At            time.Time
		Workspace     string
		Class         string
		Ref           version.Ref
		Quality       *float64
		Failed        bool
		FirstToken    time.Duration
		TokenInterval time.Duration
		Price         int64
	}

	// Policy chooses plans and learns from observations. Choose returns false
	// when no permitted version is left.
	Policy interface {
		Name() string
		Choose(now time.Time, d Demand, random *rand.Rand) (Plan, bool)
		Observe(o Observation)
	}

	// Cheapest always takes the permitted version with the lowest price whose
	// declared quality meets the target, or else the best one.
	Cheapest struct{}
)

// Name returns the policy's name.
func (Cheapest) Name() string { return "cheapest_declared" }

// Observe does nothing: the policy trusts the declared quality.
func (Cheapest) Observe(Observation) {}

// Choose returns a plan of one step.
func (Cheapest) Choose(_ time.Time, d Demand, _ *rand.Rand) (Plan, bool) {
	if len(d.Permitted) == 0 {
		return Plan{}, false
	}
	best := d.Permitted[0]
	for _, v := range d.Permitted[1:] {
		if isBetter(v, best, d.Policy.QualityTarget) {
			best = v
		}
	}
	return Plan{Steps: []version.Ref{best.Ref}, Reason: "lowest declared price at the quality target"}, true
}

func isBetter(a, b version.Version, target float64) bool {
	aMeets, bMeets := a.Quality >= target, b.Quality >= target
	if aMeets != bMeets {
		return aMeets
	}
	if !aMeets {
		return a.Quality > b.Quality
	}
	return a.OutputPrice < b.OutputPrice
}
