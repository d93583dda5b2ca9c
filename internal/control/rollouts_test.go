package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"rosereach/core/backend"
	"rosereach/core/change"
	"rosereach/core/rollout"
)

// A service whose servers all run the target of a roll-out had no servers until the canary,
// and few until the target took all.
func TestRolloutToTheRunningReleaseLeavesTheServersInUse(t *testing.T) {
	const length = 10 * time.Minute
	g := startFiveControls(t)
	g.putPlan("c0", 1)
	for i := range 2 {
		a := backend.Announcement{ID: fmt.Sprint("s", i), Incarnation: 1, Sequence: 1, Service: "s", Address: fmt.Sprintf("10.0.0.%d:1", i), Capacity: 1, State: backend.Serving, Release: "v1"}
		for _, n := range g.nodes {
			n.Announce(a)
		}
	}
	waitFor(t, "the acknowledgement", func() bool {
		r, err := g.nodes["c1"].StartRollout(context.Background(), rollout.Order{Service: "s", Target: "v1", Duration: length}, "test", "test")
		return err == nil && r.Status == change.Accepted
	})
	g.waitForLeader("all requests at the target", func(l *Node) bool {
		o, ok := l.Catalog().Rollout("s")
		return ok && o.TargetShare(0) == 1
	})
}
