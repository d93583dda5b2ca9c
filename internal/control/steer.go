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

// rolloutStart remembers on the steady clock when this control first saw a
// roll-out's order, so that jumps of the time of day do not hurry it. Before
// is how long it had been under way by then.
type rolloutStart struct {
	order  time.Time
	seen   time.Time
	before time.Duration
}

// steerRollouts moves roll-outs on, as evidence and time ask for. Callers hold
// n.mu.
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

// sinceOrder returns how long the roll-out has been under way. A control that
// was not there when it was ordered takes the rest from the time of day, within
// the roll-out's own time. Callers hold n.mu.
func (n *Node) sinceOrder(now time.Time, o rollout.Order) time.Duration {
	c, ok := n.rollouts[o.Service]
	if !ok || c.order != o.Ordered {
		c = rolloutStart{order: o.Ordered, seen: now, before: min(max(now.Sub(o.Ordered), 0), o.Duration)}
		n.rollouts[o.Service] = c
	}
	return c.before + now.Sub(c.seen)
}

// noteRollouts starts the clocks of roll-outs as soon as this control sees
// them, whether it leads or not. Callers hold n.mu.
func (n *Node) noteRollouts(now time.Time) {
	for _, o := range n.state.Documents().Rollouts {
		if !o.IsFinal() {
			n.sinceOrder(now, o)
		}
	}
}

// tallies returns all that entries counted. Callers hold n.mu.
func (n *Node) tallies() []rollout.Tally {
	var all []rollout.Tally
	for _, r := range n.fleet.reports {
		all = append(all, r.said.Tallies...)
	}
	return all
}

func (n *Node) moveRollout(ctx context.Context, o rollout.Order, move rollout.Move) {
	data, err := json.Marshal(move)
	if err != nil {
		level.Error(n.cfg.Logger).Log("msg", "Roll-out cannot move.", "service", o.Service, "err", err)
		return
	}
	revision := o.Revision
	c := change.Change{
		ID: ulid.Make().String(), Kind: change.MoveRollout, Name: o.Service, Expect: &revision, Document: data, Actor: "system",
	}.WithAt(n.cfg.Clock.Now())
	if _, err := n.Propose(ctx, state.Command{Change: &c}); err != nil {
		level.Warn(n.cfg.Logger).Log("msg", "Roll-out did not move.", "service", o.Service, "err", err)
	}
}
