package fake

import (
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"slices"

	"rosereach/io/platform"
)

// orderGate decides which orders an engine carries out. An empty key takes
// orders from anybody.
type orderGate struct {
	key          string
	honoursFence bool
	newest       platform.Fence
}

// isKnown reports whether the order comes from somebody with the key.
func (g *orderGate) isKnown(r *http.Request) bool {
	given := r.Header.Get("Authorization")
	return g.key == "" || subtle.ConstantTimeCompare([]byte(given), []byte("Bearer "+g.key)) == 1
}

// pass reports whether the order is to be carried out. Only an engine that
// honours fencing numbers refuses an old one.
func (g *orderGate) pass(f platform.Fence) bool {
	if g.honoursFence && f.IsOlderThan(g.newest) {
		return false
	}
	if g.newest.IsOlderThan(f) {
		g.newest = f
	}
	return true
}

// postOrder answers an order: 403 from a stranger, 412 with an old fencing
// number.
func (e *Engine) postOrder(w http.ResponseWriter, r *http.Request) {
	if !e.orders.isKnown(r) {
		http.Error(w, "orders need the order key", http.StatusForbidden)
		return
	}
	var o platform.Order
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

func (e *Engine) obey(o platform.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.orders.pass(o.Fence) {
		return false
	}
	e.versions = slices.Clone(o.Versions)
	return true
}
