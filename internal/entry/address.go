package entry

import (
	"cmp"
	"slices"

	"rosereach/core/lease"
)

// The ranks of an entry by its distance to the caller.
const (
	rankZone = iota
	rankRegion
	rankElsewhere
)

// orderAddresses returns the addresses of entries that accept new callers: those
// in the caller's availability zone first, then in its region, then the others,
// each group by load.
func orderAddresses(entries []lease.Entry, region, zone string) []string {
	open := slices.DeleteFunc(slices.Clone(entries), func(e lease.Entry) bool { return e.Draining })
	slices.SortFunc(open, func(a, b lease.Entry) int {
		return cmp.Or(
			cmp.Compare(rankOf(a, region, zone), rankOf(b, region, zone)),
			cmp.Compare(a.Load, b.Load),
			cmp.Compare(a.ID, b.ID),
		)
	})
	addresses := make([]string, 0, len(open))
	for _, e := range open {
		addresses = append(addresses, e.Address)
	}
	return addresses
}

func rankOf(e lease.Entry, region, zone string) int {
	switch {
	case e.Zone == zone:
		return rankZone
	case e.Region == region:
		return rankRegion
	}
	return rankElsewhere
}
