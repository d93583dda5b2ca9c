package entry

import (
	"time"

	"rosereach/core/backend"
	"rosereach/core/request"
)

type (
	// claim is the right to send one attempt to one backend server. It stands in
	// the way of the attempt's first byte: what was checked at dispatch is
	// checked again there, because a connection may take long to stand.
	claim struct {
		entry    *Entry
		req      request.Request
		target   target
		server   backend.Announcement
		revision uint64
		written  bool
	}

	// sending counts the attempts that were checked and whose bytes are not
	// written yet, by the revision that they were checked against.
	sending map[uint64]int
)

// claim counts an attempt on the server, which has the tokens to read. Callers
// hold e.mu.
func (e *Entry) claim(req request.Request, t target, server backend.Announcement, tokens int64) *claim {
	c := &claim{entry: e, req: req, target: t, server: server, revision: e.catalog.Load().Revision()}
	e.tracker.Start(e.cfg.Clock.Now(), server.ID, tokens)
	e.sending[c.revision]++
	return c
}

// Check returns nil when the attempt may still be sent.
func (c *claim) Check() error {
	c.entry.mu.Lock()
	defer c.entry.mu.Unlock()
	return c.entry.recheck(c.req, c.target, c.server)
}

// Written notes that the attempt's bytes are on their way.
func (c *claim) Written() {
	c.entry.mu.Lock()
	defer c.entry.mu.Unlock()
	c.settle()
}

// release gives the place on the server back.
func (c *claim) release() {
	e := c.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	c.settle()
	e.tracker.End(e.cfg.Clock.Now(), c.server.ID)
}

// settle ends the time in which the attempt holds the entry's applied revision
// back. Callers hold the entry's mutex.
func (c *claim) settle() {
	if c.written {
		return
	}
	c.written = true
	sent := c.entry.sending
	sent[c.revision]--
	if sent[c.revision] > 0 {
		return
	}
	delete(sent, c.revision)
	if c.revision < c.entry.catalog.Load().Revision() {
		c.entry.link.renewNow()
	}
}

// recheck tells whether an attempt may be sent to the server now. Callers hold
// e.mu.
func (e *Entry) recheck(req request.Request, t target, server backend.Announcement) error {
	now := e.cfg.Clock.Now()
	if err := e.checkLease(now); err != nil {
		return err
	}
	if !e.registry.MayServe(now, server.ID, server.Incarnation) {
		return request.NewNotRun(request.CodeNoBackend, "the backend server takes no work").WithRetryAfter(backendLease)
	}
	return e.permit(req, t)
}

// checkLease refuses work of an entry that holds no lease. Callers hold e.mu.
func (e *Entry) checkLease(now time.Time) error {
	if e.holder.IsLive(now) {
		return nil
	}
	return request.NewNotRun(request.CodeNoLease, "this entry holds no lease; use another entry").
		WithAddresses(orderAddresses(e.peers, e.cfg.Region, e.cfg.Zone))
}

// applied returns the revision that all attempts from now on, and all that are
// still to be written, were checked against.
func (s sending) applied(revision uint64) uint64 {
	for checked := range s {
		revision = min(revision, checked)
	}
	return revision
}
