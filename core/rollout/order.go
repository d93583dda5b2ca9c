package rollout

import (
	"slices"
	"time"

	"rosereach/core/finding"
)

// The stages of an ordered roll-out.
const (
	// StageOrdered sends no requests to the target yet: for the first half of the
	// roll-out, sessions keep the release that they started with.
	StageOrdered Stage = "ordered"
	// StageCanary sends a small share of the requests to the target.
	StageCanary Stage = "canary"
	// StageSpread sends the canary's share to twice as many servers.
	StageSpread Stage = "spread"
	// StageFull sends all new requests to the target while the old backend
	// servers finish theirs.
	StageFull Stage = "full"
	// StageCompleted means that no request uses the old release any more.
	StageCompleted Stage = "completed"
	// StageRolledBack means that the target gets no requests.
	StageRolledBack Stage = "rolled_back"
)

const (
	// canaryStart, spreadStart, fullStart and completionStart are points of a
	// roll-out, as fractions of its duration. At canaryStart the target gets its
	// first requests, at spreadStart they go to more of its servers, at fullStart it
	// takes all requests if it has shown no fault, and at completionStart it is the
	// only release left.
	//
	// Sessions may move only in the second half. Operators limit the share of
	// the roll-out's requests that a bad release may get. Some faults show late
	// or never, so that all requests move only when those of the remaining time
	// are within that limit. The old servers stop at completion, and requests
	// that they have not finished continue at the target.
	canaryStart     = 0.51
	spreadStart     = 0.68
	fullStart       = 0.915
	completionStart = 0.95

	// completionMargin is the minimum time between completion and the end of the
	// duration. Operators learn of it when they ask the next time, every half second
	// or so, and one answer may be lost.
	completionMargin = 1200 * time.Millisecond

	// minTargetRequests is the number of requests that the target must have handled before
	// it takes all. A release that fails half of its requests is detected with
	// fewer.
	minTargetRequests = 12

	// coldWork is the work of a request at a server with an empty cache, compared to
	// that at others.
	coldWork = 2

	// minCanaryServers is the minimum number of servers of the target that get
	// requests in the canary stage.
	minCanaryServers = 2

	// resendWindow is how long after the end of a roll-out an identical order counts
	// as a resend. Operators resend for a few seconds.
	resendWindow = 10 * time.Second
)

// stageSequence lists the stages of a roll-out without faults.
var stageSequence = []Stage{StageOrdered, StageCanary, StageSpread, StageFull, StageCompleted}

type (
	// Stage is the stage of an ordered roll-out.
	Stage string

	// Order is an operator's order to move a service to a release, and the state
	// of its roll-out.
	Order struct {
		Service string `json:"service"`
		// Target is the release to move to, within Duration.
		Target   string        `json:"target"`
		Duration time.Duration `json:"duration"`
		Stage    Stage         `json:"stage"`
		// Ordered is the wall-clock time of the leader when it accepted the order.
		Ordered time.Time `json:"ordered"`
		// Reason says why the roll-out is in its stage.
		Reason   string `json:"reason,omitempty"`
		Revision uint64 `json:"revision"`
	}

	// Move is the document that records a change of stage.
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

// IsSameOrder reports whether another order is a resend of this one: it requests
// the same, and the roll-out has not ended or has ended only recently.
func (o Order) IsSameOrder(other Order) bool {
	if o.Service != other.Service || o.Target != other.Target || o.Duration != other.Duration {
		return false
	}
	return !o.IsFinal() || other.Ordered.Sub(o.Ordered) < o.Duration+resendWindow
}

// TargetShare returns the share of the sessions, 0 to 1, that the target gets.
// Allowed is the operator's bound for a release without evidence.
func (o Order) TargetShare(allowed float64) float64 {
	switch o.Stage {
	case StageCanary, StageSpread:
		return CanaryShare(allowed)
	case StageFull, StageCompleted:
		return 1
	}
	return 0
}

// MayMove reports whether the roll-out may change to the stage: from the ordered
// stage to the canary, from there to any later stage, and from every stage that is
// not final to the rolled-back one.
func (o Order) MayMove(to Stage) bool {
	if o.IsFinal() {
		return false
	}
	from, next := slices.Index(stageSequence, o.Stage), slices.Index(stageSequence, to)
	return to == StageRolledBack || next > from && (o.Stage != StageOrdered || to == StageCanary)
}

// Next returns the stage that the roll-out should be in and the reason, given the
// time since the order and the tallies of attempts.
func (o Order) Next(elapsed time.Duration, tallies []Tally) (Stage, string) {
	if o.IsFinal() {
		return o.Stage, o.Reason
	}
	if reason := rollbackReason(o.Service, o.Target, tallies); reason != "" {
		return StageRolledBack, reason
	}
	switch {
	case elapsed >= o.Duration && !hasEnoughRequests(o, tallies, true):
		return StageRolledBack, "no request reached the target in time"
	case o.Stage == StageOrdered && elapsed >= fractionOf(o.Duration, canaryStart):
		return StageCanary, "half of the time is over"
	case o.isCanary() && elapsed >= fractionOf(o.Duration, fullStart) && hasEnoughRequests(o, tallies, elapsed >= o.completionTime()):
		return StageFull, "no fault was seen"
	case o.Stage == StageCanary && elapsed >= fractionOf(o.Duration, spreadStart):
		return StageSpread, "no fault was seen under the usual number of requests"
	case o.Stage == StageFull && elapsed >= o.completionTime():
		return StageCompleted, "no fault was seen"
	}
	return o.Stage, o.Reason
}

// completionTime returns when the roll-out completes. Short ones keep the margin, but
// not at the cost of the order of stages.
func (o Order) completionTime() time.Duration {
	return max(min(fractionOf(o.Duration, completionStart), o.Duration-completionMargin), fractionOf(o.Duration, fullStart))
}

// hasEnoughRequests reports whether the target has handled enough requests to take all. At
// the end of the roll-out one request suffices, or none if the whole service had
// none.
func hasEnoughRequests(o Order, tallies []Tally, isEnd bool) bool {
	seen, all := requestsOf(o.Service, tallies, o.Target)
	return seen >= minTargetRequests || isEnd && (seen > 0 || all == 0)
}

// CanaryShare returns the share of a service's requests, 0 to 1, that the target
// gets in the canary stage, given the share that the operator allows.
func CanaryShare(allowed float64) float64 { return allowed * canaryFraction }

// TargetServers returns how many of the target's n servers get requests, given the share
// of all requests, 0 to 1, that they get. In the canary stage each carries the usual
// number of requests, as some faults appear only then. As their caches are empty, they
// read whole prompts where others read parts: with twice the work a good release soon
// looks slow behind its own queues. In the next stage they are therefore twice as
// many. There are at least two, so that one unhealthy server does not represent the
// release.
func (o Order) TargetServers(n int, share float64) int {
	switch o.Stage {
	case StageCanary:
		return min(max(int(float64(n)*share), minCanaryServers), n)
	case StageSpread:
		return min(max(int(float64(n)*share*coldWork), minCanaryServers), n)
	}
	return n
}

func (o Order) isCanary() bool { return o.Stage == StageCanary || o.Stage == StageSpread }

func fractionOf(d time.Duration, fraction float64) time.Duration {
	return time.Duration(fraction * float64(d))
}
