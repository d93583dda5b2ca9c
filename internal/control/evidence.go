package control

import (
	"slices"
	"time"

	"rosereach/core/health"
	"rosereach/io/member"
)

// maxLoadAge is the age beyond which a load report is not passed on: queues have
// changed by then.
const maxLoadAge = 2 * time.Second

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
		reply.Loads = n.fleet.pool.Loads(now, maxLoadAge)
	}
}
