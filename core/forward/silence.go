package forward

import "time"

// deadAfter is the silence after which a server that gives no sign of life counts as
// dead although no other can take the request. Sound servers pause for a second or so.
const deadAfter = 2500 * time.Millisecond

// The decisions about an attempt whose server sends nothing.
const (
	// KeepWaiting leaves the attempt as it is.
	KeepWaiting SilenceDecision = "waits"
	// Replace ends the attempt in favor of its successor.
	Replace SilenceDecision = "is_replaced"
	// Abandon ends the request, whose caller may try elsewhere.
	Abandon SilenceDecision = "is_abandoned"
)

type (
	// Silence is what an entry knows about an attempt whose server sends nothing.
	//
	// It answers servers that pause for a second or so while retries are scarce: a
	// paused server looks like a crashed one, and all entries see it at the same time.
	// A pause costs the caller a second. An attempt that is ended for it without a
	// successor costs the answer, which can't be refused once it has begun.
	Silence struct {
		// Duration is the time since the server last sent data.
		Duration time.Duration
		// Begun is set when part of the answer was forwarded.
		Begun bool
		// Hard is set when the hard timeout has passed.
		Hard bool
		// SignOfLife is set when the server sent data on another connection, and Holds
		// when it says that it still has the request.
		SignOfLife bool
		Holds      bool
		// Runs is set when an engine reports that it runs the request.
		Runs bool
		// Stopping is set while the entry stops, which cuts what has begun and goes on, once the
		// server has begun to answer: one that has not may have the request in its queue.
		Stopping bool
	}

	// SilenceDecision is what becomes of a silent attempt.
	SilenceDecision string
)

// IsSuspect reports whether the attempt should be replaced, if another server can take
// the request. What a server sends to others, or has in its queue, does not tell that it still
// has a begun answer: it only keeps the wait going, for which a stop has no time.
func (s Silence) IsSuspect() bool {
	return s.Hard || !s.SignOfLife || !s.Holds || s.Begun && s.Stopping && !s.Runs
}

// MayReturn reports whether the same server may get the request again: it is alive and
// has lost the request.
func (s Silence) MayReturn() bool { return s.SignOfLife && !s.Holds && !s.Hard }

// Decide decides about the attempt. Successor is the expected time to the first byte at
// a server to which a connection is open, 0 when there is none, and left the time until
// the deadline. TakeRetry takes a retry from the budget; it is called last, so that no
// retry is lost on an attempt that goes on.
func (s Silence) Decide(successor, left time.Duration, takeRetry func() bool) SilenceDecision {
	switch {
	case successor > 0 && successor <= left && takeRetry():
		return Replace
	case !s.Begun && (!s.SignOfLife || !s.Holds) && s.Duration >= deadAfter:
		return Abandon
	}
	return KeepWaiting
}
