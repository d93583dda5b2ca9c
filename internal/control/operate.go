package control

import (
	"context"

	"rosereach/core/audit"
	"rosereach/core/ledger"
	"rosereach/core/operator"
	"rosereach/core/state"
)

// Trail returns a page of the audit trail.
func (n *Node) Trail(after uint64, limit int) (page audit.Page) {
	n.View(func(s *state.State) { page = s.Trail(after, limit) })
	return page
}

// Operator returns the operator that the key belongs to.
func (n *Node) Operator(key string) (operator.Operator, error) { return n.Catalog().Operator(key) }

// Request returns what the ledger knows of a request.
func (n *Node) Request(key ledger.Key) (r ledger.Record, ok bool) {
	n.View(func(s *state.State) { r, ok = s.Ledger().Find(key) })
	return r, ok
}

// Note adds an event that is no change to the audit trail.
func (n *Node) Note(ctx context.Context, e audit.Event) error {
	e.At = n.cfg.Clock.Now()
	_, err := n.proposeAnywhere(ctx, state.Command{Note: &e})
	return err
}
