// Package roster holds a member's view of the backend servers of a fleet, merged from
// their announcements to this member and from the deltas of other members. Nothing in
// it is durable, as servers repeat their announcements.
package roster

import (
	"cmp"
	"slices"
	"time"

	"rosereach/core/backend"
)

// maxDeltaRecords bounds a delta: about 50 KB, which a member on a quarter of a core
// encodes and compresses in some milliseconds.
const maxDeltaRecords = 256

type (
	// Record is the latest state of one backend server.
	Record struct {
		Server backend.Announcement `json:"server"`
		// Silent means that no member has received an announcement for a while.
		// The server may still serve.
		Silent bool `json:"silent,omitempty"`
	}

	// Delta holds the changes to a roster after a version.
	Delta struct {
		// Version is the roster's version with these changes.
		Version uint64   `json:"version"`
		Records []Record `json:"records,omitempty"`
		// Sightings lists the servers that announced themselves to the sender, up to
		// SightingsVersion.
		Sightings        []Sighting `json:"heard,omitempty"`
		SightingsVersion uint64     `json:"heard_version,omitempty"`
	}

	// Sighting reports that a server announced itself to a member directly.
	Sighting struct {
		_           struct{} `cbor:",toarray"`
		ID          string
		Incarnation uint64
		Sequence    uint64
	}

	// Config configures the timeouts of a Roster.
	Config struct {
		// SilentAfter is the time without an announcement to any member after
		// which a server is marked as silent.
		SilentAfter time.Duration
		// RemoveAfter is the time without an announcement to any member after
		// which a server is removed.
		RemoveAfter time.Duration
	}

	// Roster is one member's view. It is not safe for concurrent use.
	Roster struct {
		cfg     Config
		version uint64
		servers map[string]*serverEntry
		// sightings counts the announcements of servers to this member.
		sightings uint64
		// serving caches the results of Serving by service until a record changes.
		serving map[string][]Record
		// newest caches the newest server at each address likewise.
		newest map[string]*serverEntry
	}

	// serverEntry is the state of one server.
	serverEntry struct {
		record         Record
		changedVersion uint64    // version of the roster at the last change
		lastAnnounced  time.Time // last announcement to any member, later if this member was disconnected
		lastSeen       time.Time // last announcement to any member
		lastDirect     time.Time // last announcement to this member
		sighting       uint64    // its number among all announcements to this member
	}
)

// New returns an empty roster. Versions count up from start, which has to increase
// with each start of the process.
func New(cfg Config, start uint64) *Roster {
	return &Roster{cfg: cfg, version: start, servers: make(map[string]*serverEntry)}
}

// Version returns the version of the roster, which increases with every change.
func (r *Roster) Version() uint64 { return r.version }

// Observe records an announcement that a server sent to this member, and reports
// whether it changed anything that other members need. Late and repeated ones are
// ignored, and so are those that other members could not read.
func (r *Roster) Observe(now time.Time, a backend.Announcement) bool {
	before := r.version
	if a.IsReadable() && r.merge(now, Record{Server: a}) {
		r.markSighted(now, r.servers[a.ID])
	}
	return r.version != before
}

// MarkLeaving marks a server as leaving, at its own request, and reports whether that is a
// change. Incarnation 0 stands for the recorded one.
func (r *Roster) MarkLeaving(now time.Time, id string, incarnation uint64) bool {
	e, ok := r.servers[id]
	if !ok || incarnation != 0 && incarnation < e.record.Server.Incarnation || e.record.Server.State == backend.Leaving {
		return false
	}
	e.record.Server.State = backend.Leaving
	e.record.Server.Sequence++
	e.record.Server.Incarnation = max(e.record.Server.Incarnation, incarnation)
	e.lastAnnounced = now
	r.markSighted(now, e)
	r.bumpVersion(e)
	return true
}

