package entry

import (
	"context"
	"testing"
	"time"

	"github.com/juju/clock"
	"github.com/juju/errors"

	"rosereach/core/limit"
	"rosereach/core/request"
)

// A waiting request that is evicted in favor of a workspace below its share is
// refused immediately, with outcome not_run and a Retry-After time, and not at its
// deadline.
func TestEvictedIsRefusedAtOnce(t *testing.T) {
	a := newAdmission(limit.NewFairQueue(limit.FairQueueConfig{Slots: 1, QueueLimit: 1}))
	ticket := func(workspace string) limit.Ticket {
		return limit.Ticket{Workspace: workspace, Weight: 1, Deadline: time.Now().Add(time.Hour)}
	}
	leave, err := a.enter(t.Context(), clock.WallClock, ticket("flood"))
	if err != nil {
		t.Fatal(err)
	}
	flooded := make(chan error, 1)
	go func() {
		_, err := a.enter(t.Context(), clock.WallClock, ticket("flood"))
		flooded <- err
	}()
	for a.waitingCount() == 0 {
		time.Sleep(time.Millisecond)
	}
	small := make(chan error, 1)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		_, err := a.enter(ctx, clock.WallClock, ticket("small"))
		small <- err
	}()
	var refusal *request.Refusal
	if err := <-flooded; !errors.As(err, &refusal) || refusal.Outcome != request.NotRun || refusal.RetryAfter <= 0 {
		t.Errorf("evicted with %v", err)
	}
	leave()
	if err := <-small; err != nil {
		t.Errorf("the small workspace's request: %v", err)
	}
}
