// Package drain holds the rules for the planned stop of a process that forwards requests: how
// far the stop has come at a time, and whether a request may still be passed on.
//
// Whoever stops a process takes it for a promise: what the process passes on ends before it
// exits. Every rule compares times with a schedule that is fixed at the signal, so that a timer
// that fires late changes nothing.
package drain

import "time"

// The phases of a planned stop, in order.
const (
	// Serving: there is no stop.
	Serving Phase = iota
	// Delisted: the process has left the list of addresses, and callers still use old lists.
	Delisted
	// Closed: no new request is passed on. Callers that still use old lists are answered.
	Closed
	// Ending: requests without an answer end with a failure.
	Ending
	// Exit: answers that have begun are cut, and the process ends.
	Exit
)

const (
	// maxCloseMargin is how long before the end of the last old list a process closes, and how
	// long after it connections do. The signal, the clocks and the scheduler delay each of them.
	maxCloseMargin = 300 * time.Millisecond

	// maxExitMargin is the time for closing connections and exiting, on an instance with a
	// fifth of a core.
	maxExitMargin = 700 * time.Millisecond

	// maxAnswerMargin is the time before the exit for failures to reach their callers.
	maxAnswerMargin = 400 * time.Millisecond

	// minPatience is how long the server of an answer that has begun may be silent, however
	// little time is left. Sound servers pause for some tens of milliseconds.
	minPatience = 250 * time.Millisecond

	// Parts of the grace time: the most that the margins for the exit and for the last answers
	// take, together a sixth, and the time in which new requests are passed on.
	exitMarginPart   = 8
	answerMarginPart = 24
	listedPart       = 2

	// Parts of the margin for the exit: its last two fifths are for the log, but for the time that
	// the end of a process itself takes.
	logPart  = 2.0 / 5
	gonePart = 1.0 / 20

	// closeMarginPart bounds the margin of the close as a part of a list's life.
	closeMarginPart = 10
)

var phaseNames = [...]string{Serving: "serving", Delisted: "delisted", Closed: "closed", Ending: "ending", Exit: "exit"}

type (
	// Phase is how far a planned stop has come.
	Phase int

	// Settings are what a planned stop is planned from.
	Settings struct {
		// Grace is how long after the signal the process may run.
		Grace time.Duration
		// ListLife is how long callers use a list of addresses that the process has left.
		ListLife time.Duration
	}

	// Schedule holds the times of a planned stop. It is immutable; the zero value is that of
	// a process that does not stop.
	Schedule struct {
		signaled, closes, hangsUp, ends, exits, killed time.Time
	}
)

// String returns the phase's name in logs and metrics.
func (p Phase) String() string {
	if p < 0 || int(p) >= len(phaseNames) {
		return "unknown"
	}
	return phaseNames[p]
}

// Begin returns the schedule of a stop whose signal was handled at the time. The times are in
// the order of the phases, and the exit and the end of requests without an answer fall into the
// last sixth of the grace time.
func (s Settings) Begin(signaled time.Time) Schedule {
	grace, life := max(s.Grace, 0), max(s.ListLife, 0)
	exit := grace - min(maxExitMargin, grace/exitMarginPart)
	end := exit - min(maxAnswerMargin, grace/answerMarginPart)
	margin := min(maxCloseMargin, life/closeMarginPart)
	listed := min(life-margin, grace/listedPart)
	return Schedule{
		signaled: signaled, closes: signaled.Add(listed), hangsUp: signaled.Add(min(life+margin, end)),
		ends: signaled.Add(end), exits: signaled.Add(exit), killed: signaled.Add(grace),
	}
}

// IsZero reports whether the process does not stop.
func (s Schedule) IsZero() bool { return s.signaled.IsZero() }

// Signaled returns when the signal was handled.
func (s Schedule) Signaled() time.Time { return s.signaled }

// Closes returns the time from which on no new request is passed on.
func (s Schedule) Closes() time.Time { return s.closes }

// HangsUp returns when connections without a request are closed and no new one is accepted: no
// caller uses an old list any more.
func (s Schedule) HangsUp() time.Time { return s.hangsUp }

// Ends returns when requests without an answer end.
func (s Schedule) Ends() time.Time { return s.ends }

// Exits returns when answers that have begun are cut.
func (s Schedule) Exits() time.Time { return s.exits }

// Patience returns how long the server of an answer that has begun may be silent from a time on until
// it is asked, where that usually takes the given time. In a stop it is asked while another server
// can still send the rest: as long before the end of requests without an answer as that is before
// the exit.
func (s Schedule) Patience(now time.Time, usual time.Duration) time.Duration {
	if s.IsZero() {
		return usual
	}
	last := s.ends.Add(-s.exits.Sub(s.ends))
	return min(usual, max(last.Sub(now), minPatience))
}

// ExitMargin returns the time between the exit and the end of the grace time.
func (s Schedule) ExitMargin() time.Duration { return s.killed.Sub(s.exits) }

// Leaves returns when the process writes the last lines of its log and ends, whatever still runs.
func (s Schedule) Leaves() time.Time { return s.killed.Add(-partOf(s.ExitMargin(), logPart)) }

// LogTime returns how long the last lines of the log may take from a time on.
func (s Schedule) LogTime(now time.Time) time.Duration {
	return max(s.killed.Add(-partOf(s.ExitMargin(), gonePart)).Sub(now), 0)
}

func partOf(d time.Duration, part float64) time.Duration { return time.Duration(part * float64(d)) }

// Phase returns the phase at a time.
func (s Schedule) Phase(now time.Time) Phase {
	switch {
	case s.IsZero():
		return Serving
	case now.Before(s.closes):
		return Delisted
	case now.Before(s.ends):
		return Closed
	case now.Before(s.exits):
		return Ending
	}
	return Exit
}
