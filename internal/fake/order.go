package fake

import (
	"encoding/json"
	"net/http"
	"slices"

	"rosereach/core/version"
)

// PathOrders is where an engine takes orders.
const PathOrders = "/v1/orders"

type (
	// Fence is the fencing number of an order: the leader's term and a
	// sequence within it.
	Fence struct {
		Term     uint64 `json:"term"`
		Sequence uint64 `json:"sequence"`
	}

	// Order sets the versions that an engine shall have loaded.
	Order struct {
		Fence    Fence         `json:"fence"`
		Versions []version.Ref `json:"versions"`
	}
)

// IsOlderThan reports whether an order with this number comes too late.
func (f Fence) IsOlderThan(other Fence) bool {
	if f.Term != other.Term {
		return f.Term < other.Term
	}
	return f.Sequence < other.Sequence
}

func (e *Engine) postOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.obey(o) {
		http.Error(w, "the fencing number is old", http.StatusPreconditionFailed)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// obey carries out an order, unless the engine heeds fencing numbers and this
// one is old.
func (e *Engine) obey(o Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.HonoursFence && o.Fence.IsOlderThan(e.fence) {
		return false
	}
	if e.fence.IsOlderThan(o.Fence) {
		e.fence = o.Fence
	}
	e.versions = slices.Clone(o.Versions)
	return true
}
