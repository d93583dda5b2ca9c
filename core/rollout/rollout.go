// Package rollout decides how much traffic a new version gets. It promotes, holds
// and monitors versions by sequential tests, which stay valid when they are
// evaluated after every rating. It also decides on ordered roll-outs, in which a
// service moves to a release within a given time; see Order.
package rollout

import (
	_ "embed"
	"time"

	"github.com/juju/errors"

	"rosereach/core/chart"
	"rosereach/core/finding"
	"rosereach/core/version"
)

// The states of a roll-out.
const (
	Canary    State = "canary"
	Ramping   State = "ramping"
	Held      State = "held"
	Done      State = "done"
	Withdrawn State = "withdrawn"
)

// The triggers that move a roll-out between states.
const (
	ToRamp     Trigger = "ramp"
	ToFinish   Trigger = "finish"
	ToHold     Trigger = "hold"
	ToResume   Trigger = "resume"
	ToWithdraw Trigger = "withdraw"
)

// The kinds of actions.
const (
	Keep    Kind = "keep"
	Promote Kind = "promote"
	Hold    Kind = "hold"
	Finish  Kind = "finish"
)

// minBaselineRatings is the minimum number of ratings of the old version, decayed
// as in DiscountedMean, before the new version is compared with it.
const minBaselineRatings = 50

var (
	//go:embed rollout.json
	chartFile []byte

	states = chart.MustLoad[State, Trigger](chartFile)
)

type (
	// State is a state of the embedded chart.
	State string

	// Trigger is a trigger of the embedded chart.
	Trigger string

	// Kind says what a caller of Next has to do.
	Kind string

	// Plan is the operator's plan of a roll-out.
	Plan struct {
		// Ref is the new version, and Baseline the one that it replaces.
		Ref      version.Ref `json:"ref"`
		Baseline version.Ref `json:"baseline"`
		// Shares are the traffic shares of the stages, 0 to 1, increasing.
		Shares []float64 `json:"shares"`
		// StageTime is the minimum time in each stage.
		StageTime time.Duration `json:"stage_time"`
		// Tolerance is how much lower the new version's mean quality may be.
		Tolerance float64 `json:"tolerance"`
		// Error limits the probability of holding a version that is within the
		// tolerance. It also limits, for each stage, the probability of promoting
		// one that is worse than the baseline by twice the tolerance or more.
		Error float64 `json:"error"`
	}

	// Rollout is the state of a roll-out. It holds everything that the next
	// decision needs, so that any control instance can continue it.
	Rollout struct {
		Plan  Plan  `json:"plan"`
		State State `json:"state"`
		// Stage is the index of the current stage in Plan.Shares.
		Stage int `json:"stage"`
		// Since is when the state or stage last changed.
		Since time.Time `json:"since"`
		// Cursor is the sequence of the last rating that was counted.
		Cursor uint64 `json:"cursor"`
		// Worse tests whether the new version is worse by more than the
		// tolerance, NoWorse whether it is not worse by twice the tolerance.
		Worse   SequentialTest `json:"worse"`
		NoWorse SequentialTest `json:"no_worse"`
		// FullTrafficDetector detects that the new version becomes worse at full traffic.
		FullTrafficDetector ChangeDetector `json:"later"`
		// BaselineQuality is the mean quality of the old version.
		BaselineQuality DiscountedMean `json:"base"`
		Reason          string         `json:"reason"`
	}

	// Rating is one rated answer, or one failure, of either version. Sequence
	// increases by one with each rating.
	Rating struct {
		Sequence uint64      `json:"sequence"`
		Ref      version.Ref `json:"ref"`
		Quality  float64     `json:"quality"`
	}

	// Evidence is the input of a decision.
	Evidence struct {
		// Ratings are in the order of their sequence. Those that were counted
		// before are skipped.
		Ratings []Rating
		// HeldBy is the name of an entry whose guard holds the version, or empty.
		HeldBy string
	}

	// Action is the result of a decision.
	Action struct {
		Kind Kind
		// Share is the new version's share of the traffic from now on, 0 to 1.
		Share float64
		// Trigger is the trigger for the version's state chart, or empty.
		Trigger version.Trigger
		Reason  string
	}
)

// DefaultPlan returns a plan with default stages to replace baseline by ref.
func DefaultPlan(ref, baseline version.Ref) Plan {
	return Plan{
		Ref: ref, Baseline: baseline, Shares: []float64{0.02, 0.1, 0.3, 1}, StageTime: 5 * time.Minute,
		Tolerance: 0.05, Error: 0.005,
	}
}

