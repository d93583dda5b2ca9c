package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"rosereach/core/roster"
	"rosereach/io/member"
)

// flakyControl answers one watch on each connection and closes it on the next.
type flakyControl struct {
	mu       sync.Mutex
	current  bool
	answered map[*member.Conn]bool
	firsts   []member.WatchRequest // the first request on each connection
}

func (c *flakyControl) Handle(_ context.Context, conn *member.Conn, _ member.Kind, body cbor.RawMessage) (any, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answered[conn] {
		conn.Close()
		return nil, nil
	}
	c.answered[conn] = true
	var r member.WatchRequest
	if err := cbor.Unmarshal(body, &r); err != nil {
		return nil, err
	}
	c.firsts = append(c.firsts, r)
	return member.WatchReply{RunID: 7, Current: c.current, Roster: roster.Delta{Version: 42}}, nil
}

// firstRequests returns the first watch request on each of the entry's first two
// connections to the control.
func (c *flakyControl) firstRequests(t *testing.T) []member.WatchRequest {
	t.Helper()
	c.answered = make(map[*member.Conn]bool)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		member.Accept(w, r, "", member.Peer{ID: "control-1"}, c, func(context.Context, *member.Conn) func() { return func() {} })
	}))
	h := newHarness(t)
	h.entry.cfg.Forwarding.Controls = func() []string { return []string{s.Listener.Addr().String()} }
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- h.entry.forwarder.watcher.run(ctx) }()
	var firsts []member.WatchRequest
	waitFor(t, "a second connection", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		firsts = append([]member.WatchRequest(nil), c.firsts...)
		return len(firsts) >= 2
	})
	cancel()
	s.CloseClientConnections()
	s.Close()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	return firsts
}

// An entry that connects again continues where it was, instead of asking for all
// backend servers.
func TestReconnectContinuesRoster(t *testing.T) {
	firsts := (&flakyControl{current: true}).firstRequests(t)
	if r := firsts[0]; r.RosterVersion != 0 {
		t.Errorf("first request: %+v", r)
	}
	if r := firsts[1]; r.RunID != 7 || r.RosterVersion != 42 {
		t.Errorf("after the reconnect: run %d, roster version %d; want 7, 42", r.RunID, r.RosterVersion)
	}
}

// An entry ignores what a control without a majority says about silent servers, so it
// has to request everything again.
func TestReconnectAfterMinorityStartsAnew(t *testing.T) {
	firsts := (&flakyControl{}).firstRequests(t)
	if r := firsts[1]; r.RosterVersion != 0 {
		t.Errorf("after the reconnect: roster version %d, want 0", r.RosterVersion)
	}
}
