package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/juju/clock"

	"rosereach/core/backend"
	"rosereach/core/catalog"
	"rosereach/core/forward"
	"rosereach/core/key"
	"rosereach/core/lease"
	"rosereach/core/retry"
	"rosereach/core/route"
)

// crashingServers are backend servers that end when they begin to answer a request with
// the crashing part, and start again under another id at the same address, if it is still free.
type crashingServers struct {
	*fleet
	mu       sync.Mutex
	started  int
	ends     []time.Time
	arrivals []time.Time // of requests with the crashing part
}

const (
	crashingPart = "bad"
	restartTime  = 150 * time.Millisecond
)

// newCrashingServers starts servers and entries that forward to them.
func newCrashingServers(t *testing.T, servers, entries int) (*crashingServers, []*Entry) {
	t.Helper()
	s := &crashingServers{fleet: newFleet(t, 0)}
	for range servers {
		s.start()
	}
	var started []*Entry
	for i := range entries {
		started = append(started, s.startForwardingEntry(fmt.Sprintf("forwarding-%d", i+1)))
	}
	return s, started
}

func (s *crashingServers) start() { s.startAt("127.0.0.1:0") }

func (s *crashingServers) startAt(address string) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		l, err = net.Listen("tcp", "127.0.0.1:0")
	}
	if err != nil {
		s.t.Error(err)
		return
	}
	s.mu.Lock()
	s.started++
	incarnation := uint64(s.started)
	id := fmt.Sprintf("server-%d", s.started)
	s.mu.Unlock()
	server := &http.Server{ReadHeaderTimeout: time.Minute}
	var end sync.Once
	server.Handler = naming(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.Contains(r.URL.Path, crashingPart) {
			io.WriteString(w, "done")
			return
		}
		s.mu.Lock()
		s.arrivals = append(s.arrivals, time.Now())
		s.mu.Unlock()
		w.WriteHeader(http.StatusOK)
		http.NewResponseController(w).Flush()
		end.Do(func() {
			s.mu.Lock()
			s.ends = append(s.ends, time.Now())
			s.mu.Unlock()
			server.Close()
			time.AfterFunc(restartTime, func() { s.startAt(l.Addr().String()) })
		})
	}))
	go server.Serve(l)
	s.t.Cleanup(func() { server.Close() })
	s.control.Announce(backend.Announcement{
		ID: id, Incarnation: incarnation, Sequence: 1, Service: "s", Address: l.Addr().String(), Capacity: 8, State: backend.Serving, Region: "r", Zone: "z",
	})
}

// startForwardingEntry starts an entry that follows the fleet's control.
func (f *fleet) startForwardingEntry(id string) *Entry {
	f.t.Helper()
	relay, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	e := New(Config{
		ID: id, Incarnation: 1, Region: "r", Zone: "z", MemberKey: "m", Terms: lease.DefaultConfig(), MaxRunning: 100, MaxWaiting: 100,
		Clock: clock.WallClock, Logger: log.NewNopLogger(),
		Forwarding: &Forwarding{
			Dialect: testDialect{}, RelayAddress: relay.Addr().String(), FailOpen: true, ExposureShare: 0.15, Controls: func() []string { return []string{f.controlProxy.Address()} },
			Retries: retry.WindowBudgetConfig{Ratio: 1, Slack: 50, Window: 10 * time.Second},
		},
	})
	var routes []route.Route
	for _, kind := range []route.Kind{route.Safe, route.Unsafe, route.Streaming} {
		routes = append(routes, route.Route{
			Name: string(kind), Host: "h", Prefix: "/" + string(kind) + "/", Kind: kind, MaxAttempts: 3, Timeout: 5 * time.Second, Objective: time.Second,
			Targets: []route.Target{{Service: "s", Weight: 1}},
		})
	}
	e.applyDocuments(&catalog.Documents{Revision: 1 << 20, Routing: &route.Document{Config: route.Config{
		Version: 1, Services: []route.Service{{Name: "s"}},
		Routes:     routes,
		Workspaces: []route.Workspace{{Name: "w", KeyHashes: []string{key.Hash("k")}}},
	}}})
	ended := make(chan struct{})
	ctx, cancel := context.WithCancel(f.ctx)
	go func() {
		defer close(ended)
		e.Run(ctx)
	}()
	go e.ServeDetours(ctx, relay)
	f.t.Cleanup(func() {
		cancel()
		<-ended
	})
	waitFor(f.t, "servers at "+id, func() bool { return e.forwarder.hasServers("s") })
	return e
}

// forwardPart sends a request whose prompt has the given part between a common first and
// a last part of its own, which its body holds too.
func forwardPart(e *Entry, n int, part string) error {
	req := forward.Request{
		ID: fmt.Sprintf("%s-%s-%d", e.cfg.ID, part, n), Method: http.MethodPost, Host: "h", Path: "/safe/" + part, Target: "/safe/" + part,
		Key: "k", Arrived: time.Now(), Body: forward.BodyOf(fmt.Append(nil, e.cfg.ID, part, n)), Prompt: []forward.Part{{ID: "common", Tokens: 10}, {ID: part, Tokens: 10}, {ID: fmt.Sprint(e.cfg.ID, part, n), Tokens: 1}},
	}
	return e.Forward(context.Background(), req, &recordingSink{})
}

