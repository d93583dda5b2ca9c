package entry

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"rosereach/core/forward"
	"rosereach/core/quarantine"
	"rosereach/io/member"
)

const (
	// evidenceDelay is how long the ends of servers are collected before they are
	// reported: all requests at a server see its end at the same time.
	evidenceDelay = 50 * time.Millisecond

	// evidenceTimeout bounds sending a report.
	evidenceTimeout = time.Second

	// soundAfter is how long after its first event an answer speaks for the parts of its
	// prompt.
	soundAfter = 300 * time.Millisecond

	// endedRetention is how long it is known that a server has ended.
	endedRetention = time.Minute

	// maxLoggedParts bounds the parts of a prompt in a log line.
	maxLoggedParts = 16
)

type (
	// partEvidence is what an entry knows about prompt parts and requests that crash servers. Callers
	// hold forwarder.mu.
	partEvidence struct {
		list     *quarantine.List
		memory   *quarantine.Memory
		suspects map[*watchState]map[quarantine.Key]bool // by the control that asks
		ended    map[serverStart]time.Time               // servers that have ended, and when that was seen
		pending  map[serverStart]quarantine.End          // not reported yet
	}

	// serverStart identifies one start of a server.
	serverStart struct {
		server      string
		incarnation uint64
	}
)

func newPartEvidence() partEvidence {
	return partEvidence{
		list: quarantine.NewList(), memory: quarantine.NewMemory(), suspects: make(map[*watchState]map[quarantine.Key]bool),
		ended: make(map[serverStart]time.Time), pending: make(map[serverStart]quarantine.End),
	}
}

// sharedParts returns the keys of the parts of the request's prompt that others share.
func (x *activeRequest) sharedParts() []quarantine.Key {
	ids := make([]string, 0, len(x.req.Prompt))
	for _, p := range x.req.Prompt {
		ids = append(ids, p.ID)
	}
	return quarantine.SharedKeys(x.service, ids)
}

// quarantinedFailure returns the failure of a request that crashes servers, or has a part that
// does, nil for any other. Its caller is told to come back when the listing ends.
func (x *activeRequest) quarantinedFailure() *forward.Failure {
	f := x.forwarder
	f.mu.Lock()
	s, ok := f.parts.list.Find(x.now(), append(x.parts[:len(x.parts):len(x.parts)], x.digest))
	f.mu.Unlock()
	if !ok {
		return nil
	}
	msg, field, detail := "Request has a quarantined part.", "prompt", fmt.Sprintf("part %s of the prompt has crashed backend servers", s.Key)
	if s.Repeat {
		msg, field, detail = "Request is in quarantine.", "digest", "the request has crashed backend servers"
	}
	level.Debug(x.log()).Log("msg", msg, "id", x.req.ID, field, s.Key, "service", s.Service,
		"ends", s.Ends, "requests", s.Requests, "sound", s.Sound, "for", s.Left)
	return &forward.Failure{Code: forward.Quarantined, RetryAfter: s.Left, Detail: detail}
}

// admit decides whether the attempt may be sent: a part of its prompt may have been listed
// since it was placed, and its server may want no requests any more.
func (x *activeRequest) admit(a *attempt) error {
	if failure := x.quarantinedFailure(); failure != nil {
		a.withheld = string(failure.Code)
		return failure
	}
	return x.forwarder.admit(a)
}

// recordSound records an answer that is complete or has been going on for soundAfter, which
// speaks for the parts of its prompt: long ones take longer than servers last when a part
// crashes them.
func (x *activeRequest) recordSound(a *attempt) {
	if len(x.parts) == 0 || a.soundRecorded {
		return
	}
	a.soundRecorded = true
	f := x.forwarder
	f.mu.Lock()
	defer f.mu.Unlock()
	f.parts.memory.Record(x.now(), x.service, x.workspace.Name, x.parts)
}

// recordEnd checks whether the server of an attempt that broke off has ended, and not only
// the connection, and reports the end with the request to the controls.
func (x *activeRequest) recordEnd(ctx context.Context, a *attempt) {
	f := x.forwarder
	if !f.hasEnded(ctx, a) {
		return
	}
	x.ends++
	f.mu.Lock()
	now := x.now()
	start := serverStart{server: a.server.ID, incarnation: a.server.Incarnation}
	if _, known := f.parts.ended[start]; !known {
		f.parts.ended[start] = now
	}
	e, ok := f.parts.pending[start]
	if !ok {
		e = quarantine.End{Service: x.service, Server: start.server, Incarnation: start.incarnation}
	}
	if len(f.parts.pending) == 0 {
		f.entry.cfg.Clock.AfterFunc(evidenceDelay, f.reportEnds)
	}
	f.parts.pending[start] = e.WithRequest(quarantine.NewRequest(x.req.ID, x.workspace.Name, x.parts).WithDigest(x.digest))
	f.mu.Unlock()
	f.metrics.endedUnder.Inc()
	x.logServerEnd(a)
}

// hasEnded reports whether the server of an attempt has ended: it is known to, or refuses
// connections.
func (f *forwarder) hasEnded(ctx context.Context, a *attempt) bool {
	return f.isKnownToHaveEnded(a) || f.client.IsRefused(ctx, a.server.Address)
}

