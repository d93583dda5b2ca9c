// Package evacuation holds the orders to keep requests away from the backend servers of an
// availability zone.
package evacuation

import "time"

type (
	// Order is an operator's order about a zone.
	Order struct {
		Zone string `json:"zone"`
		// Active is set while the zone gets no requests. An order that was withdrawn is
		// kept, so that a delayed one is recognized.
		Active bool `json:"active"`
		// SeenRevision is the revision of the zone's order that the control knew when it
		// received this one, 0 for none.
		SeenRevision uint64 `json:"seen,omitempty"`
		// At is when the order was accepted.
		At       time.Time `json:"at"`
		Revision uint64    `json:"revision"`
	}

	// Verdict is what becomes of an order.
	Verdict int
)

// The verdicts on an order.
const (
	// Accept means that the order takes effect.
	Accept Verdict = iota
	// Repeat means that what the order asks for is in force already.
	Repeat
	// Overtaken means that another order has been accepted since the control received
	// this one.
	Overtaken
)

// Judge returns what becomes of the order after the zone's current one, the zero value for
// none. It answers operators who send an order again when its answer is lost: the first copy
// may be delayed until a later order has been accepted, and must not undo that one.
func (o Order) Judge(current Order) Verdict {
	switch {
	case o.Active == current.Active:
		return Repeat
	case o.SeenRevision != current.Revision:
		return Overtaken
	}
	return Accept
}
