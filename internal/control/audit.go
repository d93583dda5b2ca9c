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

// recordMembership records the group's membership in the audit trail at the start
// of a leadership and after each change. Callers hold n.mu.
func (n *Node) recordMembership(ctx context.Context, now time.Time) {
	members, err := json.Marshal(n.controlsLocked().Controls)
	if err != nil || bytes.Equal(members, n.leadership.recordedMembers) {
		return
	}
	e := audit.Event{
		At: now, Kind: audit.Membership, Actor: "system", From: n.cfg.ID, Subject: "controls",
		Detail: fmt.Sprintf("term %d, led by %s", n.leadership.term, n.cfg.ID), Before: n.leadership.recordedMembers, After: members,
	}
	n.leadership.recordedMembers = members
	go n.Propose(ctx, state.Command{AuditEvent: &e}) //nolint:errcheck // the next leader records the membership again
}