// isThere reports whether the server of an attempt accepts connections. One that can't be reached
// may have ended.
func (f *forwarder) isThere(ctx context.Context, a *attempt) bool {
	return !f.isKnownToHaveEnded(a) && f.client.Connect(ctx, a.server.Address, nil) == nil
}

func (f *forwarder) isKnownToHaveEnded(a *attempt) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, known := f.parts.ended[serverStart{server: a.server.ID, incarnation: a.server.Incarnation}]
	return known
}

// reportEnds sends the ends of servers to the watched controls.
func (f *forwarder) reportEnds() {
	f.mu.Lock()
	r := quarantine.Report{Sender: f.entry.cfg.ID}
	for start, e := range f.parts.pending {
		r.Ends = append(r.Ends, e)
		delete(f.parts.pending, start)
	}
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(f.entry.ctx, evidenceTimeout)
	defer cancel()
	f.watcher.notifyAll(ctx, member.KindEvidence, r)
}

// maySpread reports whether the request may go to another server after those that ended
// under it. Two ends need a reason to believe that it is not the cause: each of its shared
// parts has been answered of late. After one end it is enough that neither the request nor a
// part without such an answer is under suspicion.
func (x *activeRequest) maySpread() bool {
	if x.ends == 0 {
		return true
	}
	f := x.forwarder
	f.mu.Lock()
	defer f.mu.Unlock()
	now, unproven, suspected := x.now(), len(x.parts) == 0, f.suspects(x.digest)
	for _, k := range x.parts {
		if f.parts.memory.Answers(now, k) > 0 {
			continue
		}
		unproven = true
		suspected = suspected || f.suspects(k)
	}
	if x.ends == 1 {
		return !suspected
	}
	return !unproven
}

// suspects reports whether a control suspects a part or a request. Callers hold f.mu.
func (f *forwarder) suspects(k quarantine.Key) bool {
	for _, suspects := range f.parts.suspects {
		if suspects[k] {
			return true
		}
	}
	return false
}

// applyParts applies what a control lists and suspects, and answers it with the sound
// answers of the suspects.
func (f *forwarder) applyParts(ctx context.Context, now time.Time, reply member.WatchReply, s *watchState) {
	if reply.PartsVersion == s.partsVersion {
		return
	}
	s.partsVersion = reply.PartsVersion
	f.mu.Lock()
	var added []quarantine.Listing
	for _, l := range reply.Listed {
		if f.parts.list.Add(now, l) {
			added = append(added, l)
		}
	}
	suspects := make(map[quarantine.Key]bool, len(reply.Suspects))
	for _, k := range reply.Suspects {
		suspects[k] = true
	}
	f.parts.suspects[s] = suspects
	sound := f.parts.memory.Sound(now, reply.Suspects)
	f.mu.Unlock()
	for _, l := range added {
		msg, field := "Prompt part is rejected from now on.", "prompt"
		if l.Repeat {
			msg, field = "Request is rejected from now on.", "digest"
		}
		level.Warn(f.entry.cfg.Logger).Log("msg", msg, field, l.Key, "service", l.Service,
			"ends", l.Ends, "requests", l.Requests, "sound", l.Sound, "for", l.Left, "control", s.address)
	}
	if len(sound) > 0 {
		f.watcher.notify(ctx, s.address, member.KindEvidence, quarantine.Report{Sender: f.entry.cfg.ID, Sound: sound})
	}
}

// reportListed tells a control what is listed: all controls may have started anew.
func (f *forwarder) reportListed(ctx context.Context, address string) {
	f.mu.Lock()
	listed := f.parts.list.All(f.entry.cfg.Clock.Now())
	f.mu.Unlock()
	if len(listed) > 0 {
		f.watcher.notify(ctx, address, member.KindEvidence, quarantine.Report{Sender: f.entry.cfg.ID, Listed: listed})
	}
}

// forgetEnded forgets servers that ended a while ago. Callers hold f.mu.
func (f *forwarder) forgetEnded(now time.Time) {
	for start, at := range f.parts.ended {
		if now.Sub(at) > endedRetention {
			delete(f.parts.ended, start)
		}
	}
}

// countListed returns the number of listed parts.
func (f *forwarder) countListed() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.parts.list.Len()
}

// logServerEnd logs that a server ended under the request.
func (x *activeRequest) logServerEnd(a *attempt) {
	level.Warn(x.log()).Log("msg", "Backend server ended under a request.", "id", x.req.ID, "srv", a.server.ID, "addr", a.server.Address,
		"incarnation", a.server.Incarnation, "prompt", partNames(x.parts), "digest", x.digest, "ends", x.ends, "took", x.now().Sub(a.startedAt))
}

// logNotSpread logs that the request goes to no further server after those that ended.
func (x *activeRequest) logNotSpread() {
	level.Warn(x.log()).Log("msg", "Request goes to no further server.", "id", x.req.ID, "ends", x.ends, "prompt", partNames(x.parts), "digest", x.digest)
}

// partNames returns the keys of some parts as they are logged.
func partNames(keys []quarantine.Key) string {
	names := make([]string, 0, len(keys))
	for _, k := range keys[:min(len(keys), maxLoggedParts)] {
		names = append(names, k.String())
	}
	return strings.Join(names, ",")
}
