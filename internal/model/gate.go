package model

import (
	"time"

	"rosereach/core/limit"
)

// admit offers the call to the entry's queue. A refused caller comes back
// after the time that it was told, a few times.
func (f *Fleet) admit(c *Call) {
	c.tries++
	c.open = true
	if c.entry.gate == nil {
		f.send(c)
		return
	}
	now := f.Clock.Now()
	d := c.entry.gate.Offer(now, limit.Ticket{
		ID: c.ID, Workspace: c.Workspace, Weight: 1, Priority: c.Priority, Deadline: c.Deadline,
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
	c.open = false
	if f.counted(c) {
		f.Stats.refuse(c, early)
	}
	if c.tries > f.cfg.Retries {
		return
	}
	spread := time.Duration(f.random.Int64N(int64(retryAfter)/2 + 1))
	f.Clock.After(retryAfter+spread, func() {
		f.last++
		again := &Call{Arrival: c.Arrival, ID: f.last, Priority: c.Priority, At: f.Clock.Now(), tries: c.tries, entry: c.entry}
		again.Deadline = again.At.Add(f.cfg.Deadline)
		f.admit(again)
	})
}

// leave ends a running call and sends those on that may start now.
func (f *Fleet) leave(c *Call) {
	c.open = false
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
