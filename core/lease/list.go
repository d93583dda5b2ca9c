package lease

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minRefresh is the minimum interval at which an entry receives the loads of
	// the others.
	minRefresh = time.Second

	// refreshPerEntry lengthens the interval in a large fleet to this time for each
	// entry, so that the bytes per second sent to one entry do not grow with the
	// number of entries.
	refreshPerEntry = 40 * time.Millisecond
)

// EntryList returns the current version of the entry list, and the list itself
// unless the requesting entry already has that version. The version changes at once
// when an entry joins, leaves or drains, and periodically to refresh the entries'
// loads.
func (g *Grantor) EntryList(now time.Time, r Request) (uint64, []Entry) {
	live := g.Live(now)
	version := listHash(live) ^ g.refreshHash(now, r.Entry, len(live))
	if version == r.ListVersion {
		return version, nil
	}
	return version, live
}

// refreshHash returns a hash that changes at each periodic refresh of an entry's list. The
// refreshes of different entries are spread over the interval.
func (g *Grantor) refreshHash(now time.Time, entry string, n int) uint64 {
	refresh := max(minRefresh, time.Duration(n)*refreshPerEntry)
	offset := time.Duration(xxhash.Sum64String(entry) % uint64(refresh))
	return xxhash.Sum64String(strconv.FormatInt(now.Add(offset).UnixNano()/int64(refresh), 10))
}

// listHash returns a hash of the entries that depends neither on their order nor on
// their loads.
func listHash(entries []Entry) uint64 {
	var hash uint64
	for _, e := range entries {
		d := xxhash.New()
		for _, part := range []string{e.ID, strconv.FormatUint(e.Incarnation, 10), e.Address, e.Region, e.Zone, strconv.FormatBool(e.Draining)} {
			d.WriteString(part + "\x00") //nolint:errcheck // a hash takes all bytes
		}
		hash ^= d.Sum64()
	}
	return hash
}
