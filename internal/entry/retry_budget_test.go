package entry

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"rosereach/core/backend"
	"rosereach/core/catalog"
	"rosereach/core/key"
	"rosereach/core/roster"
	"rosereach/core/route"
)

// planServices puts safe routes to two services into force: /safe/ to s and /other/ to t.
func (r *harness) planServices() {
	base := route.Route{Host: "h", Kind: route.Safe, MaxAttempts: 3, Timeout: 5 * time.Second, Objective: 400 * time.Millisecond}
	safe, other := base, base
	safe.Name, safe.Prefix, safe.Targets = "safe", "/safe/", []route.Target{{Service: "s", Weight: 1}}
	other.Name, other.Prefix, other.Targets = "other", "/other/", []route.Target{{Service: "t", Weight: 1}}
	r.entry.applyDocuments(&catalog.Documents{Revision: 1, Routing: &route.Document{Config: route.Config{
		Version: 1, Routes: []route.Route{safe, other}, Services: []route.Service{{Name: "s"}, {Name: "t"}},
		Workspaces: []route.Workspace{{Name: "w", KeyHashes: []string{key.Hash("k")}}},
	}}})
}

// The retries at a service are bounded by its own requests: those for another service, at
// which nothing fails, add nothing.
func TestSoundServiceAddsNoRetriesToAnother(t *testing.T) {
	r := newHarness(t)
	r.planServices()
	var arrivals atomic.Int64
	for _, id := range []string{"a", "b", "c"} {
		r.server(id, func(w http.ResponseWriter, _ *http.Request) {
			arrivals.Add(1)
			w.WriteHeader(http.StatusInternalServerError)
		})
	}
	r.server("sound", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "done") })
	rec, _ := r.entry.forwarder.roster.Find("sound")
	moved := rec.Server
	moved.Service, moved.Sequence, moved.State = "t", 2, backend.Serving
	r.entry.forwarder.updateRoster(time.Now(), roster.Delta{Records: []roster.Record{{Server: moved}}})
	for range 200 {
		if _, err := r.send("other"); err != nil {
			t.Fatal(err)
		}
	}
	const requests = 100
	for range requests {
		r.send(route.Safe)
	}
	if retries, bound := arrivals.Load()-requests, int64(requests+50); retries > bound {
		t.Errorf("%d arrivals beyond the first of each request, bound %d", retries, bound)
	}
}
