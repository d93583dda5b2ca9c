package test

import (
	"context"
	"crypto/rand"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/clock"

	"rosereach/core/backend"
	"rosereach/core/request"
	"rosereach/core/version"
	"rosereach/internal/fake"
	"rosereach/internal/fault"
	"rosereach/io/caller"
)

// maxLeaveDelay is how long a backend server may still get new requests after it has
// announced that it is leaving.
const maxLeaveDelay = 3 * time.Second

// startLocalEngine runs a fake engine in this process and announces it to the
// entries.
func startLocalEngine(t *testing.T, f *fleet, id string) *fake.Engine {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	e := fake.NewEngine(fake.EngineConfig{
		ID: id, Incarnation: 1, Region: "central", Zone: "sanjose", Versions: []version.Ref{{Model: "small", Version: "v1"}},
		Capacity: 64, StepTime: 5 * time.Millisecond, Clock: clock.WallClock,
	})
	go e.Run(ctx)
	announceLocal(ctx, t, f, e.Handler(), e.Announcement)
	return e
}

// announceLocal serves the handler on loopback and announces it to the entries.
func announceLocal(ctx context.Context, t testing.TB, f *fleet, h http.Handler, describe func(string) backend.Announcement) {
	t.Helper()
	announceAt(ctx, f, serveLocal(t, h), describe)
}

func serveLocal(t testing.TB, h http.Handler) string {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}

func announceAt(ctx context.Context, f *fleet, address string, describe func(string) backend.Announcement) {
	a := &fake.Announcer{Key: f.backendKey, Clock: clock.WallClock, Describe: func() backend.Announcement { return describe(address) }}
	for _, e := range f.entries {
		a.Entries = append(a.Entries, e.address)
	}
	a.AnnounceOnce(ctx)
	go a.Run(ctx)
}

// An entry is killed while it runs a chat and a POST request to a plain service.
// The chat runs again when it is retried at another entry, and is billed once. The
// POST request must not run again: the service is asked for its outcome, it is
// billed once, and the retry gets the recorded answer.
func TestEntryKilled(t *testing.T) {
	f := startFleet(t, 2)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	startLocalEngine(t, f, "engine-1")
	service := fake.NewService(fake.ServiceConfig{
		ID: "ledger-1", Incarnation: 1, Region: "central", Zone: "sanjose", Service: "ledger", Capacity: 8, Clock: clock.WallClock,
	})
	slow, err := fault.Start(ctx, serveLocal(t, service.Handler()))
	if err != nil {
		t.Fatal(err)
	}
	slow.SetPlan(fault.Plan{Delay: 2 * time.Second})
	announceAt(ctx, f, slow.Address(), service.Announcement)
	key := f.setUpDocuments("small@v1")
	send := func(entry int, posting bool) (caller.Reply, error) {
		if posting {
			return f.client(entry, key).Service(ctx, "ledger", http.MethodPost, "/x", nil, caller.CallOptions{RequestID: "posting"})
		}
		return f.client(entry, key).Chat(ctx, chat("small", 500, true), caller.CallOptions{RequestID: "chat"})
	}
	var first sync.WaitGroup
	first.Go(func() { send(0, false) })
	first.Go(func() { send(0, true) })
	waitFor(t, "the posting's run", func() bool { return len(service.Log.ByRequest("posting")) == 1 })
	f.entries[0].kill()
	slow.SetPlan(fault.Plan{})
	first.Wait()
	chatReply, err := send(1, false)
	if err != nil || !chatReply.Complete || chatReply.Tokens != 500 {
		t.Errorf("retried chat: whole %v, %d tokens, %+v, %v", chatReply.Complete, chatReply.Tokens, chatReply.Problem, err)
	}
	posting, err := send(1, true)
	if err != nil || posting.Outcome() != request.Done || !posting.Repeated || !strings.Contains(posting.Text, `"request_id":"posting"`) {
		t.Errorf("retried posting: %+v, %v", posting, err)
	}
	if runs := service.Log.ByRequest("posting"); len(runs) != 1 {
		t.Errorf("runs of the posting: %+v", runs)
	}
	bills, err := f.operator.Bills(ctx, 0)
	if err != nil {
		t.Fatal(err)
	}
	billed := make(map[string]int)
	for _, b := range bills {
		billed[b.Key.RequestID]++
	}
	if billed["chat"] != 1 || billed["posting"] != 1 {
		t.Errorf("bills: %v", billed)
	}
}

// A backend server that has announced that it is leaving gets no new requests later
// than 3 s after the announcement, and its running requests are finished.
func TestBackendLeaves(t *testing.T) {
	f := startFleet(t, 2)
	leaving := startLocalEngine(t, f, "engine-1")
	startLocalEngine(t, f, "engine-2")
	key := f.setUpDocuments("small@v1")
	tr := startTraffic(f, key, 0)
	tr.stop()
	ctx, stop := context.WithCancel(context.Background())
	for range 8 {
		tr.senders.Go(func() {
			for ctx.Err() == nil {
				tr.send("chat-"+rand.Text(), false)
			}
		})
	}
	waitFor(t, "work on the engine", func() bool { return len(leaving.Log.Runs()) > 20 })
	leftAt := time.Now()
	leaving.Leave()
	waitFor(t, "work after it left", func() bool { return time.Since(leftAt) > maxLeaveDelay && leaving.InFlight() == 0 })
	after := tr.count()
	waitFor(t, "more work elsewhere", func() bool { return tr.count() > after+50 })
	stop()
	tr.senders.Wait()
	for _, r := range leaving.Log.Runs() {
		if r.StartedAt.Sub(leftAt) > maxLeaveDelay {
			t.Errorf("run started %s after the announcement: %+v", r.StartedAt.Sub(leftAt), r)
		}
		if !r.Completed {
			t.Errorf("run was cut off: %+v", r)
		}
	}
	for id, final := range tr.finals {
		if final.Outcome() != request.Done {
			t.Errorf("%s: %+v, %v", id, final.Reply.Problem, final.Err)
		}
	}
}
