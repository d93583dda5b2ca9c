package rollout

import (
	"maps"
	"slices"
	"time"

	"rosereach/core/finding"
)

// The stages of an ordered roll-out.
const (
	// StageOrdered sends no requests to the target yet: for the first half of the
	// roll-out, sessions keep the release that they started with.
	StageOrdered Stage = "ordered"
	// StageProbe sends a share of the requests without a session to the target of a
	// service that is too quiet to show its health in the second half.
	StageProbe Stage = "probe"
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
	// probeStart, canaryStart, spreadStart, fullStart and completionStart are points of a
	// roll-out, as fractions of its duration. At probeStart the target of a quiet service
	// gets requests without a session. At canaryStart the target gets its
	// first requests, at spreadStart they go to more of its servers, at fullStart it
	// takes all requests if its health is shown, or earlier if the operator's bound
	// allows all of the remaining ones, and from completionStart on it becomes the only
	// release left as soon as its health is shown.
	//
	// Sessions may move only in the second half. Operators limit the share of
	// the roll-out's requests that a bad release may get. Some faults show late
	// or never, so that all requests move only when those of the remaining time
	// are within that limit. The old servers stop at completion, and requests
	// that they have not finished continue at the target.
	probeStart      = 0.15
	canaryStart     = 0.51
	spreadStart     = 0.68
	fullStart       = 0.915
	completionStart = 0.95

	// completionMargin is the minimum time between completion and the end of the
	// duration. Operators learn of it when they ask the next time, every half second
	// or so, and one answer may be lost.
	completionMargin = 1200 * time.Millisecond

	// reportInterval is the longest time until the requests at an entry are counted at the
	// leader.
	reportInterval = time.Second

	// fullMargin is the time before completionTime from which a target that is shown healthy
	// takes all requests, even if the bound leaves no room for a busy end: entries that learn
	// of it later send requests to old servers that stop.
	fullMargin = 400 * time.Millisecond

	// fullTime is how long the target has all requests before it becomes the only release, so
	// that the entries learn of it and a fault under load reaches the leader.
	fullTime = 750 * time.Millisecond

	// lastCompletion is the time before the end of the duration from which completion does
	// not wait for fullTime: operators ask every half second or so.
	lastCompletion = time.Second

	// orderedResolution is the resolution of the time of an order: committed times are
	// rounded down to full seconds.
	orderedResolution = time.Second

	// coldWork is the work of a request at a server with an empty cache, compared to
	// that at others.
	coldWork = 2

	// minCanaryServers is the minimum number of servers of the target that get
	// requests in the canary stage.
	minCanaryServers = 2

	// maxRolledBack is the number of releases that a roll-out remembers as not completed.
	// The servers of a release drain soon after its roll-out.
	maxRolledBack = 16

	// resendWindow is how long after the end of a roll-out an identical order counts
	// as a resend. Operators resend for a few seconds.
	resendWindow = 10 * time.Second
)

