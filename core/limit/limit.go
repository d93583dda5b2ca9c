// Package limit implements admission control: concurrency limits and queues that
// decide which requests run now, which wait and which are refused early.
package limit

import "time"

// The verdicts on a submitted ticket.
const (
	Run Verdict = iota
	Wait
	Refuse
)

type (
	// Verdict says what happens to a submitted ticket.
	Verdict int

	// Ticket represents one request in a queue.
	Ticket struct {
		ID        uint64
		Workspace string
		// Weight is the workspace's share relative to others; 0 stands for 1.
		Weight int
		// Priority orders the tickets of a workspace, higher ones first.
		Priority int
		// Cost is the expected work, in any unit; 0 stands for 1.
		Cost float64
		// Deadline is when the request has to be finished, zero for no deadline.
		Deadline time.Time
	}

	// Decision is the result of submitting a ticket.
	Decision struct {
		Verdict Verdict
		// RetryAfter is set for Refuse: how long to wait before a retry.
		RetryAfter time.Duration
	}

	// Queue decides which tickets run. It has no clock and no goroutines: the
	// time is passed in, and the tickets to start or to refuse are returned.
	// Implementations need not be safe for concurrent use.
	Queue interface {
		// Submit decides on a new ticket.
		Submit(now time.Time, t Ticket) Decision
		// Finish removes a running ticket and returns those to start now.
		Finish(now time.Time, id uint64) []uint64
		// Cancel removes a waiting ticket whose caller has disconnected.
		Cancel(now time.Time, id uint64)
		// Expire removes the waiting tickets that can no longer be served
		// and returns them, to be refused at once.
		Expire(now time.Time) []uint64
	}
)
