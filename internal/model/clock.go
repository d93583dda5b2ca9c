// Package model is a measuring stand-in of engines, workloads and ratings on a
// virtual clock. Policies of core are driven by it, so that a long run of
// traffic takes less than a second and gives the same figures for a seed.
package model

import (
	"container/heap"
	"time"
)

type (
	// Clock is a virtual clock with the events that are due on it. It is not
	// safe for concurrent use.
	Clock struct {
		since  time.Duration
		last   uint64
		events eventHeap
	}

	// event is due at a time since Epoch.
	event struct {
		at    time.Duration
		order uint64
		do    func()
	}

	eventHeap []*event
)

// Epoch is when every run of the model begins.
var Epoch = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// NewClock returns a clock that stands at Epoch.
func NewClock() *Clock { return &Clock{} }

// Now returns the clock's time.
func (c *Clock) Now() time.Time { return Epoch.Add(c.since) }

// Since returns the time that passed since Epoch.
func (c *Clock) Since() time.Duration { return c.since }

// After calls do once the duration has passed. Events due at the same time run
// in the order in which they were added.
func (c *Clock) After(d time.Duration, do func()) {
	c.last++
	heap.Push(&c.events, &event{at: c.since + max(d, 0), order: c.last, do: do})
}

// Run moves the clock on by the duration and runs the events that fall due.
func (c *Clock) Run(d time.Duration) {
	end := c.since + d
	for len(c.events) > 0 && c.events[0].at <= end {
		next, ok := heap.Pop(&c.events).(*event)
		if !ok {
			return
		}
		c.since = next.at
		next.do()
	}
	c.since = end
}

// Len returns the number of events.
func (h eventHeap) Len() int { return len(h) }

// Less orders events by time, and by their addition within one time.
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}

// Swap exchanges two events.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds an event at the end.
func (h *eventHeap) Push(x any) {
	if e, ok := x.(*event); ok {
		*h = append(*h, e)
	}
}

// Pop takes the last event off.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}
