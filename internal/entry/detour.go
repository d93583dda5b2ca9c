package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"rosereach/core/backend"
	"rosereach/core/reach"
	"rosereach/io/detour"
	"rosereach/io/upstream"
)

const (
	// maxRelayTries is the number of other entries that are tried for one connection.
	maxRelayTries = 3

	// returnSpread is the time over which connections through other entries are replaced by
	// direct ones after a cut.
	returnSpread = time.Second

	// relaysInterval is how old the list of relays may be before an entry asks for a new one.
	relaysInterval = 10 * time.Second
)

// errNoPath means that neither the entry itself nor another one connects to the server, which
// says nothing about the server.
const errNoPath = errors.ConstError("this entry does not reach the service, and no other entry helps")

type (
	// detours opens connections to backend servers, through other entries while this one is
	// partitioned from all servers of a service. All else about a request stays here:
	// admission, placement, retries, streams and their resumption.
	detours struct {
		forwarder *forwarder

		// dialOnce makes one direct attempt to connect to an address.
		dialOnce func(ctx context.Context, address string) (net.Conn, error)

		mu       sync.Mutex
		links    map[string]*serviceLink
		relays   reach.Relays
		regions  map[string]string // of the relays, by id
		room     reach.Room        // for other entries
		released chan struct{}     // closed when a part of the room is given back
		relaysAt time.Time         // when the relays were received
		opened   int               // connections through other entries
		random   *rand.Rand
	}

	// detouredConn is a connection through another entry in the given region.
	detouredConn struct {
		*net.TCPConn
		region  string
		isStale func() bool
	}
)

// IsStale reports whether the connection should not be used again, as the server can be
// reached directly, or the other entry takes no more requests.
func (c *detouredConn) IsStale() bool { return c.isStale() }

// Via returns the region of the entry that the connection passes through. It is empty if the
// control that named the entry did not tell.
func (c *detouredConn) Via() string { return c.region }

// IsOrphaned reports whether the other entry is gone. A process that is killed ends its connections
// in order, as a server does at the end of an answer without a length.
func (c *detouredConn) IsOrphaned() bool {
	conn, err := upstream.DialOnce(context.Background(), c.RemoteAddr().String())
	if err != nil {
		return true
	}
	conn.Close() //nolint:errcheck // nothing was sent
	return false
}

func newDetours(f *forwarder) *detours {
	cfg := f.entry.cfg
	return &detours{
		forwarder: f, dialOnce: upstream.DialOnce, links: make(map[string]*serviceLink), released: make(chan struct{}),
		random: rand.New(rand.NewPCG(cfg.Seed, cfg.Incarnation)), //nolint:gosec // only used to spread load
	}
}

// ServeDetours connects other entries to backend servers until the context ends. Once the entry
// takes no more requests, it opens no new connections, and other entries choose another way.
func (e *Entry) ServeDetours(ctx context.Context, l net.Listener) error {
	d := e.forwarder.detours
	return detour.Server{Key: e.cfg.MemberKey, Take: d.takeRoom, Release: d.releaseRoom, Connect: d.connectFor}.Serve(ctx, l)
}

// AwaitDetours waits until no other entry is connected to a backend server through this one, or the
// context ends. The entry has to take no more requests.
func (e *Entry) AwaitDetours(ctx context.Context) {
	d := e.forwarder.detours
	for {
		taken, released := d.roomTaken()
		if taken == 0 {
			return
		}
		select {
		case <-released:
		case <-ctx.Done():
			return
		}
	}
}

// dial opens a connection to a server. Once it is known that the entry reaches none of the
// service, no connection waits for a timeout. Via restricts the regions of other entries,
// nil for no restriction.
func (d *detours) dial(ctx context.Context, address string, via func(region string) bool) (net.Conn, error) {
	server, ok := d.forwarder.serverAt(address)
	if !ok || d.relayCount() == 0 {
		return upstream.Dial(ctx, address)
	}
	if d.isCut(server.Service) {
		return d.dialThrough(ctx, server, via)
	}
	conn, err := d.dialDirect(ctx, server)
	if err == nil || ctx.Err() != nil {
		return conn, err
	}
	if d.judge(ctx, server) {
		return d.dialThrough(ctx, server, via)
	}
	if upstream.IsTimeout(err) {
		return d.dialDirect(ctx, server)
	}
	return nil, err
}

// dialDirect makes one attempt to connect without another entry.
func (d *detours) dialDirect(ctx context.Context, server backend.Announcement) (net.Conn, error) {
	conn, err := d.dialOnce(ctx, server.Address)
	if err == nil {
		d.recordReached(server.Service)
	} else if ctx.Err() == nil {
		d.mu.Lock()
		l := d.link(server.Service)
		l.refused = errors.Is(err, syscall.ECONNREFUSED)
		l.Failed(server.ID)
		d.mu.Unlock()
	}
	return conn, err
}

