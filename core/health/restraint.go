package health

import "time"

const (
	// firstRoom is the number of requests that a server gets at once after a hold-off
	// until it has answered one, and fullRoom the number from which on it is not
	// restrained any more.
	firstRoom = 2
	fullRoom  = 32

	// restraintRetention is how long the word of a server is kept that is not known any
	// more. A control that was cut off may still announce it for as long.
	restraintRetention = 10 * time.Minute
)

// The reasons for which a server gets no request.
const (
	// Leaves means that the server said that it is about to stop.
	Leaves Reason = "leaves"
	// HeldOff means that the server said that it wants no requests for a while.
	HeldOff Reason = "held_off"
	// Recovers means that the server has as many requests as it should get after a
	// hold-off until it has answered more of them.
	Recovers Reason = "recovers"
)

type (
	// Reason is why a server gets no request, empty if it may get one.
	Reason string

	// Word is what a server said of itself in an answer.
	Word struct {
		// Leaving means that it wants no further requests.
		Leaving bool
		// HoldOff is how long it wants none, 0 for not at all.
		HoldOff time.Duration
		// RequestID is the id of the request that was answered.
		RequestID string
	}

	// Restraint is what a server's words amount to.
	Restraint struct {
		Incarnation uint64
		// LeavingSince is when the server first said that it leaves, and LeavingBy the
		// request that it answered. LeavingSince is zero if it did not.
		LeavingSince time.Time
		LeavingBy    string
		// HeldSince is when the server asked for the latest hold-off, HeldUntil its end,
		// and HeldBy the request that it answered. HeldSince is zero if it did not.
		HeldSince time.Time
		HeldUntil time.Time
		HeldBy    string
	}

	// Restraints holds what backend servers said to this entry about the requests that
	// they want. It is not safe for concurrent use.
	//
	// It answers an entry that hears from a server before the controls do, or is cut off
	// from them: announcements, lists and plans that still show the server as serving
	// arrive for seconds after its word, and are no news about it. So only the end of a
	// hold-off or a new incarnation of the server clears a word. The id alone is not
	// enough, as a server may start again under it, and the address belongs to another
	// server after a while.
	//
	// After a hold-off of a full server, all requests that were kept from it are due at
	// the same moment. It gets firstRoom of them, and one more at a time for each answer,
	// which doubles their number with each round.
	Restraints struct {
		servers map[string]*restraint
	}

	restraint struct {
		Restraint
		heardAt  time.Time // when the server last said something
		room     int       // requests that may wait for their answers after the hold-off
		awaiting int       // requests that wait for their answers, of those sent after a hold-off
	}
)

// NewRestraints returns restraints without servers.
func NewRestraints() *Restraints { return &Restraints{servers: make(map[string]*restraint)} }

// Hear records a word of an incarnation of a server and reports whether it changes
// anything: the server leaves, or its hold-off begins or gets longer. A shorter hold-off
// does not take back a longer one. The word of an incarnation before one that has spoken
// is ignored.
func (r *Restraints) Hear(now time.Time, server string, incarnation uint64, w Word) bool {
	if !w.Leaving && w.HoldOff <= 0 {
		return false
	}
	s, ok := r.servers[server]
	if ok && incarnation < s.Incarnation {
		return false
	}
	if !ok || s.Incarnation < incarnation {
		s = &restraint{Restraint: Restraint{Incarnation: incarnation}}
		r.servers[server] = s
	}
	s.heardAt = now
	changed := false
	if w.Leaving && s.LeavingSince.IsZero() {
		s.LeavingSince, s.LeavingBy = now, w.RequestID
		changed = true
	}
	if w.HoldOff <= 0 {
		return changed
	}
	s.room = firstRoom
	if until := now.Add(w.HoldOff); until.After(s.HeldUntil) {
		s.HeldSince, s.HeldUntil, s.HeldBy = now, until, w.RequestID
		changed = true
	}
	return changed
}

// Check returns why the server may not get a request now, empty if it may.
func (r *Restraints) Check(now time.Time, server string, incarnation uint64) Reason {
	s, ok := r.servers[server]
	switch {
	case !ok || s.Incarnation < incarnation:
		return ""
	case s.Incarnation > incarnation, !s.LeavingSince.IsZero():
		return Leaves
	case now.Before(s.HeldUntil):
		return HeldOff
	case !s.HeldSince.IsZero() && s.room < fullRoom && s.awaiting >= s.room:
		return Recovers
	}
	return ""
}

// Begin checks a request that is about to be sent and counts it. It is counted only if
// the result is empty. Counted tells whether End has to be called.
func (r *Restraints) Begin(now time.Time, server string, incarnation uint64) (counted bool, reason Reason) {
	reason = r.Check(now, server, incarnation)
	s, ok := r.servers[server]
	if reason != "" || !ok || s.Incarnation != incarnation || s.HeldSince.IsZero() || s.room >= fullRoom {
		return false, reason
	}
	s.awaiting++
	return true, ""
}

// End records that a request that was counted got its answer, or that it will get none.
// Accepted means that it was answered and not turned away.
func (r *Restraints) End(server string, incarnation uint64, accepted bool) {
	s, ok := r.servers[server]
	if !ok || s.Incarnation != incarnation {
		return
	}
	s.awaiting--
	if accepted {
		s.room = min(s.room+1, fullRoom)
	}
}

// TakesWorkAt returns when the server takes requests, now at the earliest, and false if
// it never will.
func (r *Restraints) TakesWorkAt(now time.Time, server string, incarnation uint64) (time.Time, bool) {
	switch r.Check(now, server, incarnation) {
	case Leaves:
		return time.Time{}, false
	case HeldOff:
		return r.servers[server].HeldUntil, true
	}
	return now, true
}

// Get returns the restraint of an incarnation of a server, and false if it has said
// nothing.
func (r *Restraints) Get(server string, incarnation uint64) (Restraint, bool) {
	s, ok := r.servers[server]
	if !ok || s.Incarnation != incarnation {
		return Restraint{}, false
	}
	return s.Restraint, true
}

// Count returns the number of servers that leave and of those that are held off.
func (r *Restraints) Count(now time.Time) (leaving, heldOff int) {
	for _, s := range r.servers {
		switch {
		case !s.LeavingSince.IsZero():
			leaving++
		case now.Before(s.HeldUntil):
			heldOff++
		}
	}
	return leaving, heldOff
}

// Retain removes the words of servers that isKnown has returned false for and that have
// said nothing for restraintRetention. A known server is kept after the end of its
// hold-off: its incarnation rules out the ones before it.
func (r *Restraints) Retain(now time.Time, isKnown func(server string) bool) {
	for id, s := range r.servers {
		if !isKnown(id) && now.Sub(s.heardAt) >= restraintRetention && !now.Before(s.HeldUntil) {
			delete(r.servers, id)
		}
	}
}
