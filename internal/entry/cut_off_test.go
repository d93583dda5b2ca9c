package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"rosereach/core/backend"
	"rosereach/core/forward"
	"rosereach/core/roster"
	"rosereach/io/upstream"
)

// cutFleet is a control, backend servers, and entries of which some are partitioned from all
// servers: these see the servers at addresses that refuse connections or don't answer.
type cutFleet struct {
	*fleet
	servers []backend.Announcement
	runs    atomic.Int64
	// connections is the number that the servers have accepted.
	connections atomic.Int64
}

func newCutFleet(t *testing.T, servers int, h http.HandlerFunc) *cutFleet {
	t.Helper()
	c := &cutFleet{fleet: newFleet(t, 0)}
	for i := range servers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s := &http.Server{ReadHeaderTimeout: time.Minute, Handler: naming(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			c.runs.Add(1)
			h(w, r)
		})), ConnState: func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				c.connections.Add(1)
			}
		}}
		go s.Serve(l)
		t.Cleanup(func() { s.Close() })
		a := backend.Announcement{
			ID: fmt.Sprint("server-", i+1), Incarnation: 1, Sequence: 1, Service: "s", Address: l.Addr().String(), Capacity: 8, State: backend.Serving, Region: "r", Zone: "z",
		}
		c.servers = append(c.servers, a)
		c.control.Announce(a)
	}
	return c
}

// cut partitions an entry from all servers, which are at the given address for it.
func (c *cutFleet) cut(e *Entry, address string) {
	for _, a := range c.servers {
		a.Sequence, a.Address = 1<<40, address
		e.forwarder.updateRoster(time.Now(), roster.Delta{Records: []roster.Record{{Server: a}}})
	}
}

// boundAddress returns a socket that is bound and does not listen, and its address, which
// refuses connections. No other listener gets its port.
func boundAddress(t *testing.T) (fd int, address string) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fd, fmt.Sprint("127.0.0.1:", name.(*syscall.SockaddrInet4).Port)
}

// refusingAddress returns an address that refuses connections.
func refusingAddress(t *testing.T) string {
	t.Helper()
	_, address := boundAddress(t)
	return address
}

// hangingAddress returns an address at which connections are not established: its queue of new
// connections is full.
func hangingAddress(t *testing.T) string {
	t.Helper()
	fd, address := boundAddress(t)
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		d := net.Dialer{Timeout: 100 * time.Millisecond}
		if conn, err := d.Dial("tcp", address); err == nil {
			t.Cleanup(func() { conn.Close() })
		}
	}
	return address
}

// An entry that is partitioned from all servers serves its callers through others, whether
// connections to the servers are refused or hang.
func TestCutOffEntryServesThroughOthers(t *testing.T) {
	for name, address := range map[string]func(*testing.T) string{"refused": refusingAddress, "hanging": hangingAddress} {
		t.Run(name, func(t *testing.T) {
			c := newCutFleet(t, 3, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "done") })
			var entries []*Entry
			for i := range 3 {
				entries = append(entries, c.startForwardingEntry(fmt.Sprint("forwarding-", i+1)))
			}
			c.cut(entries[0], address(t))
			settled := time.Now().Add(4 * time.Second)
			served, sent := 0, 0
			for n := 0; time.Now().Before(settled.Add(2 * time.Second)); n++ {
				req := forward.Request{
					ID: fmt.Sprint("request-", n), Method: http.MethodGet, Host: "h", Path: "/safe/x", Target: "/safe/x", Key: "k", Arrived: time.Now(),
				}
				start := time.Now()
				err := entries[0].Forward(context.Background(), req, &recordingSink{})
				if start.After(settled) {
					sent++
					if err == nil {
						served++
					}
				}
				time.Sleep(20 * time.Millisecond)
			}
			if 3*served < 2*sent || sent == 0 {
				t.Errorf("%d of %d requests are served", served, sent)
			}
		})
	}
}

// forwardThrough sends a request to an entry that is cut off from all servers by refusals and
// knows it.
func forwardThrough(t *testing.T, c *cutFleet, kind string, sink forward.Sink) error {
	t.Helper()
	entries := []*Entry{c.startForwardingEntry("forwarding-1"), c.startForwardingEntry("forwarding-2")}
	e := entries[0]
	waitFor(t, "a relay", func() bool { return e.forwarder.detours.relayCount() > 0 })
	c.cut(e, refusingAddress(t))
	req := forward.Request{
		ID: "request", Method: http.MethodPost, Host: "h", Path: "/" + kind + "/x", Target: "/" + kind + "/x", Key: "k", Arrived: time.Now(), Body: forward.BodyOf([]byte("body")),
	}
	return e.Forward(context.Background(), req, sink)
}

