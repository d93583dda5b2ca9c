package control

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"rosereach/core/reach"
	"rosereach/core/spread"
	"rosereach/io/member"
)

// remote is the distance of an entry in another region, see member.Presence.Distance, and
// abroad stands for one in a region that is not a home of the caller's routes.
const (
	remote = 2
	abroad = 3
)

// maxAddresses is the number of addresses that a caller is given.
const maxAddresses = 64

// isAppliedByAll reports whether every entry whose presence was received within the
// last presenceTTL applies the revision.
func (f *fleet) isAppliedByAll(now time.Time, revision uint64) bool {
	for _, p := range f.entries {
		if now.Sub(p.lastReceived) < presenceTTL && p.latest.AppliedRevision < revision {
			return false
		}
	}
	return true
}

// Entries returns the addresses of the serving entries that are closest to a caller of a
// host: those of the availability zone, else those of the region, else those in home regions
// of the host's routes, else all others. When fewer than
// half of the known entries are live, this control itself is probably cut off, so
// it counts all of them as serving.
func (n *Node) Entries(host, region, zone string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.cfg.Clock.Now()
	homes := n.state.Catalog().Routes().HostHomes(host)
	var live, all []member.Presence
	for _, p := range n.fleet.entries {
		if p.latest.Draining {
			continue
		}
		all = append(all, p.latest)
		if now.Sub(p.lastReceived) < presenceTTL {
			live = append(live, p.latest)
		}
	}
	if 2*len(live) < len(all) {
		live = all
	}
	rank := func(p member.Presence) int {
		if d := p.Distance(region, zone); d < remote || homes.Allows(p.Region) {
			return d
		}
		return abroad
	}
	slices.SortFunc(live, func(a, b member.Presence) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.ID, b.ID))
	})
	nearest := abroad
	if len(live) > 0 {
		nearest = rank(live[0])
	}
	var entries []spread.Entry
	for _, p := range live {
		if rank(p) == nearest {
			entries = append(entries, spread.Entry{Address: p.Address, Cores: p.Cores, LinkMbps: p.LinkMbps})
		}
	}
	return spread.Addresses(entries, maxAddresses)
}

// relaysFor returns the entries through which an entry may reach backend servers, and
// their regions by id.
func (f *fleet) relaysFor(now time.Time, entry member.Presence) (relays []reach.Relay, regions map[string]string) {
	var candidates []reach.Relay
	regions = make(map[string]string)
	for _, p := range f.open(now) {
		regions[p.ID] = p.Region
		if p.ID != entry.ID && p.Relay != "" && !p.CutOff {
			candidates = append(candidates, reach.Relay{ID: p.ID, Address: p.Relay, IsNear: p.Distance(entry.Region, entry.Zone) < remote})
		}
	}
	relays = reach.ChooseRelays(entry.ID, candidates)
	maps.DeleteFunc(regions, func(id, _ string) bool {
		return !slices.ContainsFunc(relays, func(r reach.Relay) bool { return r.ID == id })
	})
	return relays, regions
}

// open returns the latest presences of the live entries that take requests.
func (f *fleet) open(now time.Time) []member.Presence {
	var open []member.Presence
	for _, p := range f.entries {
		if !p.latest.Draining && now.Sub(p.lastReceived) < presenceTTL {
			open = append(open, p.latest)
		}
	}
	return open
}

// leavingRelays returns the live entries that were relays and take no more requests.
func (f *fleet) leavingRelays(now time.Time) []string {
	var ids []string
	for id, p := range f.entries {
		if p.latest.Draining && p.latest.Relay != "" && now.Sub(p.lastReceived) < presenceTTL {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// openOthers returns the number of live entries that take requests, without the one with the id.
func (f *fleet) openOthers(now time.Time, id string) int {
	n := 0
	for _, p := range f.open(now) {
		if p.ID != id {
			n++
		}
	}
	return n
}

// liveEntries counts the entries whose presence was received recently. Callers
// hold n.mu.
func (n *Node) liveEntries(now time.Time) int {
	live := 0
	for _, p := range n.fleet.entries {
		if now.Sub(p.lastReceived) < presenceTTL {
			live++
		}
	}
	return live
}

// receiveWatch stores the presence and the report that an entry's watch carries.
func (n *Node) receiveWatch(r member.WatchRequest) {
	if r.Entry == nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.cfg.Clock.Now()
	n.mergePresence(now, *r.Entry, true)
	if r.Report != nil {
		n.mergeReport(*r.Report, true)
	}
	n.fleet.pool.Add(now, r.Entry.ID, r.Samples)
	n.countAnswers(now, r.Samples)
	n.mergeLimits(now, r.Limits)
	n.mergeWarmups(now, r.Warmups)
	n.fleet.speeds.Add(now, r.Speeds)
}

// receivePresence stores the presence that an entry sends between two watches, and
// passes it on to the watchers at once.
func (n *Node) receivePresence(p member.Presence) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.mergePresence(n.cfg.Clock.Now(), p, true)
	n.fleet.wakeWatchers()
	return nil
}

// mergePresence stores a presence unless it is outdated. Direct means that the
// entry sent it to this control itself. Callers hold n.mu.
func (n *Node) mergePresence(now time.Time, p member.Presence, direct bool) {
	old, known := n.fleet.entries[p.ID]
	if known && !p.IsNewerThan(old.latest) {
		return
	}
	next := presence{latest: p, lastReceived: now, lastDirect: old.lastDirect, directVersion: old.directVersion}
	if direct {
		n.fleet.direct++
		next.lastDirect, next.directVersion = now, n.fleet.direct
	}
	n.fleet.entries[p.ID] = next
	if !known || old.latest.Draining != p.Draining {
		n.fleet.openVersion++
	}
}

// mergeReport stores a report unless it is outdated. Callers hold n.mu.
func (n *Node) mergeReport(r member.Report, direct bool) {
	old, known := n.fleet.reports[r.Entry]
	if known && (r.Incarnation < old.latest.Incarnation || r.Incarnation == old.latest.Incarnation && r.Sequence <= old.latest.Sequence) {
		return
	}
	next := report{latest: r}
	if direct {
		n.fleet.direct++
		next.directVersion = n.fleet.direct
	}
	n.fleet.reports[r.Entry] = next
}

// dropExpiredEntries drops entries from which nothing has been received for
// serverRemoveAfter; draining ones are dropped sooner. Callers hold n.mu.
func (n *Node) dropExpiredEntries(now time.Time) {
	for id, p := range n.fleet.entries {
		if now.Sub(p.lastReceived) > serverRemoveAfter || p.latest.Draining && now.Sub(p.lastReceived) > 2*presenceTTL {
			delete(n.fleet.entries, id)
			delete(n.fleet.reports, id)
		}
	}
}
