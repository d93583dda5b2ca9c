package entry

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"rosereach/core/backend"
	"rosereach/core/pacing"
	"rosereach/io/member"
)

// withheldLimited is why an attempt is not sent to a server that takes no more requests of
// this entry for the moment.
const withheldLimited = "limited"

// limitTimeout bounds telling a control about a limit. The next watch repeats it.
const limitTimeout = time.Second

// hearLimit records what the answer to a request that was sent at the given time says about
// its server's limit, and tells the controls if that changes it.
func (f *forwarder) hearLimit(server backend.Announcement, sentAt time.Time, st pacing.Statement, requestID string) {
	now := f.entry.cfg.Clock.Now()
	f.mu.Lock()
	changed := f.limiter.Hear(now, server.ID, server.Incarnation, sentAt, st)
	var words []pacing.Word
	if changed {
		words = f.limiter.Words(now)
	}
	limit, share := f.limiter.Share(now, server.ID)
	f.mu.Unlock()
	if !changed {
		return
	}
	level.Info(f.entry.cfg.Logger).Log("msg", "Backend server names a limit.", "id", requestID, "server", server.ID, "addr", server.Address,
		"incarnation", server.Incarnation, "limit", limit, "share", share)
	go f.reportLimits(words)
}

// reportLimits tells the watched controls what the entry has heard of limits.
func (f *forwarder) reportLimits(words []pacing.Word) {
	ctx, cancel := context.WithTimeout(f.entry.ctx, limitTimeout)
	defer cancel()
	f.watcher.notifyAll(ctx, member.KindLimits, words)
}

// applyLimits applies the limits that a control knows and its shares of them.
func (f *forwarder) applyLimits(now time.Time, reply member.WatchReply, s *watchState) {
	s.limitsVersion = reply.LimitsVersion
	shares := reply.Shares
	if !reply.Current || !reply.HasShares {
		shares = nil
	}
	f.mu.Lock()
	if reply.Current && reply.EntryCount > 0 {
		f.limiter.SetEntries(reply.EntryCount)
		f.brittle.SetEntries(reply.EntryCount)
		f.warmups.SetEntries(reply.EntryCount)
	}
	changed := f.limiter.Apply(now, reply.Limits, shares)
	f.mu.Unlock()
	for _, c := range changed {
		level.Info(f.entry.cfg.Logger).Log("msg", "Limit of a backend server changes.", "server", c.Server, "incarnation", c.Incarnation,
			"limit", c.Limit, "control", s.address)
	}
}

// isLimited reports whether the server has named a limit that holds.
func (f *forwarder) isLimited(server backend.Announcement) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.limiter.IsLimited(server.ID, server.Incarnation)
}

// returnPlace gives back the places of an attempt at a limited or warming server that was
// not sent.
func (f *forwarder) returnPlace(a *attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a.paced {
		a.paced = false
		f.limiter.Return(a.server.ID, a.server.Incarnation)
	}
	if a.warming {
		a.warming = false
		f.warmups.Return(a.server.ID, a.server.Incarnation)
	}
}

// countLimited returns the number of servers that named a limit.
func (f *forwarder) countLimited() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.limiter.Count()
}

// countBrittle returns the number of brittle servers.
func (f *forwarder) countBrittle() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.brittle.Count()
}
