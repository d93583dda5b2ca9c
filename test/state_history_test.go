package test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"rosereach/core/change"
	"rosereach/io/operator"
)

const (
	historyOperators = 8
	historyChanges   = 20
)

// revisionModel is the sequential model of one document: a change is accepted only
// if it expects the current revision, and a conflict returns the current one.
var revisionModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(current, input, output any) (bool, any) {
		revision, expect, a := current.(uint64), input.(uint64), output.(operator.Answer)
		switch a.Status {
		case change.Accepted:
			return expect == revision && a.Revision > revision, a.Revision
		case change.Conflict:
			return expect != revision && a.Revision == revision, revision
		}
		return false, revision
	},
}

// The history of concurrent operators is linearizable although one leader is
// partitioned silently and returns, and the next one is killed. Each change is sent
// again under its id until it is answered.
func TestHistoryOfChanges(t *testing.T) {
	g := startGroup(t, 3, 0)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	var (
		mu      sync.Mutex
		history []porcupine.Operation
		all     sync.WaitGroup
		began   = time.Now()
	)
	for who := range historyOperators {
		all.Go(func() {
			var seen uint64
			for i := range historyChanges {
				c := templateChange(fmt.Sprintf("history-%d-%d", who, i), "t", fmt.Sprint(who, i), &seen)
				expect, call := seen, time.Since(began)
				a, ok := g.submit(ctx, c, false, who%3, (who+1)%3, (who+2)%3)
				if !ok {
					t.Errorf("change %s was never answered", c.ID)
					return
				}
				mu.Lock()
				history = append(history, porcupine.Operation{
					ClientId: who, Input: expect, Output: a, Call: int64(call), Return: int64(time.Since(began)),
				})
				mu.Unlock()
				seen = a.Revision
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	time.Sleep(50 * time.Millisecond)
	first := g.leaderOf(0)
	g.setPartition(first, true)
	waitFor(t, "another leader", func() bool { now := g.leaderOf((first + 1) % 3); return now >= 0 && now != first })
	g.setPartition(first, false)
	second := g.awaitLeader()
	g.replicas[second].kill()
	all.Wait()
	if len(history) != historyOperators*historyChanges {
		t.Fatalf("%d answers recorded", len(history))
	}
	if !porcupine.CheckOperations(revisionModel, history) {
		t.Errorf("the history is not linearizable: %+v", history)
	}
}
