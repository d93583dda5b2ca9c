// Package cascade chooses the plan for a model request: a single model version, or
// a cascade of versions from cheap to strong with a judge between the steps.
package cascade

import (
	"math/rand/v2"
	"strings"
	"time"

	"rosereach/core/template"
	"rosereach/core/version"
)

type (
	// Demand describes a request to the policy.
	Demand struct {
		Workspace string
		Class     string
		Policy    template.Policy
		// Permitted are the versions that the workspace may use now, ordered by
		// reference.
		Permitted   []version.Version
		InputTokens int64
		InSession   bool
	}

	// Plan is a sequence of versions to try. A plan of one step has no judge.
	Plan struct {
		Steps []version.Ref
		// Threshold is the minimum judged quality, 0 to 1, of an answer that is
		// accepted and ends the plan.
		Threshold float64
		// IsExploration requests a rating of the answer even if it is not in the
		// rated sample.
		IsExploration bool
		// IsJudged requests a verdict of the judge on the answer, after it is shown.
		IsJudged bool
		// Reason says why the plan was chosen.
		Reason string
	}

	// Observation is the result of one finished request, or the rating of its
	// answer, which arrives later.
	Observation struct {
		At        time.Time
		Workspace string
		Class     string
		// Plan is the key of the request's plan, empty for a plan of one step.
		Plan string
		// Ref is the version that produced the answer, and Escalated whether it
		// came after the plan's first step.
		Ref       version.Ref
		Escalated bool
		// Quality is the rating, nil for a finished request.
		Quality *float64
		// Verdict is the judge's on the answer of a finished request, nil without one.
		Verdict       *float64
		Failed        bool
		FirstToken    time.Duration
		TokenInterval time.Duration
		OutputTokens  int64
		Price         int64
	}

	// Policy chooses the plans of requests.
	Policy interface {
		// Name returns the policy's name in settings and reports.
		Name() string
		// Choose returns the plan for a request, or false when no version is
		// permitted.
		Choose(now time.Time, d Demand, random *rand.Rand) (Plan, bool)
		// Observe updates the policy with the result of a request.
		Observe(o Observation)
	}
)

// stepSeparator separates the versions in a plan's key.
const stepSeparator = ">"

// Key identifies the plan by its steps.
func (p Plan) Key() string { return planKey(p.Steps) }

func planKey(steps []version.Ref) string {
	names := make([]string, len(steps))
	for i, ref := range steps {
		names[i] = ref.String()
	}
	return strings.Join(names, stepSeparator)
}
