package fake

import (
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"slices"

	"rosereach/io/platform"
)

// orderFilter decides which orders an engine executes. With an empty key it
// accepts orders from anyone.
type orderFilter struct {
	key         string
	honorsFence bool
	newest      platform.Fence
}

// isAuthorized reports whether the request carries the order key.
func (o *orderFilter) isAuthorized(r *http.Request) bool {
	header := r.Header.Get("Authorization")
	return o.key == "" || subtle.ConstantTimeCompare([]byte(header), []byte("Bearer "+o.key)) == 1
}

// accept reports whether an order with this fencing number is to be executed. Only
// an engine that honors fencing numbers refuses an old one.
func (o *orderFilter) accept(f platform.Fence) bool {
	if o.honorsFence && f.IsOlderThan(o.newest) {
		return false
	}
	if o.newest.IsOlderThan(f) {
		o.newest = f
	}
	return true
}

// postOrder executes an order. It answers 403 without the order key and 412 for
// an old fencing number.
func (e *Engine) postOrder(w http.ResponseWriter, r *http.Request) {
	if !e.orderFilter.isAuthorized(r) {
		http.Error(w, "missing or wrong order key", http.StatusForbidden)
		return
	}
	var o platform.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.applyOrder(o) {
		http.Error(w, "the fencing number is older than the newest one", http.StatusPreconditionFailed)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) applyOrder(o platform.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.orderFilter.accept(o.Fence) {
		return false
	}
	e.versions = slices.Clone(o.Versions)
	return true
}
