package entry

import (
	"context"
	"sync"
	"time"

	"github.com/juju/clock"

	"rosereach/core/limit"
	"rosereach/core/request"
)

// admission lets callers wait for the verdict of a queue.
type admission struct {
	mu      sync.Mutex
	queue   limit.Queue
	last    uint64
	waiting map[uint64]chan bool
}

func newAdmission(q limit.Queue) *admission {
	return &admission{queue: q, waiting: make(map[uint64]chan bool)}
}

// enter waits until the ticket may run and returns the function that ends it.
// The error is a refusal that is not_run.
func (a *admission) enter(ctx context.Context, c clock.Clock, t limit.Ticket) (func(), error) {
	id, decision, start := a.offer(c.Now(), t)
	switch decision.Verdict {
	case limit.Refuse:
		refusal := request.NewNotRun(request.CodeOverloaded, "too many requests are running and waiting")
		return nil, refusal.WithRetryAfter(decision.RetryAfter)
	case limit.Run:
		return func() { a.finish(c.Now(), id) }, nil
	}
	select {
	case <-start:
		return func() { a.finish(c.Now(), id) }, nil
	case <-ctx.Done():
		a.leave(c.Now(), id, start)
		return nil, request.NewNotRun(request.CodeDeadline, "the deadline passed, or the caller left, while the request waited").
			WithRetryAfter(time.Second)
	}
}

func (a *admission) offer(now time.Time, t limit.Ticket) (uint64, limit.Decision, chan bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.last++
	t.ID = a.last
	decision := a.queue.Offer(now, t)
	start := make(chan bool, 1)
	if decision.Verdict == limit.Wait {
		a.waiting[t.ID] = start
	}
	return t.ID, decision, start
}

func (a *admission) finish(now time.Time, id uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, next := range a.queue.Finish(now, id) {
		if start, ok := a.waiting[next]; ok {
			delete(a.waiting, next)
			start <- true
		}
	}
}

// leave ends a ticket whose caller stopped waiting, also when it was started
// at the same moment.
func (a *admission) leave(now time.Time, id uint64, start chan bool) {
	a.mu.Lock()
	_, waits := a.waiting[id]
	if waits {
		delete(a.waiting, id)
		a.queue.Leave(now, id)
	}
	a.mu.Unlock()
	if !waits {
		<-start
		a.finish(now, id)
	}
}
