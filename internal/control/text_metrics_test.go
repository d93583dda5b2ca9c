package control

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-kit/log"
	"github.com/juju/clock"

	"rosereach/core/backend"
	"rosereach/core/lease"
	"rosereach/core/route"
)

// A control counts changes by outcome, and announcements by whether they changed
// anything.
func TestTextMetricsOfControl(t *testing.T) {
	n, err := Open(Config{
		ID: "control-1", Folder: t.TempDir(), MemberKey: "key", Terms: lease.DefaultConfig(),
		Clock: clock.WallClock, Logger: log.NewNopLogger(),
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx) }()
	waitFor(t, "the leader", n.IsLeader)
	plan := route.Document{Config: route.Config{Version: 3, Services: []route.Service{{Name: "s"}}}, Text: []byte("{}")}
	if r, err := n.PutRouting(ctx, plan, "operator", "test"); err != nil || len(r.Findings) > 0 {
		t.Fatal(r, err)
	}
	server := backend.Announcement{ID: "e", Incarnation: 1, Sequence: 1, Service: "s", Kind: backend.Plain, Capacity: 1, State: backend.Serving, Address: "127.0.0.1:1"}
	n.Announce(server)
	server.Sequence = 2
	n.Announce(server)
	w := httptest.NewRecorder()
	n.TextMetrics().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, want := range []string{
		`rosereach_changes_total{kind="put_routing",outcome="accepted"} 1`, `rosereach_announcements_total{news="yes"} 1`,
		`rosereach_announcements_total{news="no"} 1`, `rosereach_change_duration_seconds_count 1`, `rosereach_leads 1`,
	} {
		if !strings.Contains(w.Body.String(), want+"\n") {
			t.Errorf("no line %s in\n%s", want, w.Body)
		}
	}
	cancel()
	<-ended
}
