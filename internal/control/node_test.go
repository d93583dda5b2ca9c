package control

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/juju/clock"
	"github.com/juju/errors"

	"rosereach/core/audit"
	"rosereach/core/lease"
	"rosereach/core/replica"
	"rosereach/core/state"
	"rosereach/io/disk"
	"rosereach/io/member"
)

// waitTimeout bounds the wait for a condition.
const waitTimeout = 30 * time.Second

func noteCommand(subject string) state.Command {
	return state.Command{AuditEvent: &audit.Event{Kind: audit.Ordered, Subject: subject}}
}

func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// While its disk is full, a control refuses changes but keeps granting leases.
// Once there is space it completes the pending write and accepts changes again.
func TestFullDisk(t *testing.T) {
	n, err := Open(Config{
		ID: "control-1", Folder: t.TempDir(), MemberKey: "key", Terms: lease.DefaultConfig(),
		Clock: clock.WallClock, Logger: log.NewNopLogger(),
	})
	if err != nil {
		t.Fatal(err)
	}
	var full, tried atomic.Bool
	n.save = func(w replica.Write) error {
		if full.Load() {
			tried.Store(true)
			return errors.Annotate(disk.ErrFull, "test")
		}
		return n.store.Save(w)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx) }()
	waitFor(t, "the leader", n.IsLeader)
	if _, err := n.Propose(ctx, noteCommand("before")); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the system's own events", func() bool {
		kinds := make(map[audit.Kind]bool)
		for _, e := range n.Trail(0, 100).Events {
			kinds[e.Kind] = true
		}
		return kinds[audit.Membership] && kinds[audit.InForce]
	})
	full.Store(true)
	waiting := make(chan error, 1)
	go func() {
		_, err := n.Propose(ctx, noteCommand("waits"))
		waiting <- err
	}()
	waitFor(t, "a change in the log that waits for the disk", func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return len(n.pending) > 0
	})
	waitFor(t, "a write that waits for space", tried.Load)
	waitFor(t, "a refused change", func() bool {
		call, done := context.WithTimeout(ctx, time.Second)
		defer done()
		_, err := n.Propose(call, noteCommand("refused"))
		var problem *member.Problem
		return errors.As(err, &problem) && problem.Code == member.CodeRefused && strings.Contains(problem.Detail, "full")
	})
	if g, err := n.grant(lease.Request{Entry: "entry-1", Sequence: 1, Applied: 1 << 40}); err != nil || !g.Granted {
		t.Errorf("lease on a full disk: %+v, %v", g, err)
	}
	full.Store(false)
	if err := <-waiting; err != nil {
		t.Errorf("what waited for space: %v", err)
	}
	waitFor(t, "changes again", func() bool {
		_, err := n.Propose(ctx, noteCommand("after"))
		return err == nil
	})
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
