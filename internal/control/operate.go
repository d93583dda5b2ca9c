package control

import (
	"context"

	"rosereach/core/audit"
	"rosereach/core/ledger"
	"rosereach/core/operator"
	"rosereach/core/state"
)

// Trail returns up to limit events of the audit trail that follow the sequence
// number.
func (n *Node) Trail(after uint64, limit int) (page audit.Page) {
	n.View(func(s *state.State) { page = s.AuditPage(after, limit) })
	return page
}

// OperatorByKey returns the operator that the key belongs to.
func (n *Node) OperatorByKey(key string) (operator.Operator, error) {
	return n.Catalog().OperatorByKey(key)
}

// Request returns the ledger's record of a request.
func (n *Node) Request(key ledger.Key) (r ledger.Record, ok bool) {
	n.View(func(s *state.State) { r, ok = s.Ledger().Find(key) })
	return r, ok
}

// RecordAuditEvent appends to the audit trail an event that is not a change of the
// documents.
func (n *Node) RecordAuditEvent(ctx context.Context, e audit.Event) error {
	e.At = n.cfg.Clock.Now()
	_, err := n.proposeOrForward(ctx, state.Command{AuditEvent: &e})
	return err
}
