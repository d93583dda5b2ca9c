package registry

import (
	"reflect"
	"slices"
	"time"

	"rosereach/core/backend"
)

// maxWant bounds the servers that one ask may name.
const maxWant = 1024

type (
	// Ask is what one entry asks another about the servers that announce
	// themselves there. Have is the version of that entry's directory that is
	// known; Want are the places in it, by id, of the servers whose lease and
	// load are of interest.
	Ask struct {
		Have uint64   `json:"have"`
		Want []uint16 `json:"want,omitempty"`
	}

	// Told answers an ask. Members is the whole directory, without loads, when
	// it is newer than what the ask had; Fresh is empty then.
	Told struct {
		Version uint64                 `json:"version"`
		Members []backend.Announcement `json:"members,omitempty"`
		Fresh   []Fresh                `json:"fresh,omitempty"`
	}

	// Fresh is the newest announcement of the server at a place, less what the
	// directory holds. It is encoded as a list, because entries exchange many
	// each second. Age and LoadAge are in milliseconds, CacheUsed in
	// thousandths and TokenInterval in microseconds.
	Fresh struct {
		_             struct{} `cbor:",toarray"`
		Place         uint16
		Sequence      uint64
		Age           int64
		LoadAge       int64
		Queued        int
		Running       int
		CacheUsed     int
		TokenInterval int64
	}

	// directory is the servers that one entry hears of directly. Version grows
	// when a server comes, goes or changes in more than its load.
	directory struct {
		version uint64
		members map[string]backend.Announcement
	}
)

func newDirectory(version uint64) directory {
	return directory{version: version, members: make(map[string]backend.Announcement)}
}

// put adds a server and reports whether that changed the directory.
func (d *directory) put(a backend.Announcement) bool {
	a.Load = backend.Load{}
	old, known := d.members[a.ID]
	same := a
	same.Sequence = old.Sequence
	if known && reflect.DeepEqual(old, same) {
		return false
	}
	d.members[a.ID] = a
	d.version++
	return true
}

func (d *directory) remove(id string) bool {
	if _, ok := d.members[id]; !ok {
		return false
	}
	delete(d.members, id)
	d.version++
	return true
}

// list returns the members ordered by id, which gives each its place.
func (d *directory) list() []backend.Announcement {
	members := make([]backend.Announcement, 0, len(d.members))
	for _, a := range d.members {
		members = append(members, a)
	}
	sortByID(members)
	return members
}

// Answer tells another entry about the servers that announce themselves here.
func (r *Registry) Answer(now time.Time, ask Ask) Told {
	told := Told{Version: r.own.version}
	members := r.own.list()
	if ask.Have != told.Version {
		told.Members = members
		return told
	}
	for _, place := range ask.Want[:min(len(ask.Want), maxWant)] {
		if int(place) >= len(members) {
			continue
		}
		if m, ok := r.servers[members[place].ID]; ok {
			told.Fresh = append(told.Fresh, r.freshOf(now, place, m))
		}
	}
	return told
}

func (r *Registry) freshOf(now time.Time, place uint16, m member) Fresh {
	load := m.said.Load
	return Fresh{
		Place: place, Sequence: m.said.Sequence, Age: (r.lease - m.expires.Sub(now)).Milliseconds(),
		LoadAge: now.Sub(load.At).Milliseconds(), Queued: load.Queued, Running: load.Running,
		CacheUsed: int(load.CacheUsed * 1000), TokenInterval: load.TokenInterval.Microseconds(),
	}
}

// announcement returns what the server said at the time that the ask was sent.
func (f Fresh) announcement(sent time.Time, a backend.Announcement) backend.Announcement {
	a.Sequence = f.Sequence
	a.Load = backend.Load{
		At: sent.Add(-time.Duration(f.LoadAge) * time.Millisecond), Queued: f.Queued, Running: f.Running,
		CacheUsed: float64(f.CacheUsed) / 1000, TokenInterval: time.Duration(f.TokenInterval) * time.Microsecond,
	}
	return a
}

// Asks returns what to ask each of the homes: about those of the subset's
// servers that announce themselves there and not here.
func (r *Registry) Asks(homes []string) map[string]Ask {
	r.refresh()
	asks := make(map[string]Ask, len(homes))
	for _, home := range homes {
		asks[home] = Ask{Have: r.homes[home].version, Want: r.subset.wants[home]}
	}
	return asks
}

// Learn takes a home's answer to an ask that was sent at the given time. Ages
// count from then, so that a late answer makes no lease longer.
func (r *Registry) Learn(sent time.Time, home string, told Told) {
	d := r.homes[home]
	if told.Version > d.version {
		d = newDirectory(told.Version)
		for _, a := range told.Members {
			d.members[a.ID] = a
			r.learnLeaving(sent, a)
		}
		r.homes[home] = d
		r.subset.stale()
	}
	if told.Version != d.version {
		return
	}
	members := d.list()
	for _, f := range told.Fresh {
		if int(f.Place) < len(members) {
			r.observe(sent, time.Duration(f.Age)*time.Millisecond, f.announcement(sent, members[f.Place]))
		}
	}
}

// Keep forgets the directories of all other homes.
func (r *Registry) Keep(homes []string) {
	for home := range r.homes {
		if !slices.Contains(homes, home) {
			delete(r.homes, home)
			r.subset.stale()
		}
	}
}

// learnLeaving takes over that a server leaves, which is final.
func (r *Registry) learnLeaving(sent time.Time, a backend.Announcement) {
	if a.State == backend.Leaving {
		r.observe(sent, 0, a)
	}
}

// wants returns the servers of the subset that each home is to be asked about.
func (r *Registry) wants() map[string][]uint16 {
	chosen := make(map[string]bool)
	for _, members := range r.subset.groups {
		for _, id := range members {
			_, own := r.own.members[id]
			chosen[id] = !own
		}
	}
	wants := make(map[string][]uint16)
	for home, d := range r.homes {
		for place, a := range d.list() {
			if chosen[a.ID] {
				wants[home] = append(wants[home], uint16(place))
			}
		}
	}
	return wants
}

// Known returns every server of a plain service that is in a directory, also
// beyond the subset and after its lease.
func (r *Registry) Known(service string) []backend.Announcement {
	seen := make(map[string]bool)
	var known []backend.Announcement
	r.eachKnown(func(a backend.Announcement) {
		if a.Kind == backend.Plain && a.Service == service && !seen[a.ID] {
			seen[a.ID] = true
			known = append(known, a)
		}
	})
	sortByID(known)
	return known
}

func (r *Registry) eachKnown(f func(backend.Announcement)) {
	for _, a := range r.own.members {
		f(a)
	}
	for _, d := range r.homes {
		for _, a := range d.members {
			f(a)
		}
	}
}