// stageSequence lists the stages of a roll-out without faults.
var stageSequence = []Stage{StageOrdered, StageProbe, StageCanary, StageSpread, StageFull, StageCompleted}

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
		// Share is the share of the sessions, 0 to 1, that the target gets in the probe,
		// canary and spread stages; 0 stands for CanaryShare.
		Share float64 `json:"share,omitempty"`
		// RouteShares are the shares of the requests without a session in these stages,
		// for busy routes of a quiet service.
		RouteShares map[string]float64 `json:"route_shares,omitempty"`
		// RolledBack lists the service's releases that earlier roll-outs did not complete.
		// They get no requests.
		RolledBack []string `json:"rolled_back,omitempty"`
		// Ordered is the wall-clock time of the leader when it accepted the order.
		Ordered time.Time `json:"ordered"`
		// Reason says why the roll-out is in its stage.
		Reason   string `json:"reason,omitempty"`
		Revision uint64 `json:"revision"`
	}

	// Move is the document that records a change of stage.
	Move struct {
		Stage  Stage   `json:"stage"`
		Reason string  `json:"reason"`
		Share  float64 `json:"share,omitempty"`

		RouteShares map[string]float64 `json:"route_shares,omitempty"`
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

// NotCompleted returns the service's releases that must get no requests while its next
// roll-out, to the given target, is in progress: those that earlier roll-outs did not
// complete. Their servers may still run when the next order comes.
func (o Order) NotCompleted(nextTarget string) []string {
	releases := slices.Clone(o.RolledBack)
	if o.Stage != StageCompleted {
		releases = append(releases, o.Target)
	}
	releases = slices.DeleteFunc(releases, func(release string) bool { return release == nextTarget })
	return releases[max(len(releases)-maxRolledBack, 0):]
}

// MayServe reports whether a release other than the target may serve requests.
func (o Order) MayServe(release string) bool {
	return release != o.Target && !slices.Contains(o.RolledBack, release)
}

// TargetShare returns the share of the sessions, 0 to 1, that the target gets.
// Allowed is the operator's bound for a release without evidence.
func (o Order) TargetShare(allowed float64) float64 {
	switch o.Stage {
	case StageProbe, StageCanary, StageSpread:
		if o.Share > 0 {
			return min(o.Share, 1)
		}
		return CanaryShare(allowed)
	case StageFull, StageCompleted:
		return 1
	}
	return 0
}

// RouteShare returns the share of a route's requests without a session that the target
// gets, as TargetShare.
func (o Order) RouteShare(route string, allowed float64) float64 {
	share := o.TargetShare(allowed)
	if own, ok := o.RouteShares[route]; ok && (o.Stage == StageProbe || o.isCanary()) {
		share = min(own, 1)
	}
	return share
}

// ElapsedWhenSeen returns how long the roll-out had been in progress when a control saw its
// order for the first time, by the control's wall clock.
func (o Order) ElapsedWhenSeen(now time.Time) time.Duration {
	elapsed := now.Sub(o.Ordered)
	if elapsed < 2*orderedResolution {
		elapsed -= orderedResolution // seen as it was committed, at any time in the second of Ordered
	}
	return min(max(elapsed, 0), o.Duration)
}

// MayMove reports whether the roll-out may change to the stage: from the ordered
// stage to the probe or the canary, from there to any later stage, and from every stage
// that is not final to the rolled-back one. A move to the same stage changes the shares.
func (o Order) MayMove(to Stage) bool {
	if o.IsFinal() {
		return false
	}
	if to == o.Stage {
		return o.Stage == StageProbe || o.isCanary()
	}
	from, next := slices.Index(stageSequence, o.Stage), slices.Index(stageSequence, to)
	return to == StageRolledBack || next > from && (o.Stage != StageOrdered || to == StageProbe || to == StageCanary)
}

// Next returns the move that is due, given the time since the order, the attempts
// observed since then, and the operator's bound. It has the order's stage if none is due.
//
// A release becomes the only one when its health is shown, not when no fault was seen:
// at a quiet service a canary of a fixed share sees too few requests to tell a bad release
// from a good one, and after completion there is no server to go back to. If the
// health can't be shown within the duration, the target is rolled back.
func (o Order) Next(elapsed time.Duration, m *Monitor, b Budget) Move {
	stay := Move{Stage: o.Stage, Reason: o.Reason, Share: o.Share, RouteShares: o.RouteShares}
	if o.IsFinal() {
		return stay
	}
	if m.isOnlyRelease(o.Target) {
		return o.nextWithoutOthers(elapsed, stay)
	}
	if reason := m.rollbackReason(o.Target); reason != "" {
		return Move{Stage: StageRolledBack, Reason: reason}
	}
	seen, all := m.counts(o.Target)
	p := progress{seen: seen, rate: rate(all+1, elapsed), completion: o.completionTime(), duration: o.Duration}
	until := func(fraction float64) time.Duration { return fractionOf(o.Duration, fraction) - elapsed }
	switch {
	case elapsed >= o.Duration && !m.isShownHealthy(o.Target, elapsed):
		return Move{Stage: StageRolledBack, Reason: "its health was not shown in time"}
	case o.Stage == StageOrdered && until(probeStart) <= 0 && until(canaryStart) > 0 && b.Slack > 0 && isQuiet(all, elapsed, o.Duration):
		return Move{Stage: StageProbe, Reason: "the service is quiet", Share: b.canaryShare(p, until(canaryStart)), RouteShares: b.routeShares(p, until(canaryStart), m.busyRoutes(elapsed))}
	case (o.Stage == StageOrdered || o.Stage == StageProbe) && until(canaryStart) <= 0:
		return Move{Stage: StageCanary, Reason: "half of the time is over", Share: b.canaryShare(p, until(fullStart)), RouteShares: b.routeShares(p, until(fullStart), m.busyRoutes(elapsed))}
	case o.isCanary() && o.mayTakeAll(elapsed, m, b):
		m.fullSince = elapsed
		return Move{Stage: StageFull, Reason: "no fault was seen"}
	case (o.Stage == StageProbe || o.isCanary()) && len(o.RouteShares) > 0 && float64(seen) >= b.planned(p) && !o.isPaused():
		return Move{Stage: o.Stage, Reason: "it has had the planned requests", Share: o.Share, RouteShares: b.routeShares(p, 0, m.busyRoutes(elapsed))}
	case o.Stage == StageCanary && until(spreadStart) <= 0:
		return Move{Stage: StageSpread, Reason: "no fault was seen under the usual number of requests", Share: o.Share, RouteShares: b.routeShares(p, until(fullStart), m.busyRoutes(elapsed))}
	case o.Stage == StageFull && elapsed >= o.completionTime() && (elapsed-m.fullSince >= fullTime || until(1) <= lastCompletion) && m.isShownHealthy(o.Target, elapsed):
		return Move{Stage: StageCompleted, Reason: "its health is shown"}
	}
	return stay
}

// nextWithoutOthers returns the move that is due when the target is the only release: its
// servers serve as before the order, and there is no release to go back to. The target
// takes all by way of the canary, as controls of older builds allow no other way.
func (o Order) nextWithoutOthers(elapsed time.Duration, stay Move) Move {
	const reason = "no other release has servers"
	switch {
	case o.Stage == StageOrdered || o.Stage == StageProbe:
		return Move{Stage: StageCanary, Reason: reason}
	case o.isCanary():
		return Move{Stage: StageFull, Reason: reason}
	case elapsed >= o.completionTime():
		return Move{Stage: StageCompleted, Reason: reason}
	}
	return stay
}

// mayTakeAll reports whether the target may take all requests: because the operator's
// bound allows it for the rest of the duration, or because its health is shown. The
// former is the strongest test of a release while the old servers still run, and the only
// one of faults that show under load.
func (o Order) mayTakeAll(elapsed time.Duration, m *Monitor, b Budget) bool {
	seen, all := m.counts(o.Target)
	rest := o.Duration - elapsed
	if elapsed >= fractionOf(o.Duration, fullStart) && m.isShownHealthy(o.Target, elapsed) {
		return elapsed >= o.completionTime()-fullMargin || b.allowsHealthy(seen, all, elapsed, rest)
	}
	return m.isLeaningGood(o.Target, elapsed) && b.allowsAll(seen, all, elapsed, rest)
}

// completionTime returns when the roll-out completes at the earliest. Short ones keep the
// margin.
func (o Order) completionTime() time.Duration {
	return min(fractionOf(o.Duration, completionStart), o.Duration-completionMargin)
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
	case StageProbe, StageCanary:
		return min(max(int(float64(n)*share), minCanaryServers), n)
	case StageSpread:
		return min(max(int(float64(n)*share*coldWork), minCanaryServers), n)
	}
	return n
}

// Changes reports whether a move changes the roll-out.
func (o Order) Changes(m Move) bool {
	return m.Stage != o.Stage || m.Share != o.Share || !maps.Equal(m.RouteShares, o.RouteShares)
}

// isPaused reports whether the target gets requests of sessions only.
func (o Order) isPaused() bool {
	for _, share := range o.RouteShares {
		if share > 0 {
			return false
		}
	}
	return len(o.RouteShares) > 0
}

// isQuiet reports whether a service is quiet, given its requests in the time since the
// order. Entries report about once a second.
func isQuiet(requests uint64, elapsed, duration time.Duration) bool {
	counted := elapsed - reportInterval
	return counted >= reportInterval && highRate(requests+1, counted)*duration.Seconds() < quietRequests
}

func (o Order) isCanary() bool { return o.Stage == StageCanary || o.Stage == StageSpread }

func fractionOf(d time.Duration, fraction float64) time.Duration {
	return time.Duration(fraction * float64(d))
}
