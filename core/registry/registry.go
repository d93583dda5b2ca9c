// Package registry keeps the backend servers that announced themselves, each
// under a lease that ends unless it announces itself again.
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
		lease   time.Duration
		servers map[string]member
	}

	member struct {
		said    backend.Announcement
		expires time.Time
	}
)

// New returns a registry whose leases last for the given time.
func New(lease time.Duration) *Registry {
	return &Registry{lease: lease, servers: make(map[string]member)}
}

// Observe records an announcement that was made age ago, and reports whether
// it was news. An older or repeated one changes nothing.
func (r *Registry) Observe(now time.Time, age time.Duration, a backend.Announcement) bool {
	old, ok := r.servers[a.ID]
	if ok && !a.IsNewerThan(old.said) {
		return false
	}
	r.servers[a.ID] = member{said: a, expires: now.Add(r.lease - age)}
	return true
}

// MayServe reports whether the backend server of that incarnation may get new
// work now.
func (r *Registry) MayServe(now time.Time, id string, incarnation uint64) bool {
	m, ok := r.servers[id]
	return ok && m.said.Incarnation == incarnation && m.isServing(now)
}

// Engines returns the engines that may get new work for the version.
func (r *Registry) Engines(now time.Time, ref version.Ref) []backend.Announcement {
	return r.filter(now, func(a backend.Announcement) bool { return a.Serves(ref) })
}

// Services returns the backend servers of a plain service that may get new work.
func (r *Registry) Services(now time.Time, name string) []backend.Announcement {
	return r.filter(now, func(a backend.Announcement) bool {
		return a.Kind == backend.Plain && a.Service == name
	})
}

// All returns every backend server whose lease has not ended.
func (r *Registry) All(now time.Time) []backend.Announcement {
	var all []backend.Announcement
	for _, m := range r.servers {
		if now.Before(m.expires) {
			all = append(all, m.said)
		}
	}
	sortByID(all)
	return all
}

// Expire forgets the servers whose lease ended at least keep ago.
func (r *Registry) Expire(now time.Time, keep time.Duration) {
	for id, m := range r.servers {
		if now.Sub(m.expires) > keep {
			delete(r.servers, id)
		}
	}
}

func (r *Registry) filter(now time.Time, fits func(backend.Announcement) bool) []backend.Announcement {
	var found []backend.Announcement
	for _, m := range r.servers {
		if m.isServing(now) && fits(m.said) {
			found = append(found, m.said)
		}
	}
	sortByID(found)
	return found
}

func (m member) isServing(now time.Time) bool {
	return m.said.State == backend.Serving && now.Before(m.expires)
}

func sortByID(list []backend.Announcement) {
	slices.SortFunc(list, func(a, b backend.Announcement) int { return cmp.Compare(a.ID, b.ID) })
}
