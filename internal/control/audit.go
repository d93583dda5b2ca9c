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

// reportMembers writes into the audit trail which controls hold the state, at
// the start of a leadership and after each change. Callers hold n.mu.
func (n *Node) reportMembers(ctx context.Context, now time.Time) {
	after, err := json.Marshal(n.controlsLocked().Controls)
	if err != nil || bytes.Equal(after, n.leadership.members) {
		return
	}
	e := audit.Event{
		At: now, Kind: audit.Membership, Actor: "system", From: n.cfg.ID, Subject: "controls",
		Detail: fmt.Sprintf("term %d, led by %s", n.leadership.term, n.cfg.ID), Before: n.leadership.members, After: after,
	}
	n.leadership.members = after
	go n.Propose(ctx, state.Command{Note: &e}) //nolint:errcheck // the next leader notes the members again
}
