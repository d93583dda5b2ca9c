// Package lease implements both sides of the serving lease, the holder's and the
// grantor's. An entry dispatches requests only while it holds a lease, and a
// change is in force once every entry with a live lease has applied it.
package lease

import (
	"time"
)

type (
	// Config configures the leases.
	Config struct {
		// Duration is how long a lease lasts unless it is renewed.
		Duration time.Duration
		// MaxClockDrift is the fraction by which an entry's clock may run slower than
		// the grantor's.
		MaxClockDrift float64
		// MaxApplyLag is how long an entry may be behind a committed revision before its
		// lease is no longer renewed.
		MaxApplyLag time.Duration
	}

	// Request asks for a lease, or for its renewal.
	Request struct {
		Entry       string `json:"entry"`
		Incarnation uint64 `json:"incarnation"`
		Sequence    uint64 `json:"sequence"`
		// Applied is the revision of the documents that the entry has applied.
		Applied  uint64 `json:"applied"`
		Address  string `json:"address"`
		Region   string `json:"region"`
		Zone     string `json:"availability_zone"`
		Draining bool   `json:"draining"`
		Load     int    `json:"load"`
		// ListVersion is the version of the entry list that the entry has, or 0.
		ListVersion uint64 `json:"list,omitempty"`
	}

	// Grant answers a request.
	Grant struct {
		Sequence uint64 `json:"sequence"`
		Granted  bool   `json:"granted"`
		// Duration counts from when the request was sent.
		Duration time.Duration `json:"duration"`
		// Term is the leader's term.
		Term     uint64 `json:"term"`
		Revision uint64 `json:"revision"`
		// ListVersion is the current version of the entry list. Entries is the list, and
		// is left out when the request already had this version.
		ListVersion uint64  `json:"list"`
		Entries     []Entry `json:"entries,omitempty"`
	}

	// Entry is the grantor's record of one entry.
	Entry struct {
		ID          string    `json:"id"`
		Incarnation uint64    `json:"incarnation"`
		Address     string    `json:"address"`
		Region      string    `json:"region"`
		Zone        string    `json:"availability_zone"`
		Applied     uint64    `json:"applied"`
		Draining    bool      `json:"draining"`
		Load        int       `json:"load"`
		Expires     time.Time `json:"expires"`
	}

	// Holder is the entry's side of a lease. It is not safe for concurrent use.
	Holder struct {
		sequence uint64
		sentAt   time.Time
		expires  time.Time
		term     uint64
	}

	// Grantor is the leader's side of all leases. It is not safe for concurrent
	// use.
	Grantor struct {
		cfg     Config
		entries map[process]Entry
		// newestIncarnation holds the highest incarnation of each entry id.
		newestIncarnation map[string]uint64
	}

	// process is one run of an entry. An earlier run may still hold its lease
	// when a later run requests one.
	process struct {
		id          string
		incarnation uint64
	}
)

// DefaultConfig returns the configuration that control and entry use by default.
func DefaultConfig() Config {
	return Config{Duration: 3 * time.Second, MaxClockDrift: 0.01, MaxApplyLag: 2 * time.Second}
}

// HolderDuration returns how long the holder may rely on a lease of the given
// duration: the duration minus the maximum clock drift.
func (c Config) HolderDuration(d time.Duration) time.Duration {
	return d - time.Duration(float64(d)*c.MaxClockDrift)
}

// StartRequest records that a request is sent now and returns its sequence.
func (h *Holder) StartRequest(now time.Time) uint64 {
	h.sequence++
	h.sentAt = now
	return h.sequence
}

// Receive processes a grant. It ignores a grant that does not answer the newest
// request, and one of an older term than the last.
func (h *Holder) Receive(cfg Config, g Grant) {
	if !g.Granted || g.Sequence != h.sequence || g.Term < h.term {
		return
	}
	h.term = g.Term
	h.expires = h.sentAt.Add(cfg.HolderDuration(g.Duration))
}

// IsLive reports whether the holder may dispatch now.
func (h *Holder) IsLive(now time.Time) bool { return now.Before(h.expires) }

// Expires returns when the lease ends unless it is renewed.
func (h *Holder) Expires() time.Time { return h.expires }

// Release gives up the lease at once.
func (h *Holder) Release() { h.expires = time.Time{} }

// NewGrantor returns a grantor without entries.
func NewGrantor(cfg Config) *Grantor {
	return &Grantor{cfg: cfg, entries: make(map[process]Entry), newestIncarnation: make(map[string]uint64)}
}

// Grant decides on a request. Overdue is the newest revision that was committed
// longer ago than the maximum lag: an entry behind it gets no lease, and neither
// does an earlier incarnation of an entry that has restarted.
func (g *Grantor) Grant(now time.Time, term, overdue uint64, r Request) Grant {
	grant := Grant{Sequence: r.Sequence, Term: term, Revision: r.Applied}
	if g.newestIncarnation[r.Entry] > r.Incarnation {
		return grant
	}
	g.newestIncarnation[r.Entry] = r.Incarnation
	p := process{id: r.Entry, incarnation: r.Incarnation}
	e := Entry{
		ID: r.Entry, Incarnation: r.Incarnation, Address: r.Address, Region: r.Region, Zone: r.Zone,
		Applied: max(r.Applied, g.entries[p].Applied), Draining: r.Draining, Load: r.Load, Expires: g.entries[p].Expires,
	}
	if r.Applied >= overdue {
		grant.Granted = true
		grant.Duration = g.cfg.Duration
		e.Expires = now.Add(g.cfg.Duration)
	}
	g.entries[p] = e
	return grant
}

// Release ends an entry's lease at once, when the entry has reported that it stopped.
func (g *Grantor) Release(id string, incarnation uint64) {
	delete(g.entries, process{id: id, incarnation: incarnation})
}

// InForce reports whether every entry with a live lease has applied the revision.
func (g *Grantor) InForce(now time.Time, revision uint64) bool {
	for _, e := range g.entries {
		if now.Before(e.Expires) && e.Applied < revision {
			return false
		}
	}
	return true
}

// IsLive reports whether the entry's lease may still hold.
func (g *Grantor) IsLive(now time.Time, id string, incarnation uint64) bool {
	e, ok := g.entries[process{id: id, incarnation: incarnation}]
	return ok && now.Before(e.Expires)
}

// Live returns the entries with a live lease, in no order. Of an entry that has
// restarted it returns only the newest incarnation.
func (g *Grantor) Live(now time.Time) []Entry {
	var live []Entry
	for p, e := range g.entries {
		if now.Before(e.Expires) && g.newestIncarnation[p.id] == p.incarnation {
			live = append(live, e)
		}
	}
	return live
}

// Expire removes and returns the entries whose lease has ended.
func (g *Grantor) Expire(now time.Time) []Entry {
	var expired []Entry
	for p, e := range g.entries {
		if now.Before(e.Expires) {
			continue
		}
		expired = append(expired, e)
		delete(g.entries, p)
	}
	return expired
}
