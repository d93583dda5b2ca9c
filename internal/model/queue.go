package model

import (
	"time"

	"rosereach/core/limit"
)

// admit submits the call to the entry's queue. A refused caller retries after
// the given delay, up to CallerRetries times.
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

// rankNow returns the call's priority at the engine: workspaces below their fair
// share have precedence, and among their requests the urgent ones.
func (c *Call) rankNow(now time.Time) int {
	rank := c.Priority
	if q, ok := c.entry.gate.(*limit.FairQueue); ok && q.IsBelowShare(now, c.Workspace) {
		rank += 2
	}
	return rank
}

// cost estimates the cost of a call in prompt tokens from what an entry knows:
// the length of the prompt and the mean length of the answers of its class.
func (f *Fleet) cost(c *Call) float64 {
	const promptTokensPerOutput = 10
	return float64(promptTokens(c.Prompt) + c.Class.Output*promptTokensPerOutput)
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

func (f *Fleet) refuse(c *Call, retryAfter time.Duration, onArrival bool) {
	if f.counted(c) {
		f.Stats.refuse(c, f.Clock.Now(), onArrival)
	}
	if c.tries > f.cfg.Retries {
		return
	}
	jitter := time.Duration(f.random.Int64N(int64(retryAfter)/2 + 1))
	f.Clock.After(retryAfter+jitter, func() {
		f.last++
		repeated := &Call{
			Arrival: c.Arrival, ID: f.last, Priority: c.Priority, At: f.Clock.Now(), tries: c.tries, entry: c.entry,
		}
		repeated.Deadline = repeated.At.Add(f.cfg.Deadline)
		f.admit(repeated)
	})
}

// leave releases the slot of a call and sends the queued calls that can now run.
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

// adapt adjusts the entry's concurrency limit to the queueing delay at the
// engines, estimated from their load reports.
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

// SetFailing sets whether all engines refuse every request.
func (f *Fleet) SetFailing(failing bool) { f.failing = failing }

// fail handles an attempt that an engine refused. It retries while attempts and
// retry budget remain, and otherwise refuses the call.
func (f *Fleet) fail(c *Call) {
	c.entry.tracker.End(f.Clock.Now(), f.servers[c.engine].ID)
	if c.attempts < maxAttempts && (c.entry.budget == nil || c.entry.budget.TrySpend()) {
		f.send(c)
		return
	}
	f.leave(c)
	f.refuse(c, time.Second, false)
}
