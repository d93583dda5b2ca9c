package model

import (
	"time"

	"rosereach/core/limit"
)

// admit offers the call to the entry's queue. A refused caller comes back
// after the time that it was told, a few times.
func (f *Fleet) admit(c *Call) {
	c.tries++
	if c.entry.gate == nil {
		f.send(c)
		return
	}
	now := f.Clock.Now()
	d := c.entry.gate.Submit(now, limit.Ticket{
		ID: c.ID, Workspace: c.Workspace, Weight: c.Weight, Priority: c.Priority, Deadline: c.Deadline, Cost: f.cost(c),
	})
	switch d.Verdict {
	case limit.Run:
		f.send(c)
	case limit.Wait:
		c.entry.held[c.ID] = c
		f.expireAtDeadline(c)
	case limit.Refuse:
		f.refuse(c, d.RetryAfter, true)
	}
	f.expire(c.entry)
}

// rankNow returns the priority that the engine is told: workspaces below their
// share go first, and within them the urgent requests.
func (c *Call) rankNow(now time.Time) int {
	rank := c.Priority
	if q, ok := c.entry.gate.(*limit.FairQueue); ok && q.IsBelowShare(now, c.Workspace) {
		rank += 2
	}
	return rank
}

// cost estimates the work of a call from what an entry knows: the length of
// the prompt and the usual length of the answer, in prompt tokens.
func (f *Fleet) cost(c *Call) float64 {
	const perOutput = 10
	return float64(promptTokens(c.Prompt) + c.Class.Output*perOutput)
}

func (f *Fleet) expireAtDeadline(c *Call) {
	if c.Deadline.IsZero() {
		return
	}
	f.Clock.After(c.Deadline.Sub(f.Clock.Now())+time.Millisecond, func() { f.expire(c.entry) })
}

func (f *Fleet) expire(e *entry) {
	for _, id := range e.gate.Expire(f.Clock.Now()) {
		if c, ok := e.held[id]; ok {
			delete(e.held, id)
			f.refuse(c, time.Second, false)
		}
	}
}

func (f *Fleet) refuse(c *Call, retryAfter time.Duration, early bool) {
	if f.counted(c) {
		f.Stats.refuse(c, f.Clock.Now(), early)
	}
	if c.tries > f.cfg.Retries {
		return
	}
	spread := time.Duration(f.random.Int64N(int64(retryAfter)/2 + 1))
	f.Clock.After(retryAfter+spread, func() {
		f.last++
		again := &Call{
			Arrival: c.Arrival, ID: f.last, Priority: c.Priority, At: f.Clock.Now(), tries: c.tries, entry: c.entry,
		}
		again.Deadline = again.At.Add(f.cfg.Deadline)
		f.admit(again)
	})
}

// leave ends a running call and sends those on that may start now.
func (f *Fleet) leave(c *Call) {
	if c.entry.gate == nil {
		return
	}
	for _, id := range c.entry.gate.Finish(f.Clock.Now(), c.ID) {
		if next, ok := c.entry.held[id]; ok {
			delete(c.entry.held, id)
			f.send(next)
		}
	}
}

// adapt lets more or fewer requests run at the entry, after the delay that the
// load reports show in the engines' queues.
func (f *Fleet) adapt(e *entry) {
	q, ok := e.gate.(*limit.FairQueue)
	if !ok {
		return
	}
	var queued, running int
	for _, l := range e.load {
		queued += l.Queued
		running += l.Running
	}
	delay := q.MeanServiceTime() * time.Duration(queued) / time.Duration(max(running, 1))
	e.adapt.Observe(f.Clock.Now(), delay, q.MeanServiceTime(), q.Running())
	q.SetSlots(e.adapt.Limit())
}

// SetFailing makes all engines refuse every request, or ends that.
func (f *Fleet) SetFailing(failing bool) { f.failing = failing }

// fail ends an attempt that an engine refused. It is repeated while attempts
// and the budget last; then the caller gets its final answer.
func (f *Fleet) fail(c *Call) {
	c.entry.tracker.End(f.Clock.Now(), f.servers[c.engine].ID)
	if c.attempts < maxAttempts && (c.entry.budget == nil || c.entry.budget.TrySpend()) {
		f.send(c)
		return
	}
	f.leave(c)
	f.refuse(c, time.Second, false)
}
