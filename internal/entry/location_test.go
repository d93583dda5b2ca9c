package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"rosereach/core/backend"
	"rosereach/core/catalog"
	"rosereach/core/evacuation"
	"rosereach/core/forward"
	"rosereach/core/reach"
	"rosereach/core/roster"
	"rosereach/core/route"
	"rosereach/core/warmup"
	"rosereach/io/detour"
	"rosereach/io/member"
)

// located is a server's place in the tests of this file.
type located struct{ id, region, zone string }

// serverAt starts a backend server at a place and announces it.
func (r *harness) serverAt(l located, h http.HandlerFunc) *atomic.Int64 {
	r.t.Helper()
	var n atomic.Int64
	r.server(l.id, func(w http.ResponseWriter, req *http.Request) {
		n.Add(1)
		h(w, req)
	})
	f := r.entry.forwarder
	f.mu.Lock()
	rec, _ := f.roster.Find(l.id)
	f.mu.Unlock()
	a := rec.Server
	a.Sequence, a.Region, a.Zone = 2, l.region, l.zone
	f.updateRoster(time.Now(), roster.Delta{Records: []roster.Record{{Server: a}}})
	return &n
}

// change puts changed documents into force.
func (r *harness) change(edit func(*catalog.Documents)) {
	docs := r.entry.catalog.Load().Documents().Clone()
	plan := *docs.Routing
	docs.Routing = &plan
	docs.Revision++
	edit(&docs)
	r.entry.applyDocuments(&docs)
}

// homes sets the home regions of all routes and confirms the plan.
func (r *harness) homes(regions ...string) {
	r.change(func(d *catalog.Documents) {
		routes := append([]route.Route(nil), d.Routing.Config.Routes...)
		for i := range routes {
			routes[i].Regions = regions
		}
		d.Routing.Config.Routes = routes
	})
	r.entry.forwarder.watcher.planConfirmed.Store(true)
}

func answer(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "done") }

