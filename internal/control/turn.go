package control

import (
	"context"

	"github.com/go-kit/log/level"

	"rosereach/core/quarantine"
	"rosereach/io/member"
)

// grantTurn decides whether a suspected request may run. The leader decides for all entries,
// so that one of them runs at a time; a follower asks it.
func (n *Node) grantTurn(ctx context.Context, r member.TurnRequest) (member.TurnReply, error) {
	if !n.IsLeader() {
		var reply member.TurnReply
		return reply, n.callLeader(ctx, member.KindTurn, r, &reply)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	t := r.Trial
	return member.TurnReply{Permission: n.fleet.parts.Ask(n.cfg.Clock.Now(), t.Service, t.Digest, t.ID)}, nil
}

// endTurn ends a turn and shares its outcome with the other controls.
func (n *Node) endTurn(ctx context.Context, r member.TurnEnd) error {
	if !n.IsLeader() {
		return n.callLeader(ctx, member.KindTurnEnd, r, nil)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now, t := n.cfg.Clock.Now(), r.Trial
	n.fleet.parts.EndTurn(t.Service, t.Digest, t.ID)
	if !r.HasOutcome {
		return nil
	}
	report := quarantine.Report{Sender: n.cfg.ID, Trials: []quarantine.Trial{t}}
	if n.fleet.parts.Add(now, report) {
		level.Info(n.cfg.Logger).Log("msg", "Suspected request was tried.", "digest", t.Digest, "service", t.Service, "srv", t.Server, "ended", t.Ended)
		n.shareEvidence(now, report)
	}
	return nil
}
