package fake

import (
	"encoding/json"
	"net/http"
	"slices"

	"rosereach/io/platform"
)

func (e *Engine) postOrder(w http.ResponseWriter, r *http.Request) {
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

// obey carries out an order, unless the engine heeds fencing numbers and this
// one is old.
func (e *Engine) obey(o platform.Order) bool {
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