// Requests with one part crash each server that begins to answer them; they come at any
// entry, beside sound ones with the same caller and first part. Later than the contact
// time after the fifth end, three of them at most reach a server, and all sound ones are
// served.
func TestCrashingPartEndsFewServers(t *testing.T) {
	const contact = 4 * time.Second
	s, entries := newCrashingServers(t, 4, 4)
	bound := func() time.Time {
		s.mu.Lock()
		defer s.mu.Unlock()
		if len(s.ends) < 5 {
			return time.Time{}
		}
		return s.ends[4].Add(contact)
	}
	for n := 0; bound().IsZero() || time.Now().Before(bound()); n++ {
		for _, e := range entries {
			forwardPart(e, n, "sound")
		}
		forwardPart(entries[n%len(entries)], n, crashingPart)
		time.Sleep(20 * time.Millisecond)
	}
	served := 0
	for n := range 40 {
		e := entries[n%len(entries)]
		forwardPart(e, 1000+n, crashingPart)
		if forwardPart(e, 1000+n, "sound") == nil {
			served++
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	late := 0
	for _, at := range s.arrivals {
		if at.After(s.ends[4].Add(contact)) {
			late++
		}
	}
	if late > 3 || served < 40 {
		t.Errorf("%d requests reached servers later than %v after the fifth end; %d servers ended; %d of 40 sound requests are served", late, contact, len(s.ends), served)
	}
}

// crashOnce returns a handler that ends its server with the first request.
func (r *harness) crashOnce(id string, ends *atomic.Int64) {
	r.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.t.Fatal(err)
	}
	s := &http.Server{ReadHeaderTimeout: time.Minute}
	s.Handler = naming(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		ends.Add(1)
		w.WriteHeader(http.StatusOK)
		http.NewResponseController(w).Flush()
		s.Close()
	}))
	go s.Serve(l)
	r.t.Cleanup(func() { s.Close() })
	r.announce(id, l.Addr().String(), 1, backend.Serving)
}

// A request ends two servers at most, of four that it may be sent to.
func TestRequestEndsTwoServersAtMost(t *testing.T) {
	r := newHarness(t)
	r.plan()
	var ends atomic.Int64
	for _, id := range []string{"a", "b", "c", "d"} {
		r.crashOnce(id, &ends)
	}
	prompt := []forward.Part{{ID: "common"}, {ID: "bad"}, {ID: "own"}}
	if _, err := r.sendWith(context.Background(), forward.Request{Path: "/safe/", Key: "k", Prompt: prompt}); codeOf(err) != forward.AnswerLost || ends.Load() != 2 {
		t.Fatalf("%d servers ended, %v", ends.Load(), err)
	}
}

// Two servers that ended under a request don't keep it from a third if all its shared parts
// are answered of late: they failed for another reason.
func TestProvenRequestMayOutlastTwoServers(t *testing.T) {
	r := newHarness(t)
	r.plan()
	r.server("sound", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "done") })
	proven := []forward.Part{{ID: "common"}, {ID: "own"}}
	if _, err := r.sendWith(context.Background(), forward.Request{Path: "/safe/", Key: "k", Prompt: proven}); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		ends   int
		prompt []forward.Part
		want   bool
	}{
		{0, []forward.Part{{ID: "unknown"}, {ID: "own"}}, true},
		{1, []forward.Part{{ID: "unknown"}, {ID: "own"}}, true},
		{2, []forward.Part{{ID: "common"}, {ID: "unknown"}, {ID: "own"}}, false},
		{2, []forward.Part{{ID: "common"}, {ID: "other"}}, true},
		{2, nil, false},
	} {
		x := &activeRequest{forwarder: r.entry.forwarder, service: "s", ends: c.ends, req: forward.Request{Prompt: c.prompt}}
		x.parts = x.sharedParts()
		if got := x.maySpread(); got != c.want {
			t.Errorf("after %d ends, prompt %v: %v", c.ends, c.prompt, got)
		}
	}
}

// A connection that breaks off while its server goes on is not the end of the server.
func TestBrokenConnectionIsNoServerEnd(t *testing.T) {
	r := newHarness(t)
	r.plan()
	for _, id := range []string{"a", "b", "c"} {
		r.server(id, func(w http.ResponseWriter, _ *http.Request) { hangUp(w) })
	}
	prompt := []forward.Part{{ID: "common"}, {ID: "own"}}
	for range 10 {
		r.sendWith(context.Background(), forward.Request{Path: "/safe/", Key: "k", Prompt: prompt})
	}
	f := r.entry.forwarder
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.parts.ended) > 0 {
		t.Errorf("%d servers count as ended", len(f.parts.ended))
	}
}
