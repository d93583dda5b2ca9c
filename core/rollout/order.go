package rollout

import (
	"slices"
	"time"

	"rosereach/core/finding"
)

// The stages of an ordered roll-out.
const (
	// StageOrdered gives the target nothing yet: for the first half of their
	// time, sessions keep the release that they began with.
	StageOrdered Stage = "ordered"
	// StageCanary gives the target a small share of the requests.
	StageCanary Stage = "canary"
	// StageFull gives all new requests to the target while the old backend
	// servers finish what they have.
	StageFull Stage = "full"
	// StageCompleted means that nothing uses the old release any more.
	StageCompleted Stage = "completed"
	// StageRolledBack means that the target gets nothing.
	StageRolledBack Stage = "rolled_back"
)

const (
	// canaryAt, fullAt and completeAt are the shares of a roll-out's time after
	// which the target gets its first requests, takes all of them if it has
	// shown no fault, and is the only release left. Sessions may move from the
	// second half on. Operators bound the share of all requests that a release
	// gets within its time if it turns out to be bad, and some faults show late
	// or never: so all requests move only when what is left of the time fits the
	// bound. The old servers stop when it is completed; what they still have by
	// then goes on at the target.
	canaryAt   = 0.51
	fullAt     = 0.91
	completeAt = 0.965

	// provenBy is how many requests the target has to have had before it takes
	// all: a release that fails half of them is found by fewer.
	provenBy = 12

	// resendTime is for how long an order of the same release counts as a
	// resend after its roll-out has ended. Operators resend for a few seconds.
	resendTime = 10 * time.Second
)

// forward is the way of a roll-out without fault.
var forward = []Stage{StageOrdered, StageCanary, StageFull, StageCompleted}

type (
	// Stage is how far an ordered roll-out has come.
	Stage string

	// Order is an operator's order to move a service to the release Target
	// within Duration. Ordered is the leader's time of day when it was
	// accepted.
	Order struct {
		Service  string        `json:"service"`
		Target   string        `json:"target"`
		Duration time.Duration `json:"duration"`
		Stage    Stage         `json:"stage"`
		Ordered  time.Time     `json:"ordered"`
		Reason   string        `json:"reason,omitempty"`
		Revision uint64        `json:"revision"`
	}

	// Move is the document of a change of stage.
	Move struct {
		Stage  Stage  `json:"stage"`
		Reason string `json:"reason"`
	}
)

// Check returns all findings of an order.
func (o Order) Check() finding.List {
	var found finding.List
	if o.Service == "" {
		found.Add("service", "missing", "the name of a service")
	}
	if o.Target == "" {
		found.Add("target", "missing", "a release")
	}
	if o.Duration <= 0 {
		found.Add("duration", "not above 0", "a time above 0")
	}
	return found
}

// IsFinal reports whether the roll-out has ended.
func (o Order) IsFinal() bool { return o.Stage == StageCompleted || o.Stage == StageRolledBack }

// IsSameOrder reports whether another order asks for the same, so that it is a
// resend.
func (o Order) IsSameOrder(other Order) bool {
	if o.Service != other.Service || o.Target != other.Target || o.Duration != other.Duration {
		return false
	}
	return !o.IsFinal() || other.Ordered.Sub(o.Ordered) < o.Duration+resendTime
}

// TargetShare returns the share of the sessions, 0 to 1, that the target gets.
// Allowed is the operator's bound for a release that has not proved itself.
func (o Order) TargetShare(allowed float64) float64 {
	switch o.Stage {
	case StageCanary:
		return CanaryShare(allowed)
	case StageFull, StageCompleted:
		return 1
	}
	return 0
}

// MayMove reports whether the roll-out may go to the stage: forward, one stage
// or several once it has its canary, or back for good.
func (o Order) MayMove(to Stage) bool {
	if o.IsFinal() {
		return false
	}
	from, next := slices.Index(forward, o.Stage), slices.Index(forward, to)
	return to == StageRolledBack || next > from && (o.Stage != StageOrdered || to == StageCanary)
}

// Next returns the stage that the roll-out should be in, and why, when it has
// been under way for the time and attempts went as the tallies say.
func (o Order) Next(elapsed time.Duration, tallies []Tally) (Stage, string) {
	if o.IsFinal() {
		return o.Stage, o.Reason
	}
	if reason := judge(o.Service, o.Target, tallies); reason != "" {
		return StageRolledBack, reason
	}
	switch {
	case elapsed >= o.Duration && !isProven(o, tallies, true):
		return StageRolledBack, "no request reached the target in time"
	case o.Stage == StageOrdered && elapsed >= share(o.Duration, canaryAt):
		return StageCanary, "half of the time is over"
	case o.Stage == StageCanary && elapsed >= share(o.Duration, fullAt) && isProven(o, tallies, elapsed >= share(o.Duration, completeAt)):
		return StageFull, "no fault was seen"
	case o.Stage == StageFull && elapsed >= share(o.Duration, completeAt):
		return StageCompleted, "no fault was seen"
	}
	return o.Stage, o.Reason
}

// isProven reports whether the target has had enough requests to be trusted
// with all. When time runs out any will do, and none if the service has none.
func isProven(o Order, tallies []Tally, late bool) bool {
	seen, all := requestsOf(o.Service, tallies, o.Target)
	return seen >= provenBy || late && (seen > 0 || all == 0)
}

// CanaryShare is the share of a service's requests that its target gets until
// it has proved itself, given the share that the operator allows.
func CanaryShare(allowed float64) float64 { return allowed * canaryOfAllowed }

func share(d time.Duration, part float64) time.Duration {
	return time.Duration(part * float64(d))
}
