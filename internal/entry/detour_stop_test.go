package entry

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"rosereach/core/forward"
)

// A stopping entry ended the streams that passed through it for another entry as soon as its own
// callers were gone. It waits for them, and takes no new ones, so that the other entry chooses
// another way.
func TestStoppingEntryAwaitsDetours(t *testing.T) {
	release := make(chan struct{})
	c := newCutFleet(t, 1, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			return
		}
		io.WriteString(w, "id: 1\ndata: a\n\n")
		http.NewResponseController(w).Flush()
		<-release
		io.WriteString(w, "id: 2\ndata: b\n\n")
	})
	cut, relay := c.startForwardingEntry("forwarding-1"), c.startForwardingEntry("forwarding-2")
	waitFor(t, "a relay", func() bool { return cut.forwarder.detours.relayCount() > 0 })
	c.cut(cut, refusingAddress(t))
	send := func(method, kind string, sink forward.Sink) error {
		return cut.Forward(context.Background(), forward.Request{
			ID: kind, Method: method, Host: "h", Path: "/" + kind + "/x", Target: "/" + kind + "/x", Key: "k", Arrived: time.Now(),
		}, sink)
	}
	sink := &recordingSink{}
	streamed := make(chan error, 1)
	go func() { streamed <- send(http.MethodPost, "streaming", sink) }()
	waitFor(t, "the first event", func() bool { return sink.text() == "id: 1\ndata: a\n\n" })

	relay.stopping.begin(stopIn(0, time.Minute))
	gone := make(chan struct{})
	go func() {
		relay.AwaitDetours(t.Context())
		close(gone)
	}()
	if err := send(http.MethodGet, "safe", &recordingSink{}); codeOf(err) != forward.NoServer {
		t.Errorf("a new request through the stopping entry: %v", err)
	}
	if n := c.runs.Load(); n != 1 {
		t.Errorf("%d requests have reached a server", n)
	}
	select {
	case <-gone:
		t.Error("the entry does not wait for the stream")
	default:
	}
	close(release)
	if err := <-streamed; err != nil || sink.text() != "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" {
		t.Errorf("%q, %v", sink.text(), err)
	}
	cut.forwarder.client.CloseIdle(func(string) bool { return false })
	select {
	case <-gone:
	case <-time.After(10 * time.Second):
		t.Error("the entry still waits")
	}
}

// The wait for detours ends with its context, at the latest when the process has to exit.
func TestWaitForDetoursEnds(t *testing.T) {
	h := newHarness(t)
	if !h.entry.forwarder.detours.takeRoom() {
		t.Fatal("no room")
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	h.entry.AwaitDetours(ctx)
}

// A connection that was kept open through a stopping entry took further requests, which the exit of
// that entry cut.
func TestKeptDetourThroughStoppingEntryIsNotUsedAgain(t *testing.T) {
	c := newCutFleet(t, 1, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "done") })
	cut := c.startForwardingEntry("forwarding-1")
	others := []*Entry{c.startForwardingEntry("forwarding-2"), c.startForwardingEntry("forwarding-3")}
	waitFor(t, "two relays", func() bool { return cut.forwarder.detours.relayCount() == len(others) })
	c.cut(cut, refusingAddress(t))
	send := func() {
		t.Helper()
		err := cut.Forward(context.Background(), forward.Request{
			ID: "request", Method: http.MethodGet, Host: "h", Path: "/safe/x", Target: "/safe/x", Key: "k", Arrived: time.Now(),
		}, &recordingSink{})
		if err != nil {
			t.Fatal(err)
		}
	}
	taken := func(e *Entry) int {
		n, _ := e.forwarder.detours.roomTaken()
		return n
	}
	send()
	used := others[0]
	if taken(used) == 0 {
		used = others[1]
	}
	used.draining.Store(true)
	used.forwarder.watcher.announcePresence(t.Context())
	waitFor(t, "a list without the stopping entry", func() bool { return cut.forwarder.detours.relayCount() == len(others)-1 })
	before := c.connections.Load()
	send()
	if c.connections.Load() == before {
		t.Error("the request takes the kept connection")
	}
	waitFor(t, "the end of the kept connection", func() bool { return taken(used) == 0 })
}
