package entry

import (
	"testing"

	"rosereach/core/backend"
	"rosereach/core/catalog"
	"rosereach/core/request"
)

// An entry reports a new revision as applied only once every attempt that was
// checked against an older one has been written or released.
func TestAppliedWaitsForClaims(t *testing.T) {
	f := newFleet(t, 1)
	e := f.entries[0]
	waitFor(t, "documents", func() bool { return e.catalog.Load().Revision() > 0 })
	old := e.catalog.Load().Revision()
	e.mu.Lock()
	first := e.claimAttempt(request.Request{}, target{}, backend.Announcement{ID: "a"}, 0)
	second := e.claimAttempt(request.Request{}, target{}, backend.Announcement{ID: "a"}, 0)
	e.catalog.Store(catalog.New(catalog.Documents{Revision: old + 5}))
	e.mu.Unlock()
	if applied := e.leaseRequest().Applied; applied != old {
		t.Errorf("applied %d with two unwritten attempts, want %d", applied, old)
	}
	first.Written()
	first.release()
	if applied := e.leaseRequest().Applied; applied != old {
		t.Errorf("applied %d with one unwritten attempt, want %d", applied, old)
	}
	second.release()
	if applied := e.leaseRequest().Applied; applied != old+5 {
		t.Errorf("applied %d, want %d", applied, old+5)
	}
}
