package registry

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"rosereach/core/backend"
	"rosereach/core/version"
)

type (
	// group identifies a set of interchangeable servers: those of a version or
	// those of a plain service.
	group string

	// subset is the part of the fleet that one entry routes to. It is chosen by
	// rendezvous hashing: of each group, the servers with the highest hash of
	// entry and server. Adding or removing a server changes only that server's
	// place.
	subset struct {
		self         string
		size         int  // maximum number of servers of a group, 0 for all
		valid        bool // groups and queryIndices are up to date
		groups       map[group][]string
		queryIndices map[string][]uint16 // what to query of other entries, by entry
	}

	// ranked is a server with its hash for one entry.
	ranked struct {
		id   string
		rank uint64
	}
)

func engineGroup(ref version.Ref) group { return group("version " + ref.String()) }
func serviceGroup(name string) group    { return group("service " + name) }

// groupsOf returns the groups that the server belongs to.
func groupsOf(a backend.Announcement) []group {
	if a.Kind == backend.Plain {
		return []group{serviceGroup(a.Service)}
	}
	groups := make([]group, 0, len(a.Versions))
	for _, ref := range a.Versions {
		groups = append(groups, engineGroup(ref))
	}
	return groups
}

// invalidate marks the subset as out of date, so that it is computed again before its
// next use.
func (s *subset) invalidate() { s.valid = false }

// refresh computes the subset again if it is out of date.
func (r *Registry) refresh() {
	if r.subset.valid {
		return
	}
	ids := make(map[group]map[string]bool)
	add := func(a backend.Announcement) {
		if a.State == backend.Leaving {
			return
		}
		for _, g := range groupsOf(a) {
			if ids[g] == nil {
				ids[g] = make(map[string]bool)
			}
			ids[g][a.ID] = true
		}
	}
	r.forEachKnown(add)
	r.subset.groups = make(map[group][]string, len(ids))
	for g, members := range ids {
		r.subset.groups[g] = r.subset.choose(members)
	}
	r.subset.queryIndices = r.queryIndices()
	r.subset.valid = true
}

// choose returns the ids with the highest hashes, at most size, ordered by id.
func (s *subset) choose(ids map[string]bool) []string {
	all := make([]ranked, 0, len(ids))
	for id := range ids {
		all = append(all, ranked{id: id, rank: xxhash.Sum64String(s.self + "\x00" + id)})
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.id, b.id))
	})
	chosen := make([]string, 0, s.size)
	for _, one := range all[:min(len(all), s.size)] {
		chosen = append(chosen, one.id)
	}
	slices.Sort(chosen)
	return chosen
}
