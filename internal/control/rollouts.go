package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-kit/log/level"
	"github.com/oklog/ulid/v2"

	"rosereach/core/change"
	"rosereach/core/rollout"
	"rosereach/core/state"
)

// rolloutClock measures a roll-out's progress on the monotonic clock, so that
// jumps of the wall clock don't accelerate it.
type rolloutClock struct {
	// orderedAt is the wall-clock time of the order, which identifies it.
	orderedAt time.Time

	// firstSeen is when this control first saw the order.
	firstSeen time.Time

	// elapsedBefore is how long the roll-out had been in progress by then.
	elapsedBefore time.Duration

	// monitor accumulates the attempts since the order.
	monitor *rollout.Monitor
}

// advanceRollouts moves each roll-out to its next stage when the elapsed time and
// the entries' tallies call for it. Callers hold n.mu.
func (n *Node) advanceRollouts(ctx context.Context, now time.Time) {
	for service, o := range n.state.Documents().Rollouts {
		if o.IsFinal() {
			delete(n.rolloutClocks, service)
			continue
		}
		elapsed := n.rolloutElapsed(now, o)
		monitor := n.observeRollout(now, o)
		budget, isMeasured := n.cfg.Exposure, n.hasFeature(change.MeasuredRollouts)
		if !isMeasured {
			budget.Slack = 0
		}
		move := o.Next(elapsed, monitor, budget)
		if !isMeasured {
			move.Share, move.RouteShares = 0, nil // controls of older builds refuse them
		}
		if !o.Changes(move) {
			continue
		}
		e := monitor.Compare(o.Target, elapsed)
		n.cfg.Logger.Log("msg", "Roll-out moves.", "service", service, "target", o.Target, "from", o.Stage, "to", move.Stage, "reason", move.Reason,
			"elapsed", elapsed, "share", move.Share, "requests", e.Requests, "failures", e.Failures, "others", e.Others, "other_failures", e.OtherFailures,
			"log_likelihood", e.LogLikelihood, "healthy", e.Healthy, "slow", e.Slow, "other_slow", e.OtherSlow, "timed", e.Timed, "time_gap", e.TimeGap, "paced", e.Paced, "pace_gap", e.PaceGap)
		go n.commitRolloutMove(ctx, o, move)
	}
}

// rolloutElapsed returns how long a roll-out has been in progress. Callers hold n.mu.
func (n *Node) rolloutElapsed(now time.Time, o rollout.Order) time.Duration {
	start, ok := n.rolloutClocks[o.Service]
	if !ok || start.orderedAt != o.Ordered {
		start = rolloutClock{orderedAt: o.Ordered, firstSeen: now, elapsedBefore: o.ElapsedWhenSeen(now), monitor: &rollout.Monitor{}}
		n.rolloutClocks[o.Service] = start
	}
	return start.elapsedBefore + now.Sub(start.firstSeen)
}

// startRolloutClocks starts the clock of each new roll-out, also while this control
// doesn't lead. Callers hold n.mu.
func (n *Node) startRolloutClocks(now time.Time) {
	for _, o := range n.state.Documents().Rollouts {
		if !o.IsFinal() {
			n.rolloutElapsed(now, o)
		}
	}
}

// observeRollout adds the entries' reports, and the servers once all are known, to the
// monitor of a roll-out whose clock runs. Callers hold n.mu.
func (n *Node) observeRollout(now time.Time, o rollout.Order) *rollout.Monitor {
	monitor := n.rolloutClocks[o.Service].monitor
	reports := make([]rollout.Report, 0, len(n.fleet.reports))
	for _, r := range n.fleet.reports {
		reports = append(reports, rollout.Report{Entry: r.latest.Entry, Incarnation: r.latest.Incarnation, Tallies: r.latest.Tallies})
	}
	monitor.Observe(o, reports)
	if n.fleet.isCurrent && now.Sub(n.fleet.since) >= sharesAfter {
		var releases []string
		for _, r := range n.fleet.roster.Serving(o.Service) {
			releases = append(releases, r.Server.Release)
		}
		monitor.ObserveServers(o, releases)
	}
	return monitor
}

// commitRolloutMove commits a roll-out's move to another stage. The move fails if the
// roll-out changed meanwhile.
func (n *Node) commitRolloutMove(ctx context.Context, o rollout.Order, move rollout.Move) {
	data, err := json.Marshal(move)
	if err != nil {
		level.Error(n.cfg.Logger).Log("msg", "Roll-out move can't be encoded.", "service", o.Service, "err", err)
		return
	}
	revision := o.Revision
	c := change.Change{
		ID: ulid.Make().String(), Kind: change.MoveRollout, Name: o.Service, ExpectedRevision: &revision, Document: data, Actor: "system",
	}.WithTime(n.cfg.Clock.Now())
	if _, err := n.Propose(ctx, state.Command{Change: &c}); err != nil {
		level.Warn(n.cfg.Logger).Log("msg", "Roll-out move failed.", "service", o.Service, "err", err)
	}
}
