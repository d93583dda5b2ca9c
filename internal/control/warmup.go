package control

import (
	"slices"
	"strings"
	"time"

	"rosereach/core/backend"
	"rosereach/core/warmup"
	"rosereach/io/member"
)

// rankingTTL is how long the ranking of the entries for servers that warm up is kept. It
// changes only when entries come and go.
const rankingTTL = 500 * time.Millisecond

// observeWarmup records how long a server still warms up, by an announcement that is its
// newest. A late one would prolong the time. Callers hold n.mu.
func (n *Node) observeWarmup(now time.Time, a backend.Announcement, remaining time.Duration) {
	rec, ok := n.fleet.roster.Find(a.ID)
	if !ok || rec.Server.Incarnation != a.Incarnation || rec.Server.Sequence != a.Sequence {
		return
	}
	notice := warmup.Notice{Server: a.ID, Incarnation: a.Incarnation, Remaining: remaining}
	if n.fleet.warmups.ObserveDirect(now, notice) {
		n.cfg.Logger.Log("msg", "Backend server warms up.", "server", a.ID, "service", a.Service, "for", remaining)
		n.fleet.wakeWatchers()
	}
}

// mergeWarmups adds what entries and other controls know. Callers hold n.mu.
func (n *Node) mergeWarmups(now time.Time, notices []warmup.Notice) {
	news := false
	for _, notice := range notices {
		news = n.fleet.warmups.Observe(now, notice) || news
	}
	if news {
		n.fleet.wakeWatchers()
	}
}

// startWarmups takes the servers of zones whose evacuation has ended to be cold, for entries
// that start meanwhile; the others do it themselves. Callers hold n.mu.
func (n *Node) startWarmups(now time.Time) {
	c := n.state.Catalog()
	before := n.fleet.evacuatedZones
	n.fleet.evacuatedZones = c.EvacuatedZones()
	if slices.Equal(before, n.fleet.evacuatedZones) {
		return
	}
	n.cfg.Logger.Log("msg", "Evacuated zones change.", "revision", c.Revision(), "evacuated", strings.Join(n.fleet.evacuatedZones, ","))
	for _, r := range n.fleet.roster.All() {
		remaining := c.WarmupAfter(before, r.Server.Service, r.Server.Zone)
		n.fleet.warmups.Observe(now, warmup.Notice{Server: r.Server.ID, Incarnation: r.Server.Incarnation, Remaining: remaining})
	}
	n.fleet.wakeWatchers()
}

// addWarmups adds the servers that warm up and the entry's positions among those that may
// use them to a reply. Callers hold n.mu.
func (n *Node) addWarmups(now time.Time, entry string, reply *member.WatchReply) {
	f := n.fleet
	reply.WarmupsVersion = f.warmups.Version()
	reply.Warmups = f.warmups.Notices(now)
	reply.HasRanks = f.isCurrent && now.Sub(f.since) >= sharesAfter
	if !reply.HasRanks || len(reply.Warmups) == 0 {
		return
	}
	if now.Sub(f.rankedAt) >= rankingTTL {
		f.rankings, f.rankedAt = make(map[string]warmup.Ranking), now
	}
	for _, notice := range reply.Warmups {
		ranking, ok := f.rankings[notice.Server]
		if !ok {
			rec, known := f.roster.Find(notice.Server)
			if !known {
				continue
			}
			ranking = warmup.RankAll(notice.Server, f.members(now, rec.Server.Region, rec.Server.Zone))
			f.rankings[notice.Server] = ranking
		}
		if rank := ranking.Of(entry); rank < warmup.MaxRank {
			reply.Ranks = append(reply.Ranks, warmup.Rank{Server: notice.Server, Incarnation: notice.Incarnation, Rank: rank})
		}
	}
}
