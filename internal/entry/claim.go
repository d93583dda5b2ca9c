package entry

import (
	"time"

	"rosereach/core/backend"
	"rosereach/core/request"
)

type (
	// claim is the permission to send one attempt to one backend server. The
	// checks made at dispatch are repeated just before the attempt's first byte
	// is written, because opening a connection may take long.
	claim struct {
		entry    *Entry
		req      request.Request
		target   target
		server   backend.Announcement
		revision uint64
		written  bool
	}

	// unwrittenAttempts counts the attempts that were checked but not written
	// yet, by the revision of the documents that they were checked against.
	unwrittenAttempts map[uint64]int
)

// claimAttempt registers an attempt at the server, with the number of prompt
// tokens that the server has to process. Callers hold e.mu.
func (e *Entry) claimAttempt(req request.Request, t target, server backend.Announcement, tokens int64) *claim {
	c := &claim{entry: e, req: req, target: t, server: server, revision: e.catalog.Load().Revision()}
	e.tracker.Start(e.cfg.Clock.Now(), server.ID, tokens)
	e.unwritten[c.revision]++
	return c
}

// Check returns nil if the attempt may still be sent, else a *request.Refusal.
func (c *claim) Check() error {
	c.entry.mu.Lock()
	defer c.entry.mu.Unlock()
	return c.entry.checkAttempt(c.req, c.target, c.server)
}

// Written records that the attempt was written, or that writing it failed.
func (c *claim) Written() {
	c.entry.mu.Lock()
	defer c.entry.mu.Unlock()
	c.markWritten()
}

// release ends the attempt's share of the server's tracked load.
func (c *claim) release() {
	e := c.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	c.markWritten()
	e.tracker.End(e.cfg.Clock.Now(), c.server.ID)
}

// markWritten marks the attempt as written, so that it no longer holds back the
// revision that the entry reports as applied. Callers hold the entry's mutex.
func (c *claim) markWritten() {
	if c.written {
		return
	}
	c.written = true
	pending := c.entry.unwritten
	pending[c.revision]--
	if pending[c.revision] > 0 {
		return
	}
	delete(pending, c.revision)
	if c.revision < c.entry.catalog.Load().Revision() {
		c.entry.link.renewNow()
	}
}

// checkAttempt returns nil if an attempt may be sent to the server now. Callers
// hold e.mu.
func (e *Entry) checkAttempt(req request.Request, t target, server backend.Announcement) error {
	now := e.cfg.Clock.Now()
	if err := e.checkLease(now); err != nil {
		return err
	}
	if !e.registry.MayServe(now, server.ID, server.Incarnation) {
		return request.NewNotRun(request.CodeNoBackend, "the backend server accepts no requests").WithRetryAfter(backendLease)
	}
	return e.checkPermission(req, t)
}

// checkLease returns a refusal if the entry holds no lease. Callers hold e.mu.
func (e *Entry) checkLease(now time.Time) error {
	if e.leaseHolder.IsLive(now) {
		return nil
	}
	return request.NewNotRun(request.CodeNoLease, "this entry holds no lease; use another entry").
		WithAddresses(orderAddresses(e.peers, e.cfg.Region, e.cfg.Zone))
}

// appliedRevision returns the lowest revision that any unwritten attempt was
// checked against, at most the given current one. Every attempt written from
// now on was checked against it or a later one.
func (u unwrittenAttempts) appliedRevision(revision uint64) uint64 {
	for checked := range u {
		revision = min(revision, checked)
	}
	return revision
}
