package fake

import (
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"slices"

	"rosereach/core/version"
)

// PathOrders is where a backend server takes orders.
const PathOrders = "/v1/orders"

type (
	// Fence is the fencing number of an order: the leader's term and a
	// sequence within it.
	Fence struct {
		Term     uint64 `json:"term"`
		Sequence uint64 `json:"sequence"`
	}

	// Order sets the versions that an engine shall have loaded, or tells a
	// backend server to leave.
	Order struct {
		Fence    Fence         `json:"fence"`
		Versions []version.Ref `json:"versions,omitempty"`
		Leave    bool          `json:"leave,omitempty"`
	}

	// orderGate decides which orders a backend server carries out. An empty key
	// takes orders from anybody.
	orderGate struct {
		key          string
		honoursFence bool
		newest       Fence
	}
)

// IsOlderThan reports whether an order with this number comes too late.
func (f Fence) IsOlderThan(other Fence) bool {
	if f.Term != other.Term {
		return f.Term < other.Term
	}
	return f.Sequence < other.Sequence
}

// isKnown reports whether the order comes from somebody with the key.
func (g *orderGate) isKnown(r *http.Request) bool {
	given := r.Header.Get("Authorization")
	return g.key == "" || subtle.ConstantTimeCompare([]byte(given), []byte("Bearer "+g.key)) == 1
}

// pass reports whether the order is to be carried out. Only a backend server
// that honours fencing numbers refuses an old one.
func (g *orderGate) pass(f Fence) bool {
	if g.honoursFence && f.IsOlderThan(g.newest) {
		return false
	}
	if g.newest.IsOlderThan(f) {
		g.newest = f
	}
	return true
}

// serveOrder reads an order and answers it: 403 from a stranger, 412 with an
// old fencing number.
func serveOrder(w http.ResponseWriter, r *http.Request, gate *orderGate, obey func(Order) bool) {
	if !gate.isKnown(r) {
		http.Error(w, "orders need the order key", http.StatusForbidden)
		return
	}
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !obey(o) {
		http.Error(w, "the fencing number is old", http.StatusPreconditionFailed)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) postOrder(w http.ResponseWriter, r *http.Request) {
	serveOrder(w, r, &e.orders, e.obey)
}

func (e *Engine) obey(o Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.orders.pass(o.Fence) {
		return false
	}
	if o.Versions != nil {
		e.versions = slices.Clone(o.Versions)
	}
	e.leaving = e.leaving || o.Leave
	return true
}
