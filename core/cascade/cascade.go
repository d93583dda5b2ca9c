// Package cascade chooses the plan for a model request: one version, or
// several tried from cheap to strong with a judge between them.
package cascade

import (
	"math/rand/v2"
	"strings"
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
	// An answer with a judged quality of at least Threshold ends the plan. The
	// answer of a plan that Explores should be rated whatever the sample is.
	Plan struct {
		Steps     []version.Ref
		Threshold float64
		Explores  bool
		Reason    string
	}

	// Observation is what became known of one finished request or, later, of
	// its rating. Quality is nil for an answer that was not rated. Plan is the
	// key of its plan, empty for a plan of one step; Ref made the answer, after
	// Escalated when it was not the plan's first step.
	Observation struct {
		At            time.Time
		Workspace     string
		Class         string
		Plan          string
		Ref           version.Ref
		Escalated     bool
		Quality       *float64
		Failed        bool
		FirstToken    time.Duration
		TokenInterval time.Duration
		OutputTokens  int64
		Price         int64
	}

	// Policy chooses plans and learns from observations. Choose returns false
	// when no permitted version is left.
	Policy interface {
		Name() string
		Choose(now time.Time, d Demand, random *rand.Rand) (Plan, bool)
		Observe(o Observation)
	}
)

// Key names the plan by its steps.
func (p Plan) Key() string { return keyOf(p.Steps) }

func keyOf(steps []version.Ref) string {
	names := make([]string, len(steps))
	for i, ref := range steps {
		names[i] = ref.String()
	}
	return strings.Join(names, ">")
}
