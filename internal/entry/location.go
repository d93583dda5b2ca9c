package entry

import (
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"rosereach/core/backend"
	"rosereach/core/catalog"
	"rosereach/core/forward"
	"rosereach/core/residency"
	"rosereach/core/retry"
	"rosereach/core/roster"
	"rosereach/core/route"
	"rosereach/core/warmup"
	"rosereach/io/member"
)

// The reasons why an attempt is not sent to a server because of where it is, or because it
// warms up.
const (
	withheldRegion    = "region"
	withheldEvacuated = "evacuated"
	withheldCold      = "cold"
)

// homes returns the regions in which the request may be handled. A plan that no control
// with a majority has confirmed since the entry started may be older than one that names
// more homes; until then, requests stay in the entry's own region as well.
func (x *activeRequest) homes() residency.Homes {
	e := x.forwarder.entry
	homes := route.Homes(x.route, x.workspace)
	if e.catalog.Load().Routes().HasHomes() && !x.forwarder.watcher.planConfirmed.Load() {
		homes = homes.And(residency.Of([]string{e.cfg.Region}))
	}
	return homes
}

// confirmPlan records whether the documents in force are as new as a control with a majority
// says. Once they were, later ones arrive within the time that is allowed for that.
func (w *watcher) confirmPlan(reply member.WatchReply) {
	if reply.Current && reply.DocumentsRevision > 0 && w.entry.catalog.Load().Revision() >= reply.DocumentsRevision {
		w.planConfirmed.Store(true)
	}
}

// located returns the servers of the list in the given regions and in zones that are not
// evacuated. Callers hold f.mu.
func (f *forwarder) located(homes residency.Homes, list []roster.Record) []roster.Record {
	c := f.entry.catalog.Load()
	if !homes.IsRestricted() && len(c.EvacuatedZones()) == 0 {
		return list
	}
	return filterRecords(list, func(r roster.Record) bool { return homes.Allows(r.Server.Region) && !c.IsEvacuated(r.Server.Zone) })
}

// checkLocation checks where an attempt is about to go. The plan and the evacuations may
// have changed since its server was chosen. Callers hold f.mu.
func (f *forwarder) checkLocation(a *attempt) error {
	switch {
	case !a.homes.Allows(a.server.Region):
		a.withheld = withheldRegion
		return errors.Errorf("backend server %s is in region %s, not in a home region (%s)", a.server.ID, a.server.Region, a.homes)
	case f.entry.catalog.Load().IsEvacuated(a.server.Zone):
		a.withheld = withheldEvacuated
		return errors.Errorf("availability zone %s of backend server %s is evacuated", a.server.Zone, a.server.ID)
	}
	return nil
}

// viaOf returns the restriction on instances that a connection may pass through.
func viaOf(homes residency.Homes) func(region string) bool {
	if !homes.IsRestricted() {
		return nil
	}
	return homes.Allows
}

// unlocatedFailure returns the failure of a request whose service has servers, but none
// where the request may go.
func (x *activeRequest) unlocatedFailure() (*forward.Failure, bool) {
	if x.runs > 0 {
		return nil, false
	}
	f, homes := x.forwarder, x.homes()
	f.mu.Lock()
	all := f.roster.Serving(x.service)
	located := f.located(homes, all)
	wait := retry.WithJitter(minNoServerRetryAfter, f.random)
	f.mu.Unlock()
	if len(all) == 0 || len(located) > 0 {
		return nil, false
	}
	f.unlocated.Add(1)
	evacuated := f.entry.catalog.Load().EvacuatedZones()
	level.Debug(x.log()).Log("msg", "No backend server is where the request may go.", "id", x.req.ID, "homes", homes, "evacuated", len(evacuated), "servers", len(all))
	return &forward.Failure{
		Code: forward.NoServer, Detail: "no backend server is in a home region and in a zone that is not evacuated",
		RetryAfter: min(wait, x.deadline.Sub(x.now())/retryAfterDivisor),
	}, true
}

// warmupRate returns the requests a second that a server bears while it warms up.
func (f *forwarder) warmupRate(server backend.Announcement) float64 {
	return f.entry.catalog.Load().Routes().WarmupRate(server.Service)
}

