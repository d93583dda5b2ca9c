package drain

import (
	"time"
)

// What a request is about to do.
const (
	// Start sends a request that has not run.
	Start Step = iota
	// Repeat sends a request again whose attempt failed and may have run.
	Repeat
	// Replace sends a request again that has an attempt or an answer at hand: a hedge or an
	// escalation.
	Replace
	// Resume lets an answer that has begun and broke off go on at another server.
	Resume
	// Rescue lets an answer that has begun, and whose server is silent, go on at another one.
	Rescue
)

// What tells when a request ends.
const (
	// Deadline: the request's own deadline or the timeout of its route.
	Deadline Basis = "deadline"
	// History: what requests of its route take.
	History Basis = "history"
	// OwnFigures: the time to its first byte and its tokens.
	OwnFigures Basis = "own_figures"
	// Unknown: nothing.
	Unknown Basis = "unknown"
)

type (
	// Step is what a request is about to do.
	Step int

	// Basis is what tells when a request ends.
	Basis string

	// Request is what is known of a request that is about to be passed on.
	Request struct {
		Step Step
		// Deadline is when the request ends in any case, zero for never.
		Deadline time.Time
		// History is how long requests of its route may well take from here on, 0 if unknown.
		History time.Duration
		// OwnFigures is how long this one may well take from here on by its own size, 0 if
		// unknown.
		OwnFigures time.Duration
		// Alone means that no other entry could take the request.
		Alone bool
	}

	// Decision is whether a request is passed on, and why.
	Decision struct {
		Allowed bool
		// Phase is that of the stop, SinceSignal the time since its signal and Left the time
		// until its exit. Without a stop both are 0.
		Phase       Phase
		SinceSignal time.Duration
		Left        time.Duration
		// Expected is how long the request is expected to take from here on, 0 if unknown.
		Expected time.Duration
		Basis    Basis
	}
)

// Decide decides whether a request is passed on at a time.
//
// It answers stops under load in which requests were passed on that could not end before the
// exit, and were cut without an answer: long streams, requests that arrived late, and ones of
// which nothing was known. What is refused here goes to another entry at once, and so does the
// rest of an answer that is cut here. Where that gains nothing, a request of which nothing is known
// is passed on, as most end in time: where there is no other entry, and after its server failed,
// as one that may have run can't be refused.
func (s Schedule) Decide(now time.Time, r Request) Decision {
	d := Decision{Phase: s.Phase(now)}
	if d.Phase == Serving {
		d.Allowed = true
		return d
	}
	d.SinceSignal, d.Left = now.Sub(s.signaled), s.exits.Sub(now)
	limit := s.ends
	if r.Step == Resume || r.Step == Rescue {
		limit = s.exits
	}
	d.Expected, d.Basis = r.expected(now, limit)
	switch {
	case r.Step == Start && d.Phase >= Closed, !now.Before(limit):
	case r.Step == Rescue:
		d.Allowed = true // without it the answer is cut for certain
	case d.Basis == Unknown:
		d.Allowed = r.Alone || r.Step == Repeat || r.Step == Resume
	default:
		d.Allowed = now.Add(d.Expected).Before(limit)
	}
	return d
}

// expected returns how long the request is expected to take, and what tells so: its deadline if
// that alone ends it before the limit, else the longer one of what is known.
func (r Request) expected(now, limit time.Time) (time.Duration, Basis) {
	left := r.Deadline.Sub(now)
	switch {
	case !r.Deadline.IsZero() && r.Deadline.Before(limit):
		return max(left, 0), Deadline
	case r.History <= 0 && r.OwnFigures <= 0:
		return 0, Unknown
	case r.History >= r.OwnFigures:
		return r.History, History
	}
	return r.OwnFigures, OwnFigures
}