// Check returns all findings of the plan.
func (p Plan) Check() finding.List {
	var found finding.List
	if p.Ref == p.Baseline {
		found.Add("baseline", "the same version", "another version than ref")
	}
	if len(p.Shares) == 0 {
		found.Add("shares", "missing", "one share or more")
	}
	last := 0.0
	for _, share := range p.Shares {
		if share <= last || share > 1 {
			found.Add("shares", "not growing, or out of range", "growing numbers above 0, up to 1")
			break
		}
		last = share
	}
	if p.Tolerance <= 0 || p.Tolerance >= 1 {
		found.Add("tolerance", "out of range", "above 0, below 1")
	}
	if p.Error <= 0 || p.Error >= 1 {
		found.Add("error", "out of range", "above 0, below 1")
	}
	return found
}

// Start returns a roll-out of the plan in its first stage.
func Start(now time.Time, p Plan) Rollout {
	return Rollout{Plan: p, State: states.Initial(), Since: now}
}

// Share returns the share of traffic that the new version gets.
func (r Rollout) Share() float64 {
	if r.State == Canary || r.State == Ramping || r.State == Done {
		return r.Plan.Shares[r.Stage]
	}
	return 0
}

// WithTrigger returns the roll-out in the state that the trigger leads to, or an
// error when the state chart does not allow the trigger.
func (r Rollout) WithTrigger(now time.Time, t Trigger) (Rollout, error) {
	next, err := states.Next(r.State, t)
	if err != nil {
		return r, errors.Trace(err)
	}
	r.State, r.Since = next, now
	if t == ToResume {
		r.Stage, r.Worse, r.NoWorse = 0, SequentialTest{}, SequentialTest{}
	}
	return r, nil
}

// Next returns the roll-out after the evidence and the action to take. It depends
// only on its arguments, and evidence that is passed twice counts once, so that a
// control instance that takes over neither repeats nor loses a step.
func Next(now time.Time, r Rollout, e Evidence) (Rollout, Action) {
	for _, rating := range e.Ratings {
		r = r.withRating(rating)
	}
	switch {
	case r.State == Held || r.State == Withdrawn:
		return r, r.keep()
	case e.HeldBy != "":
		return r.hold(now, e.HeldBy+" holds the version")
	case r.State == Done && r.FullTrafficDetector.Alarm(r.Plan.Error):
		return r.hold(now, "the version turned worse at full traffic")
	case r.State != Done && r.Worse.Rejects(r.Plan.Error):
		return r.hold(now, "the version is worse than the one it replaces")
	case r.State == Done || !r.NoWorse.Rejects(r.Plan.Error) || now.Sub(r.Since) < r.Plan.StageTime:
		return r, r.keep()
	}
	return r.promote(now)
}

// keep returns the action that changes nothing.
func (r Rollout) keep() Action { return Action{Kind: Keep, Share: r.Share(), Reason: r.Reason} }

// hold stops the new version's traffic.
func (r Rollout) hold(now time.Time, reason string) (Rollout, Action) {
	next, err := r.WithTrigger(now, ToHold)
	if err != nil {
		return r, r.keep()
	}
	next.Reason = reason
	return next, Action{Kind: Hold, Trigger: version.ToHold, Reason: reason}
}

// promote moves to the next stage, or finishes after the last one. The test that
// the version is no worse restarts, so that each stage has to pass it with its own
// ratings.
func (r Rollout) promote(now time.Time) (Rollout, Action) {
	trigger, action := ToRamp, Action{Kind: Promote, Trigger: version.ToRamp}
	if r.Stage == len(r.Plan.Shares)-1 {
		trigger, action = ToFinish, Action{Kind: Finish, Trigger: version.ToServe}
	}
	next, err := r.WithTrigger(now, trigger)
	if err != nil {
		return r, r.keep()
	}
	if trigger == ToRamp {
		next.Stage++
	}
	next.NoWorse = SequentialTest{}
	next.Reason = "the version is no worse by more than the tolerance"
	action.Share, action.Reason = next.Share(), next.Reason
	return next, action
}

// withRating counts a rating unless it was counted before. Each rating of the new
// version is compared with the mean of the latest ratings of the old one.
func (r Rollout) withRating(rating Rating) Rollout {
	if rating.Sequence <= r.Cursor {
		return r
	}
	r.Cursor = rating.Sequence
	if rating.Ref == r.Plan.Baseline && r.State != Done {
		r.BaselineQuality = r.BaselineQuality.With(rating.Quality)
		return r
	}
	if rating.Ref != r.Plan.Ref || r.BaselineQuality.N < minBaselineRatings {
		return r
	}
	loss := r.BaselineQuality.Mean() - rating.Quality
	if r.State == Done {
		r.FullTrafficDetector = r.FullTrafficDetector.With(loss-r.Plan.Tolerance, r.Plan.Tolerance)
		return r
	}
	r.Worse = r.Worse.With(loss - r.Plan.Tolerance)
	r.NoWorse = r.NoWorse.With(2*r.Plan.Tolerance - loss)
	return r
}
