package control

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"time"

	"rosereach/core/audit"
	"rosereach/core/state"
)

// reportMembers records the group's membership in the audit trail at the start
// of a leadership and after each change. Callers hold n.mu.
func (n *Node) reportMembers(ctx context.Context, now time.Time) {
	members, err := json.Marshal(n.controlsLocked().Controls)
	if err != nil || bytes.Equal(members, n.leadership.members) {
		return
	}
	e := audit.Event{
		At: now, Kind: audit.Membership, Actor: "system", From: n.cfg.ID, Subject: "controls",
		Detail: fmt.Sprintf("term %d, led by %s", n.leadership.term, n.cfg.ID), Before: n.leadership.members, After: members,
	}
	n.leadership.members = members
	go n.Propose(ctx, state.Command{Note: &e}) //nolint:errcheck // the next leader records the membership again
}
