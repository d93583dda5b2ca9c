package reach

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxRelays is the number of other instances that an instance knows as relays, and
	// minNearRelays the number in its region from which those of other regions are left out.
	maxRelays     = 6
	minNearRelays = 2

	// relayRest is how long a relay that failed is left alone.
	relayRest = time.Second
)

type (
	// Relay is an instance through which others reach servers.
	Relay struct {
		_       struct{} `cbor:",toarray"`
		ID      string
		Address string
		// IsNear means that it is in the same region.
		IsNear bool
	}

	// Relays are the relays of one instance. It is not safe for concurrent use.
	Relays struct {
		known  []Relay
		failed map[string]time.Time // by id
	}
)

// ChooseRelays returns the relays for an instance. It answers a cut of most of an availability
// zone: its instances are spread over all others of the region, in an order of their own, so
// that no neighbor carries them all.
func ChooseRelays(instance string, candidates []Relay) []Relay {
	order := func(r Relay) uint64 { return xxhash.Sum64String(instance + "\x00" + r.ID) }
	sorted := slices.Clone(candidates)
	slices.SortFunc(sorted, func(a, b Relay) int {
		if a.IsNear != b.IsNear {
			if a.IsNear {
				return -1
			}
			return 1
		}
		return cmp.Compare(order(a), order(b))
	})
	return sorted[:min(len(sorted), maxRelays)]
}

// Set replaces the known relays.
func (r *Relays) Set(known []Relay) { r.known = known }

// Drop removes the relays with the ids.
func (r *Relays) Drop(ids []string) {
	if len(ids) == 0 {
		return
	}
	r.known = slices.DeleteFunc(slices.Clone(r.known), func(known Relay) bool { return slices.Contains(ids, known.ID) })
}

// Len returns the number of known relays.
func (r *Relays) Len() int { return len(r.known) }

// Knows reports whether a relay is known.
func (r *Relays) Knows(id string) bool {
	return slices.ContainsFunc(r.known, func(relay Relay) bool { return relay.ID == id })
}

// Fail records that a relay could not be used.
func (r *Relays) Fail(now time.Time, id string) {
	if r.failed == nil {
		r.failed = make(map[string]time.Time)
	}
	r.failed[id] = now
}

// Pick returns a relay at random for which isAllowed returns true, a near one if enough of
// them are left.
func (r *Relays) Pick(now time.Time, random *rand.Rand, isAllowed func(id string) bool) (Relay, bool) {
	var usable, near []Relay
	for _, relay := range r.known {
		if !isAllowed(relay.ID) {
			continue
		}
		if at, ok := r.failed[relay.ID]; ok && now.Sub(at) < relayRest {
			continue
		}
		usable = append(usable, relay)
		if relay.IsNear {
			near = append(near, relay)
		}
	}
	if len(near) >= minNearRelays {
		usable = near
	}
	if len(usable) == 0 {
		return Relay{}, false
	}
	return usable[random.IntN(len(usable))], true
}
