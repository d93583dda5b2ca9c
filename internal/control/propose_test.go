package control

import (
	"testing"
	"time"

	"rosereach/core/replica"
	"rosereach/core/state"
)

// Entries of a new leader that replace a batch of this control's must not block its loop.
func TestReplacedBatchDoesNotBlock(t *testing.T) {
	n := &Node{pending: make(map[uint64]pendingCommand)}
	p := &proposal{results: make([]state.Result, 3), remaining: 3, done: make(chan error, 1)}
	for i := range 3 {
		n.pending[uint64(i+1)] = pendingCommand{proposal: p, position: i, term: 1}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 3 {
			n.completeCommand(replica.Entry{Index: uint64(i + 1), Term: 2}, state.Result{})
		}
	}()
	<-p.done // Propose receives once
	select {
	case <-done:
	case <-time.After(2 * time.Second):
		t.Fatal("the loop is blocked")
	}
}
