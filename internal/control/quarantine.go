package control

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"rosereach/core/health"
	"rosereach/core/quarantine"
	"rosereach/io/member"
)

const (
	// maxEvidence is the number of reports that are kept for other controls, and
	// evidenceRetention how long they are: a control that starts anew gets them.
	maxEvidence       = 512
	evidenceRetention = time.Minute
)

// evidence is a report about prompt parts that other controls get.
type evidence struct {
	report        quarantine.Report
	receivedAt    time.Time
	directVersion uint64
}

// receiveEvidence adds an entry's report about prompt parts.
func (n *Node) receiveEvidence(r quarantine.Report) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.cfg.Clock.Now()
	if n.fleet.parts.Add(now, r) {
		r.Sound = nil
		n.shareEvidence(now, r)
	}
	return nil
}

// shareEvidence keeps a report for other controls. They get it with the next upkeep, as
// many entries report the same end at the same time. Callers hold n.mu.
func (n *Node) shareEvidence(now time.Time, r quarantine.Report) {
	f := n.fleet
	f.direct++
	f.evidence = slices.DeleteFunc(f.evidence, func(e evidence) bool { return now.Sub(e.receivedAt) > evidenceRetention })
	if len(f.evidence) >= maxEvidence {
		f.evidence = slices.Delete(f.evidence, 0, 1)
	}
	f.evidence = append(f.evidence, evidence{report: r, receivedAt: now, directVersion: f.direct})
	f.hasPeerNews = true
}

// countAnswers adds the answers in an entry's samples to what is known of the services. Callers
// hold n.mu.
func (n *Node) countAnswers(now time.Time, samples []health.Sample) {
	for _, s := range samples {
		if rec, ok := n.fleet.roster.Find(s.Server); ok && s.Answers > 0 {
			n.fleet.parts.AddAnswers(now, rec.Server.Service, float64(s.Answers))
		}
	}
}

// judgeParts lists the prompt parts and requests that crash servers and answers the watches that have
// news. Every control judges for itself and passes on what it lists, so that no leader is
// needed and none takes the list with it. Callers hold n.mu.
func (n *Node) judgeParts(now time.Time) {
	f := n.fleet
	f.parts.Refute(f.roster.LastSeen)
	if added := f.parts.Judge(now); len(added) > 0 {
		for _, s := range added {
			msg, field := "Prompt part is quarantined.", "prompt"
			if s.Repeat {
				msg, field = "Request is quarantined.", "digest"
			}
			level.Warn(n.cfg.Logger).Log("msg", msg, field, s.Key, "service", s.Service,
				"ends", s.Ends, "requests", s.Requests, "sound", s.Sound, "for", s.Left)
		}
		n.shareEvidence(now, quarantine.Report{Sender: n.cfg.ID, Listed: added})
	}
	if f.hasPeerNews {
		f.hasPeerNews = false
		f.wakeWatchers()
	}
	_, suspects := f.parts.Suspects()
	if seen := [2]uint64{f.parts.List().Version(), suspects}; seen != f.partsSeen {
		if seen[0] != f.partsSeen[0] {
			n.saveListed()
		}
		f.partsSeen = seen
		f.partsVersion++
		close(f.judged)
		f.judged = make(chan struct{})
	}
}

// addParts adds to a reply the listed and suspected prompt parts if the entry does not
// have them yet. Callers hold n.mu.
func (n *Node) addParts(now time.Time, r member.WatchRequest, reply *member.WatchReply) {
	reply.PartsVersion = n.fleet.partsVersion
	if r.RunID != n.runID || r.PartsVersion != n.fleet.partsVersion {
		reply.Listed = n.fleet.parts.List().All(now)
		reply.Suspects, _ = n.fleet.parts.Suspects()
	}
}
