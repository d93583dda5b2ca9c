package model

import (
	"time"

	"rosereach/core/limit"
)

// admit submits the call to the entry's queue. A refused caller retries after
// the given delay, up to CallerRetries times.
func (f *Fleet) admit(c *Call) {
	c.submissions++
	if c.entry.queue == nil {
		f.send(c)
		return
	}
	now := f.Clock.Now()
	d := c.entry.queue.Submit(now, limit.Ticket{
		ID: c.ID, Workspace: c.Workspace, Weight: c.Weight, Priority: c.Priority, Deadline: c.Deadline, Cost: f.estimateCost(c),
	})
	switch d.Verdict {
	case limit.Run:
		f.send(c)
	case limit.Wait:
		c.entry.queued[c.ID] = c
		f.expireAtDeadline(c)
	case limit.Refuse:
		f.refuse(c, d.RetryAfter, true)
	}
	f.expire(c.entry)
}

// currentEnginePriority returns the call's priority at the engine: workspaces below
// their fair share have precedence, and among their requests the urgent ones.
func (c *Call) currentEnginePriority(now time.Time) int {
	rank := c.Priority
	if q, ok := c.entry.queue.(*limit.FairQueue); ok && q.IsBelowShare(now, c.Workspace) {
		rank += 2
	}
	return rank
}

// estimateCost estimates the cost of a call in prompt tokens from what an entry knows:
// the length of the prompt and the mean length of the answers of its class.
func (f *Fleet) estimateCost(c *Call) float64 {
	const promptTokensPerOutput = 10
	return float64(promptTokens(c.Prompt) + c.Class.OutputTokens*promptTokensPerOutput)
}

func (f *Fleet) expireAtDeadline(c *Call) {
	if c.Deadline.IsZero() {
		return
	}
	f.Clock.After(c.Deadline.Sub(f.Clock.Now())+time.Millisecond, func() { f.expire(c.entry) })
}

func (f *Fleet) expire(e *entry) {
	for _, id := range e.queue.Expire(f.Clock.Now()) {
		if c, ok := e.queued[id]; ok {
			delete(e.queued, id)
			f.refuse(c, time.Second, false)
		}
	}
}

func (f *Fleet) refuse(c *Call, retryAfter time.Duration, onArrival bool) {
	if f.include(c) {
		f.Stats.recordRefusal(c, f.Clock.Now(), onArrival)
	}
	if c.submissions > f.cfg.CallerRetries {
		return
	}
	jitter := time.Duration(f.random.Int64N(int64(retryAfter)/2 + 1))
	f.Clock.After(retryAfter+jitter, func() {
		f.lastID++
		repeated := &Call{
			Arrival: c.Arrival, ID: f.lastID, Priority: c.Priority, ArrivedAt: f.Clock.Now(), submissions: c.submissions, entry: c.entry,
		}
		repeated.Deadline = repeated.ArrivedAt.Add(f.cfg.Deadline)
		f.admit(repeated)
	})
}

// release releases the slot of a call and sends the queued calls that can now run.
func (f *Fleet) release(c *Call) {
	if c.entry.queue == nil {
		return
	}
	for _, id := range c.entry.queue.Finish(f.Clock.Now(), c.ID) {
		if next, ok := c.entry.queued[id]; ok {
			delete(c.entry.queued, id)
			f.send(next)
		}
	}
}

// adaptSlots adjusts the entry's concurrency limit to the queueing delay at the
// engines, estimated from their load reports.
func (f *Fleet) adaptSlots(e *entry) {
	q, ok := e.queue.(*limit.FairQueue)
	if !ok {
		return
	}
	var queued, running int
	for _, l := range e.load {
		queued += l.Queued
		running += l.Running
	}
	delay := q.MeanServiceTime() * time.Duration(queued) / time.Duration(max(running, 1))
	e.slotLimit.Observe(f.Clock.Now(), delay, q.MeanServiceTime(), q.Running())
	q.SetSlots(e.slotLimit.Limit())
}

// SetFailing sets whether all engines refuse every request.
func (f *Fleet) SetFailing(failing bool) { f.failing = failing }

// attemptFailed handles an attempt that an engine refused. It retries while attempts and
// retry budget remain, and otherwise refuses the call.
func (f *Fleet) attemptFailed(c *Call) {
	c.entry.tracker.End(f.Clock.Now(), f.servers[c.engine].ID)
	if c.attempts < maxAttempts && (c.entry.retryBudget == nil || c.entry.retryBudget.TrySpend()) {
		f.send(c)
		return
	}
	f.release(c)
	f.refuse(c, time.Second, false)
}