// ApplyDelta merges another member's delta. It leaves out records that other members could
// not read, so that one such record does not keep the others from them.
func (r *Roster) ApplyDelta(now time.Time, d Delta) {
	for _, rec := range d.Records {
		if rec.Server.IsReadable() {
			r.merge(now, rec)
		}
	}
	for _, s := range d.Sightings {
		e, ok := r.servers[s.ID]
		if !ok || e.record.Server.Incarnation != s.Incarnation || s.Sequence < e.record.Server.Sequence {
			continue
		}
		e.record.Server.Sequence = s.Sequence
		r.revive(now, e)
	}
}

// Delta returns the records that changed after a version of this roster, at most
// maxDeltaRecords. It answers two loads that grow with the square of the fleet. Each
// entry asks several members every second, mostly without news: what a delta costs
// follows the changes. And when a whole fleet starts or connects again, each member
// owes each entry all servers: a bounded delta is ready in time on a saturated member,
// and the watcher continues from its version.
func (r *Roster) Delta(after uint64) Delta {
	d := Delta{Version: r.version}
	if after == r.version {
		return d
	}
	var changed []*serverEntry
	for _, e := range r.servers {
		if e.changedVersion > after {
			changed = append(changed, e)
		}
	}
	slices.SortFunc(changed, func(a, b *serverEntry) int { return cmp.Compare(a.changedVersion, b.changedVersion) })
	if len(changed) > maxDeltaRecords {
		changed = changed[:maxDeltaRecords]
		d.Version = changed[maxDeltaRecords-1].changedVersion
	}
	for _, e := range changed {
		d.Records = append(d.Records, e.record)
	}
	return d
}

// SightingsVersion returns the number of announcements of servers to this member.
func (r *Roster) SightingsVersion() uint64 { return r.sightings }

// SightingsSince returns the servers that announced themselves to this member after the
// given time and after the given SightingsVersion, ordered by id. The version keeps a
// member that asks after every change from getting all servers each time.
func (r *Roster) SightingsSince(since time.Time, after uint64) []Sighting {
	if after == r.sightings {
		return nil
	}
	var sightings []Sighting
	for _, e := range r.servers {
		if e.sighting > after && e.lastDirect.After(since) {
			s := e.record.Server
			sightings = append(sightings, Sighting{ID: s.ID, Incarnation: s.Incarnation, Sequence: s.Sequence})
		}
	}
	slices.SortFunc(sightings, func(a, b Sighting) int { return cmp.Compare(a.ID, b.ID) })
	return sightings
}

// Expire marks servers as silent and removes old ones, by the roster's timeouts.
func (r *Roster) Expire(now time.Time) {
	for id, e := range r.servers {
		idle := now.Sub(e.lastAnnounced)
		if !e.record.Silent && idle > r.cfg.SilentAfter {
			e.record.Silent = true
			r.bumpVersion(e)
		}
		if idle > r.cfg.RemoveAfter {
			delete(r.servers, id)
			r.clearCaches()
		}
	}
}

// ExpireGone removes the servers that have been leaving or silent for longer than
// RemoveAfter. It replaces Expire for a member that only receives changes, where
// the absence of news does not mean that a server is silent.
func (r *Roster) ExpireGone(now time.Time) {
	for id, e := range r.servers {
		gone := e.record.Silent || e.record.Server.State == backend.Leaving
		if gone && now.Sub(e.lastAnnounced) > r.cfg.RemoveAfter {
			delete(r.servers, id)
			r.clearCaches()
		}
	}
}

// RestartTimeouts restarts the timeouts of all servers that are not silent, for a
// member that was disconnected itself.
func (r *Roster) RestartTimeouts(now time.Time) {
	for _, e := range r.servers {
		if !e.record.Silent {
			e.lastAnnounced = now
		}
	}
}

// Find returns the latest record of a server, and false for an unknown one.
func (r *Roster) Find(id string) (Record, bool) {
	e, ok := r.servers[id]
	if !ok {
		return Record{}, false
	}
	return e.record, true
}

// At returns the newest server at an address, and false if there is none.
func (r *Roster) At(address string) (backend.Announcement, bool) {
	e, ok := r.newestByAddress()[address]
	if !ok {
		return backend.Announcement{}, false
	}
	return e.record.Server, true
}