// A request that may run once runs once through another entry, with its body.
func TestUnsafeRequestRunsOnceThroughAnotherEntry(t *testing.T) {
	c := newCutFleet(t, 3, func(w http.ResponseWriter, r *http.Request) { io.Copy(w, r.Body) })
	sink := &recordingSink{}
	if err := forwardThrough(t, c, "unsafe", sink); err != nil || sink.text() != "body" || c.runs.Load() != 1 {
		t.Fatalf("%q, %d runs, %v", sink.text(), c.runs.Load(), err)
	}
}

// The events of a stream pass through another entry as they are made.
func TestStreamPassesThroughAnotherEntry(t *testing.T) {
	release := make(chan struct{})
	c := newCutFleet(t, 1, func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, "id: 1\ndata: a\n\n")
		http.NewResponseController(w).Flush()
		<-release
		io.WriteString(w, "id: 2\ndata: b\n\n")
	})
	sink := &recordingSink{}
	ended := make(chan error, 1)
	go func() { ended <- forwardThrough(t, c, "streaming", sink) }()
	waitFor(t, "the first event", func() bool { return sink.text() == "id: 1\ndata: a\n\n" })
	close(release)
	if err := <-ended; err != nil || sink.text() != "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" {
		t.Fatalf("%q, %v", sink.text(), err)
	}
}

// ofRequest marks the contexts of requests, apart from those of probes.
type ofRequest struct{}

// While all entries are cut off, requests are rejected at once and have not run; after the cut
// they are served.
func TestAllEntriesCutOffRejectAtOnce(t *testing.T) {
	c := newCutFleet(t, 3, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "done") })
	entries := []*Entry{c.startForwardingEntry("forwarding-1"), c.startForwardingEntry("forwarding-2")}
	var waits atomic.Int64 // direct attempts of requests
	entries[0].forwarder.detours.dialOnce = func(ctx context.Context, address string) (net.Conn, error) {
		if ctx.Value(ofRequest{}) != nil {
			waits.Add(1)
		}
		return upstream.DialOnce(ctx, address)
	}
	address := hangingAddress(t)
	for _, e := range entries {
		waitFor(t, "a relay", func() bool { return e.forwarder.detours.relayCount() > 0 })
		c.cut(e, address)
	}
	send := func() error {
		req := forward.Request{ID: "request", Method: http.MethodGet, Host: "h", Path: "/safe/x", Target: "/safe/x", Key: "k", Arrived: time.Now()}
		return entries[0].Forward(context.WithValue(context.Background(), ofRequest{}, true), req, &recordingSink{})
	}
	waitFor(t, "the knowledge of the cut", func() bool {
		for _, e := range entries {
			e.Forward(context.Background(), forward.Request{ID: "first", Method: http.MethodGet, Host: "h", Path: "/safe/x", Target: "/safe/x", Key: "k", Arrived: time.Now()}, &recordingSink{})
		}
		return entries[0].forwarder.detours.isCutOff() && entries[1].forwarder.detours.isCutOff()
	})
	send() // the relay says that it is cut off
	before := waits.Load()
	if err := send(); codeOf(err) != forward.NoServer || c.runs.Load() != 0 || waits.Load() != before {
		t.Fatalf("%v, %d runs, %d attempts that hang", err, c.runs.Load(), waits.Load()-before)
	}
	f := entries[0].forwarder
	f.mu.Lock()
	for _, s := range c.servers {
		if !f.health.IsAvailable(time.Now(), s.ID) {
			t.Errorf("%s counts as failing", s.ID)
		}
	}
	f.mu.Unlock()
	for i, a := range c.servers {
		a.Sequence = 1<<41 + uint64(i)
		for _, e := range entries {
			e.forwarder.updateRoster(time.Now(), roster.Delta{Records: []roster.Record{{Server: a}}})
		}
	}
	waitFor(t, "the end of the cut", func() bool { return send() == nil && !entries[0].forwarder.detours.isCutOff() })
}

// A server that fails makes an entry open one connection to another, and not one to each: a
// small service has connections for few of hundreds of entries.
func TestFailedServerOpensOneProbe(t *testing.T) {
	c := newCutFleet(t, 4, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "done") })
	e := c.startForwardingEntry("forwarding-1")
	c.startForwardingEntry("forwarding-2")
	d := e.forwarder.detours
	waitFor(t, "a relay", func() bool { return d.relayCount() > 0 })
	failing := c.servers[0]
	failing.Sequence, failing.Address = 1<<40, refusingAddress(t)
	e.forwarder.updateRoster(time.Now(), roster.Delta{Records: []roster.Record{{Server: failing}}})
	if conn, err := d.dial(context.Background(), failing.Address, nil); err == nil {
		conn.Close()
		t.Fatal("the failing server accepts a connection")
	}
	time.Sleep(200 * time.Millisecond) // connections that are under way are established
	if n := c.connections.Load(); n != 1 || d.isCut("s") {
		t.Errorf("%d connections to the others, cut %v", n, d.isCut("s"))
	}
}
