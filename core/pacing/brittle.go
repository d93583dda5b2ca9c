package pacing

import (
	"math"
	"time"
)

const (
	// roomShare is the share of a brittle server's slots that all entries together fill.
	roomShare = 0.9

	// rejectionShare is the share of the rejections a brittle server bears that all entries
	// together allow themselves, and probesPerHoldOff the number of requests with which an
	// entry finds out after a hold-off whether there is room again.
	rejectionShare   = 0.5
	probesPerHoldOff = 2

	minBrittleHoldOff = 500 * time.Millisecond
	maxBrittleHoldOff = 10 * time.Second
)

type (
	// Brittle holds one entry's use of servers that fall over when they have to reject too
	// many requests a second, summed over all entries. It is not safe for concurrent use.
	//
	// It answers servers whose room shrinks while they are brittle: each entry would go on
	// until it is rejected, and all of them together take the server down. An entry fills its
	// part of the slots only, and after a rejection it leaves the server alone for as long as
	// keeps all entries within what the server bears.
	Brittle struct {
		entries  int
		servers  map[string]brittleServer
		inFlight map[string]int
	}

	brittleServer struct {
		incarnation uint64
		perSecond   float64
		heardAt     time.Time
	}
)

// NewBrittle returns a state without servers.
func NewBrittle() *Brittle {
	return &Brittle{entries: 1, servers: make(map[string]brittleServer), inFlight: make(map[string]int)}
}

// ParseBrittle reads the values of a header that names the rejections a second that a server
// bears, as ParseLimit does, but for its least value: 0 is none at all.
func ParseBrittle(values []string) (Statement, error) {
	return parseRate(values, 0)
}

// SetEntries sets the number of entries that are known to be live.
func (b *Brittle) SetEntries(n int) { b.entries = max(n, 1) }

// Observe records what the answer to a request that was sent at a time says, and reports whether
// the server begins or ceases to be brittle.
func (b *Brittle) Observe(now time.Time, server string, incarnation uint64, sentAt time.Time, st Statement) bool {
	s, was := b.servers[server]
	switch {
	case st.Kind == None, was && incarnation < s.incarnation:
		return false
	case st.Kind == Unlimited:
		if !was || s.incarnation == incarnation && !sentAt.After(s.heardAt) {
			return false
		}
		delete(b.servers, server)
		return true
	}
	b.servers[server] = brittleServer{incarnation: incarnation, perSecond: st.PerSecond, heardAt: now}
	return !was || s.incarnation < incarnation
}

// Allows reports whether the server may get another request of this entry now. Slots is the
// number of requests that it runs at once.
func (b *Brittle) Allows(server string, incarnation uint64, slots int) bool {
	s, ok := b.servers[server]
	if !ok || s.incarnation != incarnation {
		return true
	}
	return b.inFlight[server] < max(int(roomShare*float64(slots)/float64(b.entries)), 1)
}

// Begin and End record that a request is at a server, brittle or not.
func (b *Brittle) Begin(server string) { b.inFlight[server]++ }

// End is the opposite of Begin.
func (b *Brittle) End(server string) {
	if b.inFlight[server]--; b.inFlight[server] <= 0 {
		delete(b.inFlight, server)
	}
}

// HoldOff returns how long the entry leaves a server alone that has rejected a request for
// want of room, 0 if it is not brittle.
func (b *Brittle) HoldOff(server string, incarnation uint64) time.Duration {
	s, ok := b.servers[server]
	if !ok || s.incarnation != incarnation {
		return 0
	}
	seconds := probesPerHoldOff * float64(b.entries) / max(rejectionShare*s.perSecond, 1/maxBrittleHoldOff.Seconds())
	return min(max(time.Duration(math.Min(seconds, maxBrittleHoldOff.Seconds())*float64(time.Second)), minBrittleHoldOff), maxBrittleHoldOff)
}

// Retain removes the servers for which isKnown returns false.
func (b *Brittle) Retain(isKnown func(server string) bool) {
	for id := range b.servers {
		if !isKnown(id) {
			delete(b.servers, id)
		}
	}
}

// Count returns the number of brittle servers.
func (b *Brittle) Count() int { return len(b.servers) }
