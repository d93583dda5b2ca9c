// Package limit decides which requests run now, which wait and which are
// refused early.
package limit

import "time"

// The verdicts on a request that arrives.
const (
	Run Verdict = iota
	Wait
	Refuse
)

type (
	// Verdict says what happens to a request that arrives.
	Verdict int

	// Ticket stands for one request in a queue. A higher Priority goes first
	// within a workspace; Weight is the workspace's share against others. Cost
	// is the expected work in any unit; zero stands for 1.
	Ticket struct {
		ID        uint64
		Workspace string
		Weight    int
		Priority  int
		Cost      float64
		Deadline  time.Time
	}

	// Decision is the verdict and, for Refuse, when to come back.
	Decision struct {
		Verdict    Verdict
		RetryAfter time.Duration
	}

	// Queue decides about tickets. It is pure: the time is passed in, and the
	// tickets to start or to refuse are returned. Implementations need not be
	// safe for concurrent use.
	Queue interface {
		// Offer decides on a new ticket.
		Offer(now time.Time, t Ticket) Decision
		// Finish ends a running ticket and returns those to start now.
		Finish(now time.Time, id uint64) []uint64
		// Leave takes a waiting ticket out, when its caller has gone.
		Leave(now time.Time, id uint64)
		// Expire takes out the waiting tickets that can no longer be served
		// and returns them, to be refused at once.
		Expire(now time.Time) []uint64
	}
)
