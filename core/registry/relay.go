package registry

import (
	"reflect"
	"slices"
	"time"

	"rosereach/core/backend"
)

// maxQuerySize is the maximum number of servers in one query.
const maxQuerySize = 1024

type (
	// Query is one entry's query to another about the servers whose home the other
	// is.
	Query struct {
		// KnownVersion is the version of the other entry's directory that the querying
		// entry holds.
		KnownVersion uint64 `json:"have"`
		// Indices are the indices, in that directory ordered by id, of the servers
		// whose lease and load are requested.
		Indices []uint16 `json:"want,omitempty"`
	}

	// Reply is the reply to a query.
	Reply struct {
		// Version is that of the replying entry's directory.
		Version uint64 `json:"version"`
		// Servers is the whole directory, without loads, when the querying entry
		// holds another version. Updates is empty then.
		Servers []backend.Announcement `json:"members,omitempty"`
		// Updates holds the requested leases and loads.
		Updates []Update `json:"fresh,omitempty"`
	}

	// Update is the part of a server's latest announcement that is not in the
	// directory. It is encoded as an array, because entries exchange many each
	// second.
	Update struct {
		_             struct{} `cbor:",toarray"`
		Place         uint16   // index in the directory
		Sequence      uint64
		Age           int64 // of the announcement, in milliseconds
		LoadAge       int64 // of the load report, in milliseconds
		Queued        int
		Running       int
		CacheUsed     int   // in thousandths
		TokenInterval int64 // in microseconds
	}

	// directory holds the servers whose home is one entry. Version increases when
	// a server is added, removed or changed in more than its load and sequence.
	directory struct {
		version uint64
		servers map[string]backend.Announcement
	}
)

func newDirectory(version uint64) directory {
	return directory{version: version, servers: make(map[string]backend.Announcement)}
}

// put adds a server and reports whether that changed the directory.
func (d *directory) put(a backend.Announcement) bool {
	a.Load = backend.Load{}
	old, known := d.servers[a.ID]
	same := a
	same.Sequence = old.Sequence
	if known && reflect.DeepEqual(old, same) {
		return false
	}
	d.servers[a.ID] = a
	d.version++
	return true
}

// remove removes a server and reports whether it was in the directory.
func (d *directory) remove(id string) bool {
	if _, ok := d.servers[id]; !ok {
		return false
	}
	delete(d.servers, id)
	d.version++
	return true
}

// list returns the servers ordered by id. The indices in queries and replies refer
// to this order.
func (d *directory) list() []backend.Announcement {
	servers := make([]backend.Announcement, 0, len(d.servers))
	for _, a := range d.servers {
		servers = append(servers, a)
	}
	sortByID(servers)
	return servers
}

// Answer returns the reply to another entry's query.
func (r *Registry) Answer(now time.Time, query Query) Reply {
	reply := Reply{Version: r.ownDirectory.version}
	servers := r.ownDirectory.list()
	if query.KnownVersion != reply.Version {
		reply.Servers = servers
		return reply
	}
	for _, index := range query.Indices[:min(len(query.Indices), maxQuerySize)] {
		if int(index) >= len(servers) {
			continue
		}
		if m, ok := r.servers[servers[index].ID]; ok {
			reply.Updates = append(reply.Updates, r.updateFor(now, index, m))
		}
	}
	return reply
}

// updateFor returns the current lease and load of the server at an index.
func (r *Registry) updateFor(now time.Time, index uint16, rec serverRecord) Update {
	load := rec.announcement.Load
	return Update{
		Place: index, Sequence: rec.announcement.Sequence, Age: (r.lease - rec.expires.Sub(now)).Milliseconds(),
		LoadAge: now.Sub(load.MeasuredAt).Milliseconds(), Queued: load.Queued, Running: load.Running,
		CacheUsed: int(load.CacheUsed * 1000), TokenInterval: load.TokenInterval.Microseconds(),
	}
}

// announcement returns the server's announcement: that of the directory with the
// sequence and load of u. Ages count from when the query was sent.
func (u Update) announcement(sent time.Time, a backend.Announcement) backend.Announcement {
	a.Sequence = u.Sequence
	a.Load = backend.Load{
		MeasuredAt: sent.Add(-time.Duration(u.LoadAge) * time.Millisecond), Queued: u.Queued, Running: u.Running,
		CacheUsed: float64(u.CacheUsed) / 1000, TokenInterval: time.Duration(u.TokenInterval) * time.Microsecond,
	}
	return a
}

// Queries returns the query to send to each of the homes, by home. It covers the servers
// of the subset whose home that entry is, except those in this entry's directory.
func (r *Registry) Queries(homes []string) map[string]Query {
	r.refresh()
	queries := make(map[string]Query, len(homes))
	for _, home := range homes {
		queries[home] = Query{KnownVersion: r.directories[home].version, Indices: r.subset.queryIndices[home]}
	}
	return queries
}

// ApplyReply applies a home's reply to a query that was sent at the given time. Ages count
// from then, so that a late reply does not extend a lease.
func (r *Registry) ApplyReply(sent time.Time, home string, reply Reply) {
	d := r.directories[home]
	if reply.Version > d.version {
		d = newDirectory(reply.Version)
		for _, a := range reply.Servers {
			d.servers[a.ID] = a
			r.applyLeaving(sent, a)
		}
		r.directories[home] = d
		r.subset.invalidate()
	}
	if reply.Version != d.version {
		return
	}
	servers := d.list()
	for _, f := range reply.Updates {
		if int(f.Place) < len(servers) {
			r.observe(sent, time.Duration(f.Age)*time.Millisecond, f.announcement(sent, servers[f.Place]))
		}
	}
}

// Retain removes the directories of all entries that are not in homes.
func (r *Registry) Retain(homes []string) {
	for home := range r.directories {
		if !slices.Contains(homes, home) {
			delete(r.directories, home)
			r.subset.invalidate()
		}
	}
}

// applyLeaving records that a server is leaving, which is final for its
// incarnation.
func (r *Registry) applyLeaving(sent time.Time, a backend.Announcement) {
	if a.State == backend.Leaving {
		r.observe(sent, 0, a)
	}
}

// queryIndices returns, for each home, the indices in its directory of the servers to
// query: those of the subset that are not in this entry's directory.
func (r *Registry) queryIndices() map[string][]uint16 {
	chosen := make(map[string]bool)
	for _, members := range r.subset.groups {
		for _, id := range members {
			_, own := r.ownDirectory.servers[id]
			chosen[id] = !own
		}
	}
	wants := make(map[string][]uint16)
	for home, d := range r.directories {
		for index, a := range d.list() {
			if chosen[a.ID] {
				wants[home] = append(wants[home], uint16(index))
			}
		}
	}
	return wants
}

// Known returns the servers of a plain service in all directories, ordered by id. It
// includes servers outside the subset and those whose lease has ended.
func (r *Registry) Known(service string) []backend.Announcement {
	seen := make(map[string]bool)
	var known []backend.Announcement
	r.forEachKnown(func(a backend.Announcement) {
		if a.Kind == backend.Plain && a.Service == service && !seen[a.ID] {
			seen[a.ID] = true
			known = append(known, a)
		}
	})
	sortByID(known)
	return known
}

// forEachKnown calls f for the servers of all directories. A server that is in several
// directories is passed more than once.
func (r *Registry) forEachKnown(f func(backend.Announcement)) {
	for _, a := range r.ownDirectory.servers {
		f(a)
	}
	for _, d := range r.directories {
		for _, a := range d.servers {
			f(a)
		}
	}
}
