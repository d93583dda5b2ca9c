// Package model is a discrete-event simulation of engines, workloads and
// ratings on a virtual clock. It drives the policies of core, so that a long
// run of traffic takes less than a second and gives the same results for the
// same seed.
package model

import (
	"container/heap"
	"time"
)

type (
	// Clock is a virtual clock with a queue of scheduled events. It is not safe
	// for concurrent use.
	Clock struct {
		elapsed      time.Duration
		lastSequence uint64
		events       eventHeap
	}

	// event is a function that is due at a time since Epoch. Events with the
	// same time run in ascending sequence.
	event struct {
		at       time.Duration
		sequence uint64
		fn       func()
	}

	eventHeap []*event
)

// Epoch is the start time of every simulation.
var Epoch = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// NewClock returns a clock set to Epoch.
func NewClock() *Clock { return &Clock{} }

// Now returns the current virtual time.
func (c *Clock) Now() time.Time { return Epoch.Add(c.elapsed) }

// Elapsed returns the virtual time since Epoch.
func (c *Clock) Elapsed() time.Duration { return c.elapsed }

// After schedules fn to run once the duration has passed. Events due at the same
// time run in the order in which they were scheduled.
func (c *Clock) After(d time.Duration, fn func()) {
	c.lastSequence++
	heap.Push(&c.events, &event{at: c.elapsed + max(d, 0), sequence: c.lastSequence, fn: fn})
}

// Advance advances the clock by the duration and runs the events that become due.
func (c *Clock) Advance(d time.Duration) {
	end := c.elapsed + d
	for len(c.events) > 0 && c.events[0].at <= end {
		next, ok := heap.Pop(&c.events).(*event)
		if !ok {
			return
		}
		c.elapsed = next.at
		next.fn()
	}
	c.elapsed = end
}

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less orders events by time and then by sequence.
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) {
	if e, ok := x.(*event); ok {
		*h = append(*h, e)
	}
}

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}
