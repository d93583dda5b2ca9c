package entry

import (
	"context"
	"sync"
	"time"

	"github.com/juju/clock"

	"rosereach/core/limit"
	"rosereach/core/request"
)

// admission blocks requests until a limit.Queue starts or refuses them.
type admission struct {
	mu      sync.Mutex
	queue   limit.Queue
	lastID  uint64               // ID of the last ticket
	waiting map[uint64]chan bool // by ticket ID; receives whether it was started
}

func newAdmission(q limit.Queue) *admission {
	return &admission{queue: q, waiting: make(map[uint64]chan bool)}
}

// enter waits until the ticket may run and returns the function that frees its
// slot. The error is a *request.Refusal with outcome not_run.
func (a *admission) enter(ctx context.Context, c clock.Clock, t limit.Ticket) (func(), error) {
	id, decision, start := a.submit(c.Now(), t)
	switch decision.Verdict {
	case limit.Refuse:
		refusal := request.NewNotRun(request.CodeOverloaded, "too many requests are running and waiting")
		return nil, refusal.WithRetryAfter(decision.RetryAfter)
	case limit.Run:
		return func() { a.finish(c.Now(), id) }, nil
	}
	select {
	case started := <-start:
		if !started {
			return nil, request.NewNotRun(request.CodeOverloaded, "too many requests are waiting").WithRetryAfter(time.Second)
		}
		return func() { a.finish(c.Now(), id) }, nil
	case <-ctx.Done():
		a.leave(c.Now(), id, start)
		return nil, request.NewNotRun(request.CodeDeadlinePassed, "the deadline passed, or the caller left, while the request waited").
			WithRetryAfter(time.Second)
	}
}

func (a *admission) submit(now time.Time, t limit.Ticket) (uint64, limit.Decision, chan bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastID++
	t.ID = a.lastID
	decision := a.queue.Submit(now, t)
	start := make(chan bool, 1)
	if decision.Verdict == limit.Wait {
		a.waiting[t.ID] = start
	}
	a.notify(a.queue.Expire(now), false)
	return t.ID, decision, start
}

// notify ends the wait of the tickets, which were either started or refused.
// Callers hold a.mu.
func (a *admission) notify(ids []uint64, started bool) {
	for _, id := range ids {
		if start, ok := a.waiting[id]; ok {
			delete(a.waiting, id)
			start <- started
		}
	}
}

// adaptSlots sets the slots of a fair-share queue from the load of the engines.
// Other queues are left alone.
func (a *admission) adaptSlots(now time.Time, adaptive *limit.Adaptive, queued, running int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	q, ok := a.queue.(*limit.FairQueue)
	if !ok {
		return
	}
	service := q.MeanServiceTime()
	delay := service * time.Duration(queued) / time.Duration(max(running, 1))
	adaptive.Observe(now, delay, service, q.Running())
	q.SetSlots(adaptive.Limit())
}

func (a *admission) finish(now time.Time, id uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.notify(a.queue.Finish(now, id), true)
}

// leave removes a ticket whose caller stopped waiting. If the ticket was started
// at the same moment, leave frees its slot.
func (a *admission) leave(now time.Time, id uint64, start chan bool) {
	a.mu.Lock()
	_, waits := a.waiting[id]
	if waits {
		delete(a.waiting, id)
		a.queue.Cancel(now, id)
	}
	a.mu.Unlock()
	if !waits && <-start {
		a.finish(now, id)
	}
}

// fairShare returns an admission queue with the configured limits.
func (c Config) fairShare() *limit.FairQueue {
	return limit.NewFairQueue(limit.FairQueueConfig{
		Slots: c.MaxRunning, QueueLimit: c.MaxWaiting, MaxWait: limit.DefaultMaxWait, Reserve: limit.DefaultReserve,
	})
}

// admissionForKind returns the admission queue for the kind of request. Calls to
// plain services do not wait for engines.
func (e *Entry) admissionForKind(kind request.Kind) *admission {
	if kind == request.Plain {
		return e.plainAdmission
	}
	return e.engineAdmission
}

// estimatedCost estimates the cost of a request in prompt tokens. A token of
// the answer costs as much as several of the prompt.
func estimatedCost(req request.Request) float64 {
	const perOutput = 10
	return float64(max(int64(len(req.Body)/bytesPerToken)+req.MaxTokens*perOutput, 1))
}
