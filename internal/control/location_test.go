package control

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"rosereach/core/backend"
	"rosereach/core/catalog"
	"rosereach/core/change"
	"rosereach/core/route"
	"rosereach/core/state"
	"rosereach/core/warmup"
	"rosereach/io/member"
)

// evacuateAt sends an order to a control until it is acknowledged, as an operator does.
func (g *seededGroup) evacuateAt(n *Node, zone string, active bool) {
	g.t.Helper()
	waitFor(g.t, "the acknowledgement", func() bool {
		r, err := n.Evacuate(context.Background(), zone, active, "test", "test")
		return err == nil && r.Status == change.Accepted
	})
}

// An evacuation that was acknowledged is known after the control that accepted it is lost
// before it told anyone but a majority, and after a restart of all controls. A delayed copy
// of the order does not undo its withdrawal.
func TestEvacuationOutlivesControls(t *testing.T) {
	g := startFiveControls(t)
	g.putPlan("c0", 1)
	accepting := g.leader()
	g.evacuateAt(accepting, "z", true)
	for id, n := range g.nodes {
		if n == accepting {
			g.stop(id)
			break
		}
	}
	g.waitForLeader("the evacuation at another leader", func(l *Node) bool { return l.Catalog().IsEvacuated("z") })
	var ids []string
	for id := range g.nodes {
		ids = append(ids, id)
	}
	for _, id := range ids {
		g.stop(id)
	}
	for _, id := range ids {
		g.start(id, g.listen(id, false), false)
	}
	g.waitForLeader("the evacuation after a restart of all", func(l *Node) bool { return l.Catalog().IsEvacuated("z") })
	delayed := change.Change{ID: "delayed", Kind: change.PutEvacuation, Name: "z", Document: []byte(`{"zone":"z","active":true,"at":"2026-01-01T00:00:00Z","revision":0}`)}
	g.evacuateAt(g.leader(), "z", false)
	waitFor(t, "the answer to the delayed copy", func() bool {
		l := g.leader()
		if l == nil {
			return false
		}
		r, err := l.Change(context.Background(), delayed)
		if err == nil && r.Status == change.Accepted {
			t.Fatalf("a delayed copy evacuates the zone again: %+v", r)
		}
		return err == nil && r.Status == change.Conflict
	})
	if g.leader().Catalog().IsEvacuated("z") {
		t.Error("the zone is evacuated")
	}
}

// A control without a majority acknowledges no evacuation.
func TestEvacuationNeedsMajority(t *testing.T) {
	n := newWatchedNode(t, 0, 0)
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	if r, err := n.Evacuate(ctx, "z", true, "test", "test"); err == nil && r.Status == change.Accepted {
		t.Fatalf("%+v", r)
	} else if err == nil || errors.Is(err, context.Canceled) {
		t.Fatalf("%+v, %v", r, err)
	}
}

// The directory names entries of the caller's zone, then of its region, then of the home
// regions of the host's routes, and others only if there is no other.
func TestDirectoryPrefersHomeRegions(t *testing.T) {
	n := newWatchedNode(t, 0, 0)
	data := route.Config{Version: 1, Services: []route.Service{{Name: "s"}}, Routes: []route.Route{{
		Name: "r", Host: "h", Prefix: "/", Kind: route.Safe, Targets: []route.Target{{Service: "s", Weight: 1}}, MaxAttempts: 1, Timeout: time.Second, Regions: []string{"home"},
	}}}
	n.state = stateWithPlan(t, data)
	presence := func(region, zone string) {
		n.receiveWatch(member.WatchRequest{Entry: &member.Presence{ID: region + "-" + zone, Address: region + "-" + zone, Region: region, Zone: zone, Incarnation: 1, Sequence: 1}})
	}
	presence("abroad", "x1")
	expect := func(host, region, zone string, want ...string) {
		t.Helper()
		got := n.Entries(host, region, zone)
		if len(got) != len(want) {
			t.Fatalf("%s from %s/%s: %v, want %v", host, region, zone, got, want)
		}
		for i := range want {
			if got[i] != want[i] {
				t.Errorf("%s from %s/%s: %v, want %v", host, region, zone, got, want)
			}
		}
	}
	expect("h", "own", "o1", "abroad-x1")
	presence("home", "h1")
	expect("h", "own", "o1", "home-h1")
	expect("other", "own", "o1", "abroad-x1", "home-h1")
	expect("h", "abroad", "x2", "abroad-x1")
	presence("own", "o2")
	expect("h", "own", "o1", "own-o2")
	presence("own", "o1")
	expect("h", "own", "o1", "own-o1")
}

// Entries are told with the first reply which servers are cold, also by a control to which
// the server did not announce itself, and an announcement that is late does not prolong it.
func TestColdServersAreToldWithTheFirstReply(t *testing.T) {
	a, b := newWatchedNode(t, 0, 0), newWatchedNode(t, 0, 0)
	server := backend.Announcement{ID: "s", Incarnation: 1, Sequence: 2, State: backend.Serving, Service: "s", Capacity: 1, Warmup: 3 * time.Second}
	a.Announce(server)
	late := server
	late.Sequence, late.Warmup = 1, time.Hour
	a.Announce(late)
	toPeer := a.watchReply(member.WatchRequest{})
	if len(toPeer.Warmups) != 1 || toPeer.Roster.Records[0].Server.Warmup != 0 {
		t.Fatalf("to another control: %+v", toPeer.Warmups)
	}
	b.mu.Lock()
	b.mergeWarmups(time.Now(), toPeer.Warmups)
	b.mu.Unlock()
	for name, n := range map[string]*Node{"a": a, "b": b} {
		request := member.WatchRequest{Entry: &member.Presence{ID: "e", Incarnation: 1, Sequence: 1}, WarmupsVersion: warmup.NoVersion}
		if !n.hasNews(member.WatchRequest{RunID: n.runID, RosterVersion: n.fleet.roster.Version(), Entry: request.Entry, WarmupsVersion: warmup.NoVersion}) {
			t.Errorf("%s: a cold server is no news", name)
		}
		got := n.watchReply(request).Warmups
		if len(got) != 1 || got[0].Server != "s" || got[0].Remaining > 3*time.Second || got[0].Remaining < 2*time.Second {
			t.Errorf("%s: %+v", name, got)
		}
	}
	if news := a.watchReply(a.watchReply(member.WatchRequest{}).Next()); len(news.Roster.Records) > 0 {
		t.Errorf("the warm-up is sent with each record: %+v", news.Roster.Records)
	}
}

// stateWithPlan returns the state in which a routing plan is in force.
func stateWithPlan(t *testing.T, c route.Config) *state.State {
	t.Helper()
	s := state.New()
	data, err := json.Marshal(route.Document{Config: c})
	if err != nil {
		t.Fatal(err)
	}
	if r := s.Apply(1, state.Command{Change: &change.Change{ID: "plan", Kind: change.PutRouting, Name: catalog.RoutingName, Document: data}}); r.Change.Status != change.Accepted {
		t.Fatalf("%+v", r.Change)
	}
	return s
}
