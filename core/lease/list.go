package lease

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minRefresh is how often an entry gets the loads of the others at most.
	minRefresh = time.Second

	// refreshPerEntry lengthens the time between two refreshes of the loads, so
	// that the bytes a second of one entry do not grow with the fleet.
	refreshPerEntry = 40 * time.Millisecond
)

// List returns the name of the list of entries that the asking entry shall
// have, and the list when it has another one. The name changes at once when an
// entry comes, goes or drains, and now and then for the entries' loads.
func (g *Grantor) List(now time.Time, r Request) (uint64, []Entry) {
	live := g.Live(now)
	name := nameOf(live) ^ g.turn(now, r.Entry, len(live))
	if name == r.List {
		return name, nil
	}
	return name, live
}

// turn changes with each refresh of an entry's list. The entries' turns are
// spread over time.
func (g *Grantor) turn(now time.Time, entry string, n int) uint64 {
	refresh := max(minRefresh, time.Duration(n)*refreshPerEntry)
	offset := time.Duration(xxhash.Sum64String(entry) % uint64(refresh))
	return xxhash.Sum64String(strconv.FormatInt(now.Add(offset).UnixNano()/int64(refresh), 10))
}

// nameOf returns a name for the entries, whatever their order and loads.
func nameOf(entries []Entry) uint64 {
	var name uint64
	for _, e := range entries {
		d := xxhash.New()
		for _, part := range []string{e.ID, strconv.FormatUint(e.Incarnation, 10), e.Address, e.Region, e.Zone, strconv.FormatBool(e.Draining)} {
			d.WriteString(part + "\x00") //nolint:errcheck // a hash takes all bytes
		}
		name ^= d.Sum64()
	}
	return name
}
