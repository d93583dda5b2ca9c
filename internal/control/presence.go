package control

import (
	"cmp"
	"slices"
	"time"

	"rosereach/io/member"
)

// applies reports whether all entries that were heard of lately apply the
// revision.
func (f *fleet) applies(now time.Time, revision uint64) bool {
	for _, p := range f.entries {
		if now.Sub(p.heard) < presenceLife && p.said.Applied < revision {
			return false
		}
	}
	return true
}

// Entries returns the addresses of the entries that serve, those of the
// availability zone first, then those of the region. A control that has lost
// sight of most entries is more likely cut off itself: it goes on naming them.
func (n *Node) Entries(region, zone string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.cfg.Clock.Now()
	var live, all []member.Presence
	for _, p := range n.fleet.entries {
		if p.said.Draining {
			continue
		}
		all = append(all, p.said)
		if now.Sub(p.heard) < presenceLife {
			live = append(live, p.said)
		}
	}
	if 2*len(live) < len(all) {
		live = all
	}
	rank := func(p member.Presence) int {
		switch {
		case p.Zone == zone:
			return 0
		case p.Region == region:
			return 1
		}
		return 2
	}
	slices.SortFunc(live, func(a, b member.Presence) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.ID, b.ID))
	})
	best := 2
	if len(live) > 0 {
		best = rank(live[0])
	}
	var addresses []string
	for _, p := range live {
		if rank(p) == best {
			addresses = append(addresses, p.Address)
		}
	}
	return addresses
}

func (n *Node) liveEntries(now time.Time) int {
	live := 0
	for _, p := range n.fleet.entries {
		if now.Sub(p.heard) < presenceLife {
			live++
		}
	}
	return live
}

// hearEntry notes the entry that asks, and what it counted.
func (n *Node) hearEntry(r member.WatchRequest) {
	if r.Entry == nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.cfg.Clock.Now()
	n.learnEntry(now, *r.Entry, true)
	if r.Report != nil {
		n.learnReport(*r.Report, true)
	}
}

// hearPresence takes what an entry says of itself between two questions, and
// passes it on at once.
func (n *Node) hearPresence(p member.Presence) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.learnEntry(n.cfg.Clock.Now(), p, true)
	n.fleet.wake()
	return nil
}

func (n *Node) learnEntry(now time.Time, p member.Presence, direct bool) {
	old, known := n.fleet.entries[p.ID]
	if known && !p.IsNewerThan(old.said) {
		return
	}
	next := presence{said: p, heard: now, direct: old.direct}
	if direct {
		next.direct = now
	}
	n.fleet.entries[p.ID] = next
}

func (n *Node) learnReport(r member.Report, direct bool) {
	old, known := n.fleet.reports[r.Entry]
	if known && (r.Incarnation < old.said.Incarnation || r.Incarnation == old.said.Incarnation && r.Sequence <= old.said.Sequence) {
		return
	}
	n.fleet.reports[r.Entry] = report{said: r, direct: direct}
}

// forgetEntries drops entries that were not heard for long. Callers hold n.mu.
func (n *Node) forgetEntries(now time.Time) {
	for id, p := range n.fleet.entries {
		if now.Sub(p.heard) > serverForget || p.said.Draining && now.Sub(p.heard) > 2*presenceLife {
			delete(n.fleet.entries, id)
			delete(n.fleet.reports, id)
		}
	}
}
