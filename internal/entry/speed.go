package entry

import (
	"math"
	"time"

	"rosereach/io/member"
)

// recordPace records how slow a server says that its machine is, for the controls. Callers
// hold f.mu.
func (f *forwarder) recordPace(a *attempt) {
	if a.head.Slowdown <= 0 {
		return
	}
	for _, s := range f.evidence.sources {
		s.speeds.Record(a.server.ID, a.server.Incarnation, a.head.Slowdown)
	}
}

// usualPaceTime returns the time that an answer would have taken at the usual pace of the
// server's machine. The pace at a moment says nothing about the next answer. Callers hold f.mu.
func (f *forwarder) usualPaceTime(a *attempt, took time.Duration) time.Duration {
	if a.head.Slowdown <= 0 {
		return took
	}
	unusual := a.head.Slowdown / math.Exp(f.lastingRatio(a.server.ID))
	return time.Duration(float64(took) / min(max(unusual, 1/maxUnusualPace), maxUnusualPace))
}

// maxUnusualPace bounds how much of an answer's time the pace of its machine explains: it
// changes while the answer is made, and is told at its end.
const maxUnusualPace = 2

// lastingRatio returns the logarithm of how long work usually takes at a server, relative to
// the average of its service. Callers hold f.mu.
func (f *forwarder) lastingRatio(server string) float64 {
	rec, ok := f.roster.Find(server)
	if !ok {
		return 0
	}
	return f.speeds.LogRatio(server, rec.Server.Incarnation)
}

// addSpeeds adds what servers told about their machines since the last watch of the control
// to a watch.
func (f *forwarder) addSpeeds(r *member.WatchRequest, s *watchState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r.SpeedsVersion, r.Speeds = s.speedsVersion, s.speeds.Take()
}

// applySpeeds applies the speeds that changed at a control. Anew is set for the first reply
// of a run of the control.
func (f *forwarder) applySpeeds(reply member.WatchReply, s *watchState, anew bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.speedsVersion = reply.SpeedsVersion
	f.speeds.Apply(s.address, reply.Speeds, anew)
}
