package control

import (
	"context"

	"github.com/go-kit/log/level"

	"rosereach/core/quarantine"
	"rosereach/io/member"
)

// grantTrial decides whether a suspected request may run. The leader decides for all entries,
// so that one of them runs at a time; a follower asks it.
func (n *Node) grantTrial(ctx context.Context, r member.TrialRequest) (member.TrialReply, error) {
	if !n.IsLeader() {
		var reply member.TrialReply
		return reply, n.callLeader(ctx, member.KindTrial, r, &reply)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	t := r.Trial
	return member.TrialReply{Permission: n.fleet.parts.Acquire(n.cfg.Clock.Now(), t.Service, t.Digest, t.ID)}, nil
}

// endTrial frees the trial slot and shares its outcome with the other controls.
func (n *Node) endTrial(ctx context.Context, r member.TrialResult) error {
	if !n.IsLeader() {
		return n.callLeader(ctx, member.KindTrialResult, r, nil)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now, t := n.cfg.Clock.Now(), r.Trial
	n.fleet.parts.Release(t.Service, t.Digest, t.ID)
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