func refuseRequest(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Refused", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// A request stays in its home regions when the servers there refuse it or break off, for
// every kind of route, and one whose workspace has other homes than its route is rejected.
func TestRetriesStayInHomeRegions(t *testing.T) {
	broken := func(w http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }
	for name, h := range map[string]http.HandlerFunc{"refusing": refuseRequest, "breaking": broken} {
		r := newHarness(t)
		r.plan()
		home := r.serverAt(located{"home", "a", "a1"}, h)
		abroad := r.serverAt(located{"abroad", "b", "b1"}, answer)
		r.homes("a")
		for _, kind := range []route.Kind{route.Safe, route.Unsafe, route.Streaming} {
			if _, err := r.send(kind); err == nil {
				t.Errorf("%s, %s: answered", name, kind)
			}
		}
		if home.Load() == 0 || abroad.Load() != 0 {
			t.Errorf("%s: %d requests at home, %d abroad", name, home.Load(), abroad.Load())
		}
		r.change(func(d *catalog.Documents) {
			ws := append([]route.Workspace(nil), d.Routing.Config.Workspaces...)
			ws[0].Regions = []string{"b"}
			d.Routing.Config.Workspaces = ws
		})
		before := home.Load()
		if _, err := r.send(route.Safe); codeOf(err) != forward.NoServer || home.Load() != before || abroad.Load() != 0 {
			t.Errorf("%s: homes that exclude each other: %v", name, err)
		}
	}
}

// A request whose home region has no server is rejected at once, as not run, with a time at
// which to come back, and is served when a server appears there.
func TestHomeWithoutServerRejectsAtOnce(t *testing.T) {
	r := newHarness(t)
	r.plan()
	abroad := r.serverAt(located{"abroad", "b", "b1"}, answer)
	r.homes("a", "unknown")
	start := time.Now()
	_, err := r.send(route.Unsafe)
	failure, ok := asFailure(err)
	if !ok || !failure.IsNotRun() || failure.RetryAfter <= 0 || time.Since(start) > 300*time.Millisecond || abroad.Load() != 0 {
		t.Fatalf("%v after %v, %d requests abroad", err, time.Since(start), abroad.Load())
	}
	r.serverAt(located{"home", "a", "a1"}, answer)
	if _, err := r.send(route.Unsafe); err != nil || abroad.Load() != 0 {
		t.Fatalf("%v, %d requests abroad", err, abroad.Load())
	}
}

// An entry that has started with a plan of a control without a majority does not let requests
// out of its own region, as a newer plan may forbid it. Plans without homes are not affected.
func TestUnconfirmedPlanKeepsRequestsInRegion(t *testing.T) {
	r := newHarness(t)
	r.plan()
	abroad := r.serverAt(located{"abroad", "b", "b1"}, answer)
	if _, err := r.send(route.Safe); err != nil {
		t.Fatalf("a plan without homes: %v", err)
	}
	r.homes("r", "b")
	w := r.entry.forwarder.watcher
	w.planConfirmed.Store(false)
	w.confirmPlan(member.WatchReply{DocumentsRevision: 1})
	before := abroad.Load()
	if _, err := r.send(route.Safe); codeOf(err) != forward.NoServer || abroad.Load() != before {
		t.Fatalf("unconfirmed: %v", err)
	}
	w.confirmPlan(member.WatchReply{Current: true, DocumentsRevision: r.entry.catalog.Load().Revision()})
	if _, err := r.send(route.Safe); err != nil || abroad.Load() != before+1 {
		t.Fatalf("confirmed: %v", err)
	}
}

func evacuate(zone string, active bool) func(*catalog.Documents) {
	return func(d *catalog.Documents) {
		d.Evacuations[zone] = evacuation.Order{Zone: zone, Active: active, Revision: d.Revision}
	}
}

// No request goes to an evacuated zone: a new one, a retry, nor one whose server was chosen
// before the evacuation. It ends with the evacuation.
func TestEvacuatedZoneGetsNothing(t *testing.T) {
	r := newHarness(t)
	r.plan()
	zone1 := r.serverAt(located{"one", "r", "z1"}, answer)
	zone2 := r.serverAt(located{"two", "r", "z2"}, refuseRequest)
	f := r.entry.forwarder
	x, failure := r.entry.accept(forward.Request{ID: "id-1", Method: "POST", Host: "h", Path: "/safe/x", Target: "/safe/x", Key: "k", Arrived: time.Now()}, &recordingSink{})
	if failure != nil {
		t.Fatal(failure)
	}
	var chosen *attempt
	for chosen == nil || chosen.server.ID != "one" {
		chosen, _ = f.chooseServer(x)
	}
	r.change(evacuate("z1", true))
	if err := f.admit(chosen); err == nil || chosen.withheld != withheldEvacuated {
		t.Errorf("an attempt chosen before the evacuation: %v, %q", err, chosen.withheld)
	}
	for range 10 {
		if _, err := r.send(route.Safe); err == nil {
			t.Fatal("answered during the evacuation")
		}
	}
	if zone1.Load() != 0 || zone2.Load() == 0 {
		t.Errorf("%d requests in the evacuated zone, %d elsewhere", zone1.Load(), zone2.Load())
	}
	if _, status := f.detours.connectFor(context.Background(), detourTarget("one")); status == 0 {
		t.Error("the entry connects others to the evacuated zone")
	}
	r.change(evacuate("z1", false))
	if _, err := r.send(route.Safe); err != nil || zone1.Load() == 0 {
		t.Errorf("after the evacuation: %v", err)
	}
}

// All servers of a zone whose evacuation ends count as cold for their time to warm up.
func TestServersAreColdAfterEvacuation(t *testing.T) {
	r := newHarness(t)
	r.plan()
	zone1 := r.serverAt(located{"one", "r", "z1"}, answer)
	r.change(func(d *catalog.Documents) {
		d.Routing.Config.Services = []route.Service{{Name: "s", WarmupTime: time.Minute, WarmupRate: 4}}
		evacuate("z1", true)(d)
	})
	r.change(evacuate("z1", false))
	for range 20 {
		r.send(route.Safe)
	}
	if n := zone1.Load(); n != 1 {
		t.Errorf("%d requests at once at a cold server", n)
	}
}

// coldFleet is entries without controls in front of one server that warms up.
type coldFleet struct {
	entries []*harness
	mu      sync.Mutex
	arrived []time.Time
}

// An entry that is cut off from the controls keeps its part of the bound of servers that warm
// up, as do all others: dozens of them that want the same server at once stay within it.
// Callers whose entry may not use it are told at once, and nothing has run.
func TestEntriesWithoutControlsKeepBoundOfColdServer(t *testing.T) {
	const entries, rate = 40, 8.8
	bounds := warmup.Bounds{Overshoot: 1.5, Slack: 5}
	f := &coldFleet{}
	s := &http.Server{ReadHeaderTimeout: time.Minute, Handler: naming(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		f.mu.Lock()
		f.arrived = append(f.arrived, time.Now())
		f.mu.Unlock()
		io.WriteString(w, "done")
	}))}
	l := listen(t)
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	for i := range entries {
		r := newHarness(t)
		r.entry.cfg.ID = fmt.Sprint("entry-", i)
		r.entry.forwarder.warmups = warmup.NewLimiter(r.entry.cfg.ID, bounds)
		r.entry.forwarder.warmups.SetEntries(entries)
		r.plan()
		r.change(func(d *catalog.Documents) {
			d.Routing.Config.Services = []route.Service{{Name: "s", WarmupTime: 3 * time.Second, WarmupRate: rate}}
		})
		r.entry.forwarder.applyWarmups(time.Now(), member.WatchReply{Warmups: []warmup.Notice{{Server: "a", Incarnation: 1, Remaining: time.Minute}}}, &watchState{})
		r.announce("a", l.Addr().String(), 1, backend.Serving)
		f.entries = append(f.entries, r)
	}
	var wg sync.WaitGroup
	end := time.Now().Add(3 * time.Second)
	for _, r := range f.entries {
		wg.Go(func() {
			for time.Now().Before(end) {
				if _, err := r.send(route.Unsafe); err != nil && codeOf(err) != forward.NoServer {
					t.Errorf("%v", err)
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	most := 0
	for i, from := range f.arrived {
		n := 0
		for _, at := range f.arrived[i:] {
			if at.Sub(from) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	if bound := rate*bounds.Overshoot + bounds.Slack; float64(most) > bound || len(f.arrived) == 0 {
		t.Errorf("%d requests in a second of %d in all, bound %.1f", most, len(f.arrived), bound)
	}
}

// A cut-off entry takes no detour over a border: neither a new connection through an entry
// abroad, nor an idle one that was opened for a request without homes.
func TestDetourDoesNotCrossABorder(t *testing.T) {
	c := newCutFleet(t, 3, answer)
	e := c.startForwardingEntry("forwarding-1")
	c.startForwardingEntry("forwarding-2")
	d := e.forwarder.detours
	waitFor(t, "a relay", func() bool { return d.relayCount() > 0 })
	d.mu.Lock()
	regions := d.regions["forwarding-2"]
	d.mu.Unlock()
	if regions != "r" {
		t.Fatalf("the relay is in region %q", regions)
	}
	c.cut(e, refusingAddress(t))
	send := func() error {
		req := forward.Request{ID: "request", Method: http.MethodGet, Host: "h", Path: "/safe/x", Target: "/safe/x", Key: "k", Arrived: time.Now()}
		return e.Forward(context.Background(), req, &recordingSink{})
	}
	waitFor(t, "a detour", func() bool { return send() == nil })
	d.mu.Lock()
	d.relays.Set([]reach.Relay{{ID: "abroad", Address: "127.0.0.1:1"}})
	d.regions = map[string]string{"abroad": "b", "forwarding-2": "b"}
	d.mu.Unlock()
	if e.forwarder.client.HasIdle(c.servers[0].Address, func(region string) bool { return region == "nowhere" }) {
		t.Error("an idle connection through a forbidden region is used")
	}
	r := harness{t: t, entry: e}
	r.homes("r")
	runs, opened := c.runs.Load(), d.openedCount()
	d.forwarder.client.CloseIdle(func(string) bool { return false })
	if err := send(); err == nil || c.runs.Load() != runs || d.openedCount() != opened {
		t.Errorf("%v, %d more runs, %d more detours", err, c.runs.Load()-runs, d.openedCount()-opened)
	}
}

// detourTarget is what another entry asks for to reach a server.
func detourTarget(server string) detour.Target { return detour.Target{Server: server, Incarnation: 1} }

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}
