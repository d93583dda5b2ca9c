package entry

import (
	"slices"
	"time"

	"rosereach/core/backend"
	"rosereach/core/health"
	"rosereach/io/member"
)

// loadsInterval is how old the load reports from controls may be before an entry
// asks for new ones.
const loadsInterval = 500 * time.Millisecond

// evidence is what other entries see of the backend servers. Each watched control gets
// all of this entry's attempts and replies with its verdicts.
type evidence struct {
	sources []*watchState
	failing map[string]uint64 // incarnation of each server with a verdict
	loadsAt time.Time         // when load reports last arrived from a control
}

func (f *forwarder) addEvidenceSource(s *watchState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evidence.sources = append(f.evidence.sources, s)
}

func (f *forwarder) removeEvidenceSource(s *watchState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evidence.sources = slices.DeleteFunc(f.evidence.sources, func(other *watchState) bool { return other == s })
	delete(f.parts.suspects, s)
	f.combineVerdicts()
}

// addSamples adds the attempts since the last watch of the control to a watch.
func (f *forwarder) addSamples(r *member.WatchRequest, s *watchState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.entry.cfg.Clock.Now()
	r.Samples = s.recorder.Take(now)
	r.VerdictsVersion, r.PartsVersion, r.LimitsVersion = s.verdictsVersion, s.partsVersion, s.limitsVersion
	r.Limits = f.limiter.Words(now)
	if s.distance < distantRegion && now.Sub(f.evidence.loadsAt) >= loadsInterval {
		r.WantsLoads = true
	}
}

// applyEvidence applies a control's verdicts and load reports. Of two reports of a
// server the newer one counts.
func (f *forwarder) applyEvidence(now time.Time, reply member.WatchReply, s *watchState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if reply.VerdictsVersion != s.verdictsVersion {
		s.verdictsVersion, s.verdicts = reply.VerdictsVersion, reply.Verdicts
		f.combineVerdicts()
	}
	if reply.Loads == nil || len(reply.Loads.Reports) == 0 {
		return
	}
	f.evidence.loadsAt = now
	for _, l := range reply.Loads.Reports {
		if at := now.Add(-l.Age - max(reply.LoadsAge, 0)); at.After(f.loads[l.Server].MeasuredAt) {
			f.loads[l.Server] = backend.Load{MeasuredAt: at, Running: l.Running, Queued: l.Waiting}
		}
	}
}

// combineVerdicts combines the verdicts of all sources: each control knows a part of
// the attempts only. Callers hold f.mu.
func (f *forwarder) combineVerdicts() {
	f.evidence.failing = make(map[string]uint64)
	for _, s := range f.evidence.sources {
		for _, v := range s.verdicts {
			f.evidence.failing[v.Server] = max(f.evidence.failing[v.Server], v.Incarnation)
		}
	}
}

// isReportedFailing reports whether a control considers the server failing. Callers
// hold f.mu.
func (f *forwarder) isReportedFailing(server backend.Announcement) bool {
	incarnation, ok := f.evidence.failing[server.ID]
	return ok && incarnation == server.Incarnation
}

// record adds an attempt to what the watched controls are told next. Callers hold
// f.mu.
func (f *forwarder) record(add func(r *health.Recorder)) {
	for _, s := range f.evidence.sources {
		add(s.recorder)
	}
}