// allowsWarmup reports whether the server is warm or may get a request of this entry while
// it warms up. Callers hold f.mu.
func (f *forwarder) allowsWarmup(now time.Time, server backend.Announcement) bool {
	return f.warmups.Allows(now, server.ID, server.Incarnation, f.warmupRate(server))
}

// warmupWait returns how long it takes until the server may get a request of this entry, 0
// if it may now, and at which rate it gets more. Callers hold f.mu.
func (f *forwarder) warmupWait(now time.Time, server backend.Announcement) (time.Duration, float64) {
	return f.warmups.Wait(now, server.ID, server.Incarnation, f.warmupRate(server))
}

// takeWarmupPlace takes the place of an attempt at a server that warms up. Callers hold
// f.mu.
func (f *forwarder) takeWarmupPlace(now time.Time, a *attempt) error {
	if a.warming {
		return nil
	}
	taken, ok := f.warmups.Take(now, a.server.ID, a.server.Incarnation, f.warmupRate(a.server))
	if !ok {
		a.withheld = withheldCold
		return errors.Errorf("backend server %s warms up and gets no more requests of this entry for the moment", a.server.ID)
	}
	a.warming = taken
	return nil
}

// observeWarmup records that an answer says that its server warms up. The controls learn
// of it with the next watch. Callers hold f.mu.
func (f *forwarder) observeWarmup(now time.Time, server backend.Announcement, head forward.Head, requestID string) {
	if f.warmups.ObserveDirect(now, warmup.Notice{Server: server.ID, Incarnation: server.Incarnation, Remaining: head.Warmup}) {
		level.Info(f.entry.cfg.Logger).Log("msg", "Backend server warms up.", "id", requestID, "server", server.ID, "incarnation", server.Incarnation,
			"for", head.Warmup, "rate", f.warmupRate(server))
	}
}

// startWarmups takes the servers of zones whose evacuation ends to be cold.
func (f *forwarder) startWarmups(old, next *catalog.Catalog) {
	before, zones := old.EvacuatedZones(), next.EvacuatedZones()
	if slices.Equal(before, zones) {
		return
	}
	level.Info(f.entry.cfg.Logger).Log("msg", "Evacuated zones change.", "revision", next.Revision(), "evacuated", strings.Join(zones, ","))
	now := f.entry.cfg.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.roster.All() {
		remaining := next.WarmupAfter(before, r.Server.Service, r.Server.Zone)
		f.warmups.Observe(now, warmup.Notice{Server: r.Server.ID, Incarnation: r.Server.Incarnation, Remaining: remaining})
	}
}

// addWarmups adds the servers that warm up to a watch request.
func (f *forwarder) addWarmups(r *member.WatchRequest, s *watchState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r.WarmupsVersion = max(s.warmupsVersion, warmup.NoVersion)
	r.Warmups = f.warmups.DirectNotices(f.entry.cfg.Clock.Now())
}

// applyWarmups applies the servers that warm up as a control knows them, and this entry's
// positions among the entries that may use them.
func (f *forwarder) applyWarmups(now time.Time, reply member.WatchReply, s *watchState) {
	s.warmupsVersion = reply.WarmupsVersion
	f.mu.Lock()
	defer f.mu.Unlock()
	ranks := make(map[string]warmup.Rank, len(reply.Ranks))
	for _, r := range reply.Ranks {
		ranks[r.Server] = r
	}
	for _, n := range reply.Warmups {
		f.warmups.Observe(now, n)
		if !reply.Current || !reply.HasRanks {
			continue
		}
		rank, ok := ranks[n.Server]
		if !ok || rank.Incarnation != n.Incarnation {
			rank = warmup.Rank{Server: n.Server, Incarnation: n.Incarnation, Rank: warmup.MaxRank}
		}
		f.warmups.Rank(now, rank)
	}
}

// countWarming returns the number of servers that warm up as far as the entry knows.
func (f *forwarder) countWarming() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.warmups.Count(f.entry.cfg.Clock.Now())
}
