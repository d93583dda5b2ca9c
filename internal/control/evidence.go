package control

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"rosereach/core/health"
	"rosereach/io/member"
)

// maxLoadAge is the age beyond which a load report is not passed on: queues have
// changed by then.
const maxLoadAge = 2 * time.Second

// loadsTTL is how long encoded load reports are sent. They are half a second old or more
// when they arrive.
const loadsTTL = 150 * time.Millisecond

// judgeServers updates the verdicts on backend servers from the entries' samples and
// answers the entries' watches if they changed. Other controls judge for themselves.
// Callers hold n.mu.
func (n *Node) judgeServers(now time.Time) {
	before := n.fleet.verdicts
	verdicts := n.fleet.pool.Verdicts(now, n.fleet.serviceOf)
	if slices.Equal(before, verdicts) {
		return
	}
	n.fleet.verdicts = verdicts
	n.fleet.verdictsVersion++
	for _, v := range verdicts {
		if !slices.Contains(before, v) {
			n.logVerdict(now, v)
		}
	}
	close(n.fleet.judged)
	n.fleet.judged = make(chan struct{})
}

// addLoads adds the load reports of all servers to a reply. They are encoded once for the
// entries that ask within loadsTTL: with 3,000 servers, encoding them takes some
// milliseconds, and 290 entries ask twice a second. Callers hold n.mu.
func (n *Node) addLoads(now time.Time, reply *member.WatchReply) {
	f := n.fleet
	if f.loads == nil || now.Sub(f.loadsAt) >= loadsTTL {
		loads, err := member.EncodeLoads(f.pool.Loads(now, maxLoadAge))
		if err != nil {
			level.Error(n.cfg.Logger).Log("msg", "Load reports can't be encoded.", "err", err)
			return
		}
		f.loads, f.loadsAt = loads, now
	}
	if len(f.loads.Reports) > 0 {
		reply.Loads, reply.LoadsAge = f.loads, now.Sub(f.loadsAt)
	}
}

// judgeSpeeds updates the lasting speeds of the servers and logs those that change. Callers
// hold n.mu.
func (n *Node) judgeSpeeds(now time.Time) {
	before := n.fleet.speeds.Version()
	n.fleet.speeds.Judge(now, func(server string) bool { return n.fleet.serviceOf(server) != "" })
	for _, e := range n.fleet.speeds.Since(before) {
		n.cfg.Logger.Log("msg", "Speed of a backend server is learned.", "server", e.Server, "incarnation", e.Incarnation, "log_ratio", e.LogRatio)
	}
}

// serviceOf returns the service of a server, empty if the server is not known.
func (f *fleet) serviceOf(server string) string {
	rec, ok := f.roster.Find(server)
	if !ok {
		return ""
	}
	return rec.Server.Service
}

func (n *Node) logVerdict(now time.Time, v health.Verdict) {
	e := n.fleet.pool.Evidence(now, v.Server)
	n.cfg.Logger.Log("msg", "Backend server fails at several entries.", "server", v.Server,
		"answers", e.Answers, "failures", e.Failures, "unreachable", e.Unreachable, "age", e.Age)
}

// addEvidence adds to a reply what an entry does not know yet about the backend
// servers' health and load. Callers hold n.mu.
func (n *Node) addEvidence(now time.Time, r member.WatchRequest, reply *member.WatchReply) {
	reply.VerdictsVersion = n.fleet.verdictsVersion
	if r.RunID != n.runID || r.VerdictsVersion != n.fleet.verdictsVersion {
		reply.Verdicts = n.fleet.verdicts
	}
	if r.WantsLoads {
		n.addLoads(now, reply)
	}
}