// dialThrough opens a connection through another entry.
func (d *detours) dialThrough(ctx context.Context, server backend.Announcement, via func(region string) bool) (net.Conn, error) {
	cfg := d.forwarder.entry.cfg
	for range maxRelayTries {
		relay, region, ok := d.pickRelay(via)
		if !ok {
			break
		}
		conn, err := detour.Dial(ctx, relay.Address, cfg.MemberKey, detour.Target{Server: server.ID, Incarnation: server.Incarnation})
		if err == nil {
			return d.detoured(server.Service, relay.ID, region, conn), nil
		}
		level.Debug(cfg.Logger).Log("msg", "Another entry does not connect.", "srv", server.ID, "relay", relay.ID, "err", err)
		if ctx.Err() != nil || errors.Is(err, detour.ErrServerUnreachable) {
			return nil, err
		}
		d.mu.Lock()
		d.relays.Fail(cfg.Clock.Now(), relay.ID)
		d.mu.Unlock()
	}
	d.mu.Lock()
	refused := d.link(server.Service).refused
	d.mu.Unlock()
	if refused {
		// An attempt that is refused costs no time, and all servers may have been down.
		return d.dialDirect(ctx, server)
	}
	return nil, errors.Trace(errNoPath)
}

// detoured returns a connection through another entry that is replaced some time after the
// cut, so that not all are replaced at once, and at once when the other entry is no relay any more.
func (d *detours) detoured(service, relay, region string, conn net.Conn) net.Conn {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.opened++
	spread := time.Duration(d.random.Int64N(int64(returnSpread)))
	return &detouredConn{TCPConn: tcp, region: region, isStale: func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		l := d.link(service)
		return !d.relays.Knows(relay) || !l.IsCut() && d.forwarder.entry.cfg.Clock.Now().Sub(l.endedAt) > spread
	}}
}

// takeRoom reports whether there is room for a connection of another entry. An entry that stops
// has none: it does not know what passes, and would cut it at its exit.
func (d *detours) takeRoom() bool {
	if !d.forwarder.entry.stopping.current().IsZero() {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.room.Take()
}

// roomTaken returns the number of connections for other entries, and a channel that is closed when
// one of them ends.
func (d *detours) roomTaken() (int, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.room.Taken(), d.released
}

func (d *detours) releaseRoom() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.room.Release()
	close(d.released)
	d.released = make(chan struct{})
}

// relayedCount returns the number of connections that are passed on for other entries.
func (d *detours) relayedCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.room.Taken()
}

// connectFor connects to a server for another entry.
func (d *detours) connectFor(ctx context.Context, t detour.Target) (net.Conn, detour.Status) {
	server, ok := d.forwarder.serverByID(t.Server)
	if !ok || server.Incarnation != t.Incarnation || d.forwarder.entry.catalog.Load().IsEvacuated(server.Zone) {
		return nil, detour.UnknownServer
	}
	if d.isCut(server.Service) {
		return nil, detour.CutOff
	}
	conn, err := d.dialDirect(ctx, server)
	if err != nil && d.judge(ctx, server) {
		return nil, detour.CutOff
	}
	if err != nil && upstream.IsTimeout(err) {
		conn, err = d.dialDirect(ctx, server)
	}
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, detour.ServerRefused
	case err != nil:
		return nil, detour.ServerUnreachable
	}
	return conn, detour.Connected
}

func (d *detours) relayCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.relays.Len()
}

// openedCount returns the number of connections through other entries.
func (d *detours) openedCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.opened
}

// pickRelay returns a relay in a region that via allows, and the region.
func (d *detours) pickRelay(via func(region string) bool) (relay reach.Relay, region string, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	relay, ok = d.relays.Pick(d.forwarder.entry.cfg.Clock.Now(), d.random, func(id string) bool { return via == nil || via(d.regions[id]) })
	return relay, d.regions[relay.ID], ok
}

// wantsRelays reports whether the entry asks for other entries: from time to time, and at
// once while it needs them.
func (d *detours) wantsRelays(now time.Time) bool {
	n, _ := d.cuts()
	d.mu.Lock()
	defer d.mu.Unlock()
	return n > 0 || now.Sub(d.relaysAt) >= relaysInterval
}

func (d *detours) setRelays(now time.Time, relays []reach.Relay, regions map[string]string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.relays.Set(relays)
	d.regions = regions
	d.relaysAt = now
}

// dropRelays drops relays that take no more requests.
func (d *detours) dropRelays(ids []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.relays.Drop(ids)
}

// serverAt returns the newest server at an address.
func (f *forwarder) serverAt(address string) (backend.Announcement, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.At(address)
}

func (f *forwarder) serverByID(id string) (backend.Announcement, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.roster.Find(id)
	return r.Server, ok
}

// serversOf returns the servers of a service that announce themselves.
func (f *forwarder) serversOf(service string) []backend.Announcement {
	f.mu.Lock()
	defer f.mu.Unlock()
	var servers []backend.Announcement
	for _, r := range f.roster.Serving(service) {
		if !r.Silent {
			servers = append(servers, r.Server)
		}
	}
	return servers
}
