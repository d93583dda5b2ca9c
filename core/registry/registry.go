// Package registry holds the backend servers known to an entry, each with a lease
// that its announcements renew. A server announces itself to one entry, its home;
// other entries query the home about it.
package registry

import (
	"cmp"
	"slices"
	"time"

	"rosereach/core/backend"
	"rosereach/core/version"
)

type (
	// Registry is one entry's view of the backend servers. It is not safe for
	// concurrent use.
	Registry struct {
		lease        time.Duration
		servers      map[string]serverRecord
		subset       subset
		ownDirectory directory            // servers whose home is this entry
		directories  map[string]directory // directories of other entries, by entry
	}

	// serverRecord is a server's latest announcement and the end of its lease.
	serverRecord struct {
		announcement backend.Announcement
		expires      time.Time
	}
)

// New returns a registry with the given lease duration that routes to all servers.
func New(lease time.Duration) *Registry {
	return &Registry{
		lease: lease, servers: make(map[string]serverRecord), ownDirectory: newDirectory(0), directories: make(map[string]directory),
	}
}

// WithSubset returns the registry of the named entry, which routes to at most size
// servers of each version and each plain service. The version of its directory
// starts at the incarnation, so that it increases with each start of the entry.
func (r *Registry) WithSubset(self string, incarnation uint64, size int) *Registry {
	clone := *r
	clone.subset = subset{self: self, size: size}
	clone.ownDirectory = newDirectory(incarnation)
	return &clone
}

// Observe records an announcement that a server sent to this entry; age is the time
// since then. It reports whether the announcement was newer than the recorded one,
// and ignores it otherwise.
func (r *Registry) Observe(now time.Time, age time.Duration, a backend.Announcement) bool {
	if !r.observe(now, age, a) {
		return false
	}
	if r.ownDirectory.put(a) {
		r.subset.invalidate()
	}
	return true
}

// MayServe reports whether that incarnation of the backend server may get new
// requests now.
func (r *Registry) MayServe(now time.Time, id string, incarnation uint64) bool {
	m, ok := r.servers[id]
	return ok && m.announcement.Incarnation == incarnation && m.isServing(now)
}

// Engines returns the engines of the subset that may get new requests for the
// version, ordered by id.
func (r *Registry) Engines(now time.Time, ref version.Ref) []backend.Announcement {
	return r.find(now, engineGroup(ref), func(a backend.Announcement) bool { return a.Serves(ref) })
}

// Services returns the backend servers of the subset that may get new requests for
// the plain service, ordered by id.
func (r *Registry) Services(now time.Time, name string) []backend.Announcement {
	return r.find(now, serviceGroup(name), func(a backend.Announcement) bool {
		return a.Kind == backend.Plain && a.Service == name
	})
}

// All returns the backend servers whose lease has not ended, ordered by id.
func (r *Registry) All(now time.Time) []backend.Announcement {
	var all []backend.Announcement
	for _, m := range r.servers {
		if now.Before(m.expires) {
			all = append(all, m.announcement)
		}
	}
	sortByID(all)
	return all
}

// Expire removes servers whose lease has ended from this entry's directory, and
// deletes those whose lease ended more than keep ago.
func (r *Registry) Expire(now time.Time, keep time.Duration) {
	for id, m := range r.servers {
		if now.Before(m.expires) {
			continue
		}
		if r.ownDirectory.remove(id) {
			r.subset.invalidate()
		}
		if now.Sub(m.expires) > keep {
			delete(r.servers, id)
		}
	}
}

// observe records an announcement by its age, the time since the server or its home
// sent it. It reports whether the announcement was newer than the recorded one.
func (r *Registry) observe(now time.Time, age time.Duration, a backend.Announcement) bool {
	old, ok := r.servers[a.ID]
	if ok && !a.IsNewerThan(old.announcement) {
		return false
	}
	r.servers[a.ID] = serverRecord{announcement: a, expires: now.Add(r.lease - age)}
	return true
}

// find returns the servers of a group that may get new requests and match,
// ordered by id. Without a subset it searches all servers.
func (r *Registry) find(now time.Time, g group, matches func(backend.Announcement) bool) []backend.Announcement {
	if r.subset.size == 0 {
		return r.filter(now, matches)
	}
	r.refresh()
	var found []backend.Announcement
	for _, id := range r.subset.groups[g] {
		if m, ok := r.servers[id]; ok && m.isServing(now) && matches(m.announcement) {
			found = append(found, m.announcement)
		}
	}
	return found
}

func (r *Registry) filter(now time.Time, matches func(backend.Announcement) bool) []backend.Announcement {
	var found []backend.Announcement
	for _, m := range r.servers {
		if m.isServing(now) && matches(m.announcement) {
			found = append(found, m.announcement)
		}
	}
	sortByID(found)
	return found
}

func (r serverRecord) isServing(now time.Time) bool {
	return r.announcement.State == backend.Serving && now.Before(r.expires)
}

func sortByID(list []backend.Announcement) {
	slices.SortFunc(list, func(a, b backend.Announcement) int { return cmp.Compare(a.ID, b.ID) })
}