// LastSeen returns when the last announcement of a start of a server arrived, zero for an
// unknown one.
func (r *Roster) LastSeen(id string, incarnation uint64) time.Time {
	e, ok := r.servers[id]
	if !ok || e.record.Server.Incarnation != incarnation {
		return time.Time{}
	}
	return e.lastSeen
}

// Serving returns the servers of a service that accept new requests, ordered by id.
// Of several servers at one address only the newest incarnation is returned. The
// list is shared: callers must not change it.
func (r *Roster) Serving(service string) []Record {
	if list, ok := r.serving[service]; ok {
		return list
	}
	newest := r.newestByAddress()
	var list []Record
	for _, e := range r.servers {
		if s := e.record.Server; s.Service == service && s.State == backend.Serving && newest[s.Address].record.Server.Incarnation <= s.Incarnation {
			list = append(list, e.record)
		}
	}
	slices.SortFunc(list, func(a, b Record) int { return cmp.Compare(a.Server.ID, b.Server.ID) })
	if r.serving == nil {
		r.serving = make(map[string][]Record)
	}
	r.serving[service] = list
	return list
}

// All returns all records, ordered by id.
func (r *Roster) All() []Record {
	list := make([]Record, 0, len(r.servers))
	for _, id := range r.ids() {
		list = append(list, r.servers[id].record)
	}
	return list
}

// newestByAddress returns the newest server at each address.
func (r *Roster) newestByAddress() map[string]*serverEntry {
	if r.newest != nil {
		return r.newest
	}
	r.newest = make(map[string]*serverEntry, len(r.servers))
	for _, e := range r.servers {
		s := e.record.Server
		if other, ok := r.newest[s.Address]; !ok || s.Incarnation > other.record.Server.Incarnation {
			r.newest[s.Address] = e
		}
	}
	return r.newest
}

// clearCaches drops what is derived from the records, after a change of one.
func (r *Roster) clearCaches() { r.serving, r.newest = nil, nil }

// merge stores a record unless it is outdated, and reports whether it did.
func (r *Roster) merge(now time.Time, rec Record) bool {
	e, ok := r.servers[rec.Server.ID]
	if !ok {
		e = &serverEntry{record: rec, lastAnnounced: now, lastSeen: now}
		r.servers[rec.Server.ID] = e
		r.bumpVersion(e)
		return true
	}
	old := e.record
	if rec.Server.Incarnation == old.Server.Incarnation && rec.Server.Sequence == old.Server.Sequence && rec.Silent && !old.Silent {
		e.record.Silent = true
		r.bumpVersion(e)
		return true
	}
	if !rec.Server.IsNewerThan(old.Server) {
		return false
	}
	e.record = rec
	e.lastAnnounced, e.lastSeen = now, now
	r.clearCaches()
	if isSignificantChange(old, rec) {
		r.bumpVersion(e)
	}
	return true
}

// revive clears the silent mark after a sighting.
func (r *Roster) revive(now time.Time, e *serverEntry) {
	e.lastAnnounced, e.lastSeen = now, now
	if e.record.Silent {
		e.record.Silent = false
		r.bumpVersion(e)
	}
}

// markSighted records that a server announced itself to this member.
func (r *Roster) markSighted(now time.Time, e *serverEntry) {
	r.sightings++
	e.lastDirect, e.sighting = now, r.sightings
}

// bumpVersion increments the roster's version and records it as that of the
// server's latest change.
func (r *Roster) bumpVersion(e *serverEntry) {
	r.version++
	e.changedVersion = r.version
	r.clearCaches()
}

func (r *Roster) ids() []string {
	ids := make([]string, 0, len(r.servers))
	for id := range r.servers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// isSignificantChange reports whether the records differ in more than sequence and load.
func isSignificantChange(old, next Record) bool {
	a, b := old.Server, next.Server
	return a.Incarnation != b.Incarnation || a.State != b.State || a.Address != b.Address || a.Service != b.Service ||
		a.Release != b.Release || a.Capacity != b.Capacity || a.Zone != b.Zone || old.Silent != next.Silent
}
