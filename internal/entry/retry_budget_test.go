package entry

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/clock/testclock"

	"rosereach/core/backend"
	"rosereach/core/catalog"
	"rosereach/core/drain"
	"rosereach/core/key"
	"rosereach/core/retry"
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

// Retries of requests that servers fail in a planned stop left none for streams whose servers fall silent
// before the exit.
func TestStopKeepsRetriesForStreams(t *testing.T) {
	r := newHarness(t)
	c := testclock.NewClock(time.Now())
	r.entry.cfg.Clock = c
	f := r.entry.forwarder
	f.retryBudgets = retry.NewWindowBudgets(retry.WindowBudgetConfig{Ratio: 0.9, Slack: 52, Window: 10 * time.Second})
	serve := func(d time.Duration, retries int) {
		for end := c.Now().Add(d); c.Now().Before(end); c.Advance(10 * time.Millisecond) {
			f.countRequest("s")
			for range retries {
				f.takeRetry("s", false)
			}
		}
	}
	serve(20*time.Second, 0)
	schedule := r.entry.stopping.begin(drain.Settings{Grace: 8 * time.Second, ListLife: 3 * time.Second}.Begin(c.Now()))
	serve(schedule.Closes().Sub(c.Now()), 10)
	for ; c.Now().Before(schedule.Exits()); c.Advance(500 * time.Millisecond) {
		if !f.hasRetry("s", true) || !f.takeRetry("s", true) {
			t.Errorf("no retry for a stream %s before the exit", schedule.Exits().Sub(c.Now()))
		}
	}
}
