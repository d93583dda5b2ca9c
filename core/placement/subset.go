package placement

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"rosereach/core/backend"
)

// Subset returns the n servers that the entry uses, ordered by id, so that the
// cost of an entry does not grow with the fleet. Rendezvous hashing spreads the
// entries evenly over the servers and changes few choices when a server is added
// or removed.
func Subset(entry string, servers []backend.Announcement, n int) []backend.Announcement {
	if len(servers) <= n {
		return servers
	}
	chosen := slices.Clone(servers)
	slices.SortFunc(chosen, func(a, b backend.Announcement) int {
		return cmp.Or(cmp.Compare(subsetHash(entry, b.ID), subsetHash(entry, a.ID)), cmp.Compare(a.ID, b.ID))
	})
	chosen = chosen[:n]
	slices.SortFunc(chosen, func(a, b backend.Announcement) int { return cmp.Compare(a.ID, b.ID) })
	return chosen
}

// subsetHash returns the rendezvous hash of an entry and a server.
func subsetHash(entry, server string) uint64 {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(entry)))
	return xxhash.Sum64String(string(length[:]) + entry + server)
}
