// Package roster keeps what is known of the backend servers of a fleet, merged
// from their own announcements and from what other members heard. Members
// exchange deltas; nothing in it is durable, as servers announce themselves
// again and again.
package roster

import (
	"cmp"
	"slices"
	"time"

	"rosereach/core/backend"
)

type (
	// Record is the newest that is known of one backend server. Silent says
	// that no member has heard it for a while; it may still serve.
	Record struct {
		Server backend.Announcement `json:"server"`
		Silent bool                 `json:"silent,omitempty"`
	}

	// Delta holds the records that changed after a version of a roster.
	Delta struct {
		Version uint64     `json:"version"`
		Records []Record   `json:"records,omitempty"`
		Heard   []Sighting `json:"heard,omitempty"`
	}

	// Sighting says that a member heard a server itself.
	Sighting struct {
		_           struct{} `cbor:",toarray"`
		ID          string
		Incarnation uint64
		Sequence    uint64
	}

	// Terms are a roster's times. A server that nobody heard for SilentAfter is
	// marked; a leaving or silent one is forgotten after ForgetAfter.
	Terms struct {
		SilentAfter time.Duration
		ForgetAfter time.Duration
	}

	// Roster is one member's view. It is not safe for concurrent use.
	Roster struct {
		terms   Terms
		version uint64
		servers map[string]*known
	}

	known struct {
		record  Record
		changed uint64
		heard   time.Time
		direct  time.Time
	}
)

// New returns an empty roster. Versions count from the start value, which has
// to grow with each start of the process.
func New(terms Terms, start uint64) *Roster {
	return &Roster{terms: terms, version: start, servers: make(map[string]*known)}
}

// Version grows with every change.
func (r *Roster) Version() uint64 { return r.version }

// Observe takes an announcement that the server made to this member, and
// reports whether it changed what others need to know. Late and repeated ones
// change nothing.
func (r *Roster) Observe(now time.Time, a backend.Announcement) bool {
	before := r.version
	if r.merge(now, Record{Server: a}) {
		r.servers[a.ID].direct = now
	}
	return r.version != before
}

// Leave takes a server's word that it goes. Incarnation 0 stands for the one
// that is known.
func (r *Roster) Leave(now time.Time, id string, incarnation uint64) bool {
	k, ok := r.servers[id]
	if !ok || incarnation != 0 && incarnation < k.record.Server.Incarnation || k.record.Server.State == backend.Leaving {
		return false
	}
	k.record.Server.State = backend.Leaving
	k.record.Server.Sequence++
	k.record.Server.Incarnation = max(k.record.Server.Incarnation, incarnation)
	k.heard, k.direct = now, now
	r.touch(k)
	return true
}

// Learn takes another member's delta.
func (r *Roster) Learn(now time.Time, d Delta) {
	for _, rec := range d.Records {
		r.merge(now, rec)
	}
	for _, s := range d.Heard {
		k, ok := r.servers[s.ID]
		if !ok || k.record.Server.Incarnation != s.Incarnation || s.Sequence < k.record.Server.Sequence {
			continue
		}
		k.record.Server.Sequence = s.Sequence
		r.revive(now, k)
	}
}

// Delta returns what changed after a version of this roster.
func (r *Roster) Delta(after uint64) Delta {
	d := Delta{Version: r.version}
	for _, id := range r.ids() {
		if k := r.servers[id]; k.changed > after {
			d.Records = append(d.Records, k.record)
		}
	}
	return d
}

// HeardSince returns the servers that announced themselves to this member
// after the time.
func (r *Roster) HeardSince(since time.Time) []Sighting {
	var heard []Sighting
	for _, id := range r.ids() {
		k := r.servers[id]
		if k.direct.After(since) {
			s := k.record.Server
			heard = append(heard, Sighting{ID: s.ID, Incarnation: s.Incarnation, Sequence: s.Sequence})
		}
	}
	return heard
}

// Expire marks servers that nobody has heard for a while and forgets old ones.
func (r *Roster) Expire(now time.Time) {
	for id, k := range r.servers {
		idle := now.Sub(k.heard)
		if !k.record.Silent && idle > r.terms.SilentAfter {
			k.record.Silent = true
			r.touch(k)
		}
		if idle > r.terms.ForgetAfter {
			delete(r.servers, id)
		}
	}
}

// ForgetGone forgets servers that left, or that were called silent, a while ago,
// for a member that is told of changes only.
func (r *Roster) ForgetGone(now time.Time) {
	for id, k := range r.servers {
		gone := k.record.Silent || k.record.Server.State == backend.Leaving
		if gone && now.Sub(k.heard) > r.terms.ForgetAfter {
			delete(r.servers, id)
		}
	}
}

// Forgive restarts the time after which servers count as silent, for a member
// that was cut off itself.
func (r *Roster) Forgive(now time.Time) {
	for _, k := range r.servers {
		if !k.record.Silent {
			k.heard = now
		}
	}
}

// Find returns the newest record of a server.
func (r *Roster) Find(id string) (Record, bool) {
	k, ok := r.servers[id]
	if !ok {
		return Record{}, false
	}
	return k.record, true
}

// Serving returns the servers of a service that take new work, ordered by id.
// Of several at one address only the newest incarnation counts.
func (r *Roster) Serving(service string) []Record {
	var list []Record
	for _, k := range r.servers {
		if s := k.record.Server; s.Service == service && s.State == backend.Serving && !r.isReplaced(s) {
			list = append(list, k.record)
		}
	}
	slices.SortFunc(list, func(a, b Record) int { return cmp.Compare(a.Server.ID, b.Server.ID) })
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

func (r *Roster) isReplaced(s backend.Announcement) bool {
	for _, k := range r.servers {
		other := k.record.Server
		if other.Address == s.Address && other.ID != s.ID && other.Incarnation > s.Incarnation {
			return true
		}
	}
	return false
}

// merge takes a record unless a newer one is known.
func (r *Roster) merge(now time.Time, rec Record) bool {
	k, ok := r.servers[rec.Server.ID]
	if !ok {
		k = &known{record: rec, heard: now}
		r.servers[rec.Server.ID] = k
		r.touch(k)
		return true
	}
	old := k.record
	if rec.Server.Incarnation == old.Server.Incarnation && rec.Server.Sequence == old.Server.Sequence && rec.Silent && !old.Silent {
		k.record.Silent = true
		r.touch(k)
		return true
	}
	if !rec.Server.IsNewerThan(old.Server) {
		return false
	}
	k.record = rec
	k.heard = now
	if isNews(old, rec) {
		r.touch(k)
	}
	return true
}

func (r *Roster) revive(now time.Time, k *known) {
	k.heard = now
	if k.record.Silent {
		k.record.Silent = false
		r.touch(k)
	}
}

func (r *Roster) touch(k *known) {
	r.version++
	k.changed = r.version
}

func (r *Roster) ids() []string {
	ids := make([]string, 0, len(r.servers))
	for id := range r.servers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// isNews reports whether a record differs in more than its sequence and load.
func isNews(old, next Record) bool {
	a, b := old.Server, next.Server
	return a.Incarnation != b.Incarnation || a.State != b.State || a.Address != b.Address || a.Service != b.Service ||
		a.Release != b.Release || a.Capacity != b.Capacity || a.Zone != b.Zone || old.Silent != next.Silent
}
