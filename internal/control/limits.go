package control

import (
	"time"

	"rosereach/core/pacing"
	"rosereach/io/member"
)

// sharesAfter is how long after its start a control shares out limits: by then it has heard
// of all entries that reach it or another control.
const sharesAfter = presenceTTL + watchMaxWait

// receiveLimits adds what an entry has heard of servers' limits.
func (n *Node) receiveLimits(words []pacing.Word) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.mergeLimits(n.cfg.Clock.Now(), words)
	return nil
}

// mergeLimits adds words about servers' limits, and answers the watches if any changes one.
// Callers hold n.mu.
func (n *Node) mergeLimits(now time.Time, words []pacing.Word) {
	changes := n.fleet.limits.Add(now, words)
	if len(changes) == 0 {
		return
	}
	for _, w := range changes {
		n.cfg.Logger.Log("msg", "Limit of a backend server changes.", "server", w.Server, "incarnation", w.Incarnation, "limit", w.PerSecond, "age", w.Age)
	}
	n.fleet.hasPeerNews = true
	close(n.fleet.judged)
	n.fleet.judged = make(chan struct{})
}

// addShares adds the servers' limits and the entry's parts of them to a reply. A control
// that may be cut off knows too few entries to share anything out. Callers hold n.mu.
func (n *Node) addShares(now time.Time, entry string, reply *member.WatchReply) {
	f := n.fleet
	reply.LimitsVersion = f.limits.Version()
	reply.Limits = f.limits.Words(now)
	reply.HasShares = f.isCurrent && now.Sub(f.since) >= sharesAfter
	if !reply.HasShares || len(reply.Limits) == 0 {
		return
	}
	reply.Shares = f.limits.Shares(entry, func(server string) ([]pacing.Member, bool) {
		rec, ok := f.roster.Find(server)
		if !ok {
			return nil, false
		}
		return f.members(now, rec.Server.Region, rec.Server.Zone), true
	})
}

// members returns the live entries that take requests, with their distances from a place.
func (f *fleet) members(now time.Time, region, zone string) []pacing.Member {
	var members []pacing.Member
	for _, p := range f.open(now) {
		members = append(members, pacing.Member{ID: p.ID, Distance: p.Distance(region, zone)})
	}
	return members
}
