package entry

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/juju/clock"

	"rosereach/core/backend"
	"rosereach/core/change"
	"rosereach/core/lease"
	"rosereach/core/ledger"
	"rosereach/core/state"
	"rosereach/core/version"
	"rosereach/core/workspace"
	"rosereach/internal/control"
	"rosereach/internal/fake"
	"rosereach/internal/fault"
	"rosereach/io/caller"
)

const waitLimit = 60 * time.Second

// fleet is a control, entries and backend servers in this process. The control and
// the backend servers are each behind a proxy that can inject faults.
type fleet struct {
	t            testing.TB
	ctx          context.Context
	key          string
	control      *control.Node
	controlProxy *fault.Proxy
	entries      []*Entry
	addrs        []string
	engines      map[string]*fake.Engine
	services     map[string]*fake.Service
	proxies      map[string]*fault.Proxy
}

func waitFor(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

func newFleet(t testing.TB, entries int) *fleet {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{
		t: t, ctx: ctx, key: rand.Text(), engines: make(map[string]*fake.Engine),
		services: make(map[string]*fake.Service), proxies: make(map[string]*fault.Proxy),
	}
	node, err := control.Open(control.Config{
		ID: "control-1", Folder: t.TempDir(), MemberKey: "m", OperatorKey: "o", Terms: lease.DefaultConfig(),
		Clock: clock.WallClock, Logger: log.NewNopLogger(),
	})
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		node.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	f.control = node
	f.controlProxy = f.proxy(serveHTTP(t, node.Handler()))
	waitFor(t, "a leader", func() bool { return len(node.Catalog().Documents().SealKeys) > 0 })
	f.putDocuments()
	for i := range entries {
		f.startEntry(fmt.Sprintf("entry-%d", i+1))
	}
	return f
}

func serveHTTP(t testing.TB, h http.Handler) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s.Listener.Addr().String()
}

func (f *fleet) proxy(target string) *fault.Proxy {
	f.t.Helper()
	p, err := fault.Start(f.ctx, target)
	if err != nil {
		f.t.Fatal(err)
	}
	return p
}

func (f *fleet) startEntry(id string) *Entry {
	f.t.Helper()
	server := httptest.NewUnstartedServer(nil)
	address := server.Listener.Addr().String()
	e := New(Config{
		ID: id, Incarnation: uint64(time.Now().UnixNano()), Region: "central", Zone: "sanjose", Address: address,
		Controls: []string{f.controlProxy.Address()}, MemberKey: "m", BackendKey: "b", Terms: lease.DefaultConfig(),
		AddressTTL: time.Millisecond, Timeout: 30 * time.Second, MaxBody: 1 << 20, MaxRunning: 1024, MaxWaiting: 1024,
		Clock: clock.WallClock, Logger: log.NewNopLogger(),
	})
	server.Config.Handler = e.Handler()
	server.Start()
	f.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	go e.Run(f.ctx)
	f.entries = append(f.entries, e)
	f.addrs = append(f.addrs, address)
	waitFor(f.t, "lease of "+id, e.Ready)
	return e
}

// putDocuments puts a template, a version, a service and a workspace into
// force.
func (f *fleet) putDocuments() {
	f.t.Helper()
	for _, c := range []change.Change{
		{Kind: change.PutTemplate, Name: "drafting", Document: json.RawMessage(`{"name":"drafting","parameters":[],"policy":{
			"allow":["small@*"],"quality_target":0.5,"services":["ledger"],"limits":{}}}`)},
		{Kind: change.PutVersion, Name: "small@v1", Document: json.RawMessage(`{"ref":{"model":"small","version":"v1"},"quality":0.8,"input_price":100,"output_price":400}`)},
		{Kind: change.MoveVersion, Name: "small@v1", Document: json.RawMessage(`{"trigger":"serve"}`)},
		{Kind: change.PutService, Name: "ledger", Document: json.RawMessage(`{"name":"ledger"}`)},
		{Kind: change.PutWorkspace, Name: "terminalna", Document: json.RawMessage(`{"name":"terminalna","template":"drafting","values":{}}`)},
		{Kind: change.AddKey, Name: "terminalna", Document: json.RawMessage(fmt.Sprintf(`{"hash":%q}`, workspace.HashKey(f.key)))},
	} {
		f.change(c)
	}
}

func (f *fleet) change(c change.Change) {
	f.t.Helper()
	c.ID, c.Actor = rand.Text(), "test"
	r, err := f.control.Change(f.ctx, c)
	if err != nil || r.Status != change.Accepted {
		f.t.Fatalf("%s %s: %+v, %v", c.Kind, c.Name, r, err)
	}
}

// startEngine starts an engine with the given time per step and announces it.
func (f *fleet) startEngine(id string, step time.Duration) {
	f.t.Helper()
	ref := version.Ref{Model: "small", Version: "v1"}
	e := fake.NewEngine(fake.EngineConfig{
		ID: id, Incarnation: 1, Region: "central", Zone: "sanjose", Versions: []version.Ref{ref}, Capacity: 64,
		StepTime: step, Clock: clock.WallClock,
	})
	go e.Run(f.ctx)
	f.engines[id] = e
	p := f.proxy(serveHTTP(f.t, e.Handler()))
	f.proxies[id] = p
	f.announce(func() backend.Announcement { return e.Announcement(p.Address()) })
}

func (f *fleet) startService(id string) {
	f.t.Helper()
	s := fake.NewService(fake.ServiceConfig{
		ID: id, Incarnation: 1, Region: "central", Zone: "sanjose", Service: "ledger", Capacity: 64, Clock: clock.WallClock,
	})
	f.services[id] = s
	p := f.proxy(serveHTTP(f.t, s.Handler()))
	f.proxies[id] = p
	f.announce(func() backend.Announcement { return s.Announcement(p.Address()) })
}

// announce makes a backend server announce itself to the first entry, which relays
// it to the others.
func (f *fleet) announce(describe func() backend.Announcement) {
	f.t.Helper()
	a := &fake.Announcer{Entries: f.addrs[:1], Key: "b", Clock: clock.WallClock, Describe: describe}
	a.AnnounceOnce(f.ctx)
	go a.Run(f.ctx)
	announcement := describe()
	for _, e := range f.entries {
		waitFor(f.t, announcement.ID+" at "+e.cfg.ID, func() bool { return e.mayUseServer(announcement.ID) })
	}
}

// mayUseServer reports whether the entry may send requests to the backend
// server.
func (e *Entry) mayUseServer(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.registry.MayServe(e.cfg.Clock.Now(), id, 1)
}

func (f *fleet) client(entry int) caller.Client {
	return caller.Client{Address: f.addrs[entry], Key: f.key}
}

// bills returns the number of bills for each request ID.
func (f *fleet) bills() map[string]int {
	billed := make(map[string]int)
	f.control.View(func(s *state.State) {
		for _, b := range s.Ledger().Bills(0, 10_000) {
			billed[b.Key.RequestID]++
		}
	})
	return billed
}

// record returns the ledger's record of a request.
func (f *fleet) record(id string) (r ledger.Record, ok bool) {
	f.control.View(func(s *state.State) { r, ok = s.Ledger().Find(ledger.Key{Workspace: "terminalna", RequestID: id}) })
	return r, ok
}
