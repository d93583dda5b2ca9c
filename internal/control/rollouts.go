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

// rolloutStart measures a roll-out's progress on the monotonic clock, so that
// jumps of the wall clock don't accelerate it.
type rolloutStart struct {
	// order is the wall-clock time of the order, which identifies it.
	order time.Time

	// seen is when this control first saw the order.
	seen time.Time

	// before is how long the roll-out had been in progress by then.
	before time.Duration
}

// steerRollouts moves each roll-out to its next stage when the elapsed time and
// the entries' tallies call for it. Callers hold n.mu.
func (n *Node) steerRollouts(ctx context.Context, now time.Time) {
	for service, o := range n.state.Documents().Rollouts {
		if o.IsFinal() {
			delete(n.rollouts, service)
			continue
		}
		stage, reason := o.Next(n.sinceOrder(now, o), n.tallies())
		if stage == o.Stage {
			continue
		}
		n.cfg.Logger.Log("msg", "Roll-out moves.", "service", service, "target", o.Target, "from", o.Stage, "to", stage, "reason", reason)
		go n.moveRollout(ctx, o, rollout.Move{Stage: stage, Reason: reason})
	}
}

// sinceOrder returns how long a roll-out has been in progress. The time before
// this control first saw the order is taken from the wall clock, and capped at
// the roll-out's duration. Callers hold n.mu.
func (n *Node) sinceOrder(now time.Time, o rollout.Order) time.Duration {
	start, ok := n.rollouts[o.Service]
	if !ok || start.order != o.Ordered {
		start = rolloutStart{order: o.Ordered, seen: now, before: min(max(now.Sub(o.Ordered), 0), o.Duration)}
		n.rollouts[o.Service] = start
	}
	return start.before + now.Sub(start.seen)
}

// noteRollouts starts the clock of each new roll-out, also while this control
// doesn't lead. Callers hold n.mu.
func (n *Node) noteRollouts(now time.Time) {
	for _, o := range n.state.Documents().Rollouts {
		if !o.IsFinal() {
			n.sinceOrder(now, o)
		}
	}
}

// tallies returns the tallies of all entries' reports. Callers hold n.mu.
func (n *Node) tallies() []rollout.Tally {
	var all []rollout.Tally
	for _, r := range n.fleet.reports {
		all = append(all, r.said.Tallies...)
	}
	return all
}

// moveRollout commits a roll-out's move to another stage. The move fails if the
// roll-out changed meanwhile.
func (n *Node) moveRollout(ctx context.Context, o rollout.Order, move rollout.Move) {
	data, err := json.Marshal(move)
	if err != nil {
		level.Error(n.cfg.Logger).Log("msg", "Roll-out move can't be encoded.", "service", o.Service, "err", err)
		return
	}
	revision := o.Revision
	c := change.Change{
		ID: ulid.Make().String(), Kind: change.MoveRollout, Name: o.Service, Expect: &revision, Document: data, Actor: "system",
	}.WithAt(n.cfg.Clock.Now())
	if _, err := n.Propose(ctx, state.Command{Change: &c}); err != nil {
		level.Warn(n.cfg.Logger).Log("msg", "Roll-out move failed.", "service", o.Service, "err", err)
	}
}
