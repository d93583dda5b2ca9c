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

	// maxReturnProbes is the number of servers that are probed at once during a cut.
	maxReturnProbes = 2
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

		mu       sync.Mutex
		links    map[string]*serviceLink
		relays   reach.Relays
		relaysAt time.Time // when the relays were received
		opened   int       // connections through other entries
		random   *rand.Rand
	}

	// serviceLink is the entry's link to the servers of one service.
	serviceLink struct {
		reach.Link
		judging chan struct{} // closed when the probes in progress have ended, nil if there are none
		refused bool          // the last direct attempt was refused, and did not hang
		endedAt time.Time     // when the last cut ended
	}

	// detouredConn is a connection through another entry.
	detouredConn struct {
		*net.TCPConn
		isStale func() bool
	}
)

// IsStale reports whether the connection should not be used again, as the server can be
// reached directly.
func (c *detouredConn) IsStale() bool { return c.isStale() }

func newDetours(f *forwarder) *detours {
	cfg := f.entry.cfg
	return &detours{
		forwarder: f, links: make(map[string]*serviceLink),
		random: rand.New(rand.NewPCG(cfg.Seed, cfg.Incarnation)), //nolint:gosec // only used to spread load
	}
}

// ServeDetours connects other entries to backend servers until the context ends.
func (e *Entry) ServeDetours(ctx context.Context, l net.Listener) error {
	return detour.Server{Key: e.cfg.MemberKey, Connect: e.forwarder.detours.connectFor}.Serve(ctx, l)
}

// dial opens a connection to a server. Once it is known that the entry reaches none of the
// service, no connection waits for a timeout.
func (d *detours) dial(ctx context.Context, address string) (net.Conn, error) {
	server, ok := d.forwarder.serverAt(address)
	if !ok || d.relayCount() == 0 {
		return upstream.Dial(ctx, address)
	}
	if d.isCut(server.Service) {
		return d.through(ctx, server)
	}
	conn, err := d.direct(ctx, server)
	if err == nil || ctx.Err() != nil {
		return conn, err
	}
	if d.judge(ctx, server) {
		return d.through(ctx, server)
	}
	if upstream.IsTimeout(err) {
		return d.direct(ctx, server)
	}
	return nil, err
}

// direct makes one attempt to connect without another entry.
func (d *detours) direct(ctx context.Context, server backend.Announcement) (net.Conn, error) {
	conn, err := upstream.DialOnce(ctx, server.Address)
	if err == nil {
		d.recordReached(server.Service)
	} else if ctx.Err() == nil {
		d.mu.Lock()
		d.link(server.Service).refused = errors.Is(err, syscall.ECONNREFUSED)
		d.mu.Unlock()
	}
	return conn, err
}

// through opens a connection through another entry.
func (d *detours) through(ctx context.Context, server backend.Announcement) (net.Conn, error) {
	cfg := d.forwarder.entry.cfg
	for range maxRelayTries {
		relay, ok := d.pickRelay()
		if !ok {
			break
		}
		conn, err := detour.Dial(ctx, relay.Address, cfg.MemberKey, detour.Target{Server: server.ID, Incarnation: server.Incarnation})
		if err == nil {
			return d.detoured(server.Service, conn), nil
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
		return d.direct(ctx, server)
	}
	return nil, errors.Trace(errNoPath)
}

// detoured returns a connection through another entry that is replaced some time after the
// cut, so that not all are replaced at once.
func (d *detours) detoured(service string, conn net.Conn) net.Conn {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.opened++
	spread := time.Duration(d.random.Int64N(int64(returnSpread)))
	return &detouredConn{TCPConn: tcp, isStale: func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		l := d.link(service)
		return !l.IsCut() && d.forwarder.entry.cfg.Clock.Now().Sub(l.endedAt) > spread
	}}
}

// judge reports whether the entry is partitioned from all servers of a service, after a
// connection to one failed. It probes others, once for all connections that fail meanwhile.
func (d *detours) judge(ctx context.Context, failed backend.Announcement) bool {
	d.mu.Lock()
	l := d.link(failed.Service)
	if l.IsCut() || !l.NeedsProbes(d.forwarder.entry.cfg.Clock.Now()) {
		defer d.mu.Unlock()
		return l.IsCut()
	}
	if l.judging == nil {
		l.judging = make(chan struct{})
		d.forwarder.entry.cfg.Clock.AfterFunc(0, func() { d.judgeLink(failed) })
	}
	judging := l.judging
	d.mu.Unlock()
	select {
	case <-judging:
	case <-ctx.Done():
	}
	return d.isCut(failed.Service)
}

// judgeLink probes other servers of the service and judges the link by them.
func (d *detours) judgeLink(failed backend.Announcement) {
	began := d.forwarder.entry.cfg.Clock.Now()
	d.probe(d.probes(failed.Service, failed.Address))
	d.mu.Lock()
	l := d.link(failed.Service)
	begins := l.Judge(d.forwarder.entry.cfg.Clock.Now(), began)
	close(l.judging)
	l.judging = nil
	relays := d.relays.Len()
	d.mu.Unlock()
	if begins {
		level.Warn(d.forwarder.entry.cfg.Logger).Log("msg", "Entry reaches no server of a service.", "service", failed.Service, "relays", relays)
		d.beginCut(failed.Service)
	}
}

// probe connects to servers and returns with the first that accepts, or when all have failed.
// The connections are kept for requests.
func (d *detours) probe(servers []backend.Announcement) {
	results := make(chan bool, len(servers))
	for _, server := range servers {
		go func() {
			conn, err := d.direct(d.forwarder.entry.ctx, server)
			if err == nil {
				d.forwarder.client.Keep(server.Address, conn)
			}
			results <- err == nil
		}()
	}
	for range servers {
		if <-results {
			return
		}
	}
}

// beginCut forgets what the entry has seen of the servers, which says nothing about them, and
// closes idle connections, which may never answer.
func (d *detours) beginCut(service string) {
	f := d.forwarder
	servers := f.serversOf(service)
	addresses := make(map[string]bool)
	f.mu.Lock()
	for _, s := range servers {
		addresses[s.Address] = true
		f.health.Forget(s.ID)
		for _, source := range f.evidence.sources {
			source.recorder.Forget(s.ID)
		}
	}
	f.mu.Unlock()
	f.client.CloseIdle(func(address string) bool { return !addresses[address] })
	f.watcher.announcePresence(f.entry.ctx)
	f.entry.cfg.Clock.AfterFunc(reach.ProbeInterval, func() { d.probeReturn(service) })
}

// probeReturn probes a few servers directly, again and again until one accepts.
func (d *detours) probeReturn(service string) {
	e := d.forwarder.entry
	if e.ctx.Err() != nil || !d.isCut(service) {
		return
	}
	probes := d.probes(service, "")
	d.probe(probes[:min(len(probes), maxReturnProbes)])
	if d.isCut(service) {
		e.cfg.Clock.AfterFunc(reach.ProbeInterval, func() { d.probeReturn(service) })
	}
}

// recordReached records a direct connection.
func (d *detours) recordReached(service string) {
	e := d.forwarder.entry
	now := e.cfg.Clock.Now()
	d.mu.Lock()
	l := d.link(service)
	since := l.CutSince()
	ends := l.Reached(now)
	if ends {
		l.endedAt = now
	}
	d.mu.Unlock()
	if ends {
		level.Warn(e.cfg.Logger).Log("msg", "Entry reaches servers of a service again.", "service", service, "after", now.Sub(since))
		e.cfg.Clock.AfterFunc(0, func() { d.forwarder.watcher.announcePresence(e.ctx) })
	}
}

// connectFor connects to a server for another entry.
func (d *detours) connectFor(ctx context.Context, t detour.Target) (net.Conn, detour.Status) {
	server, ok := d.forwarder.serverByID(t.Server)
	if !ok || server.Incarnation != t.Incarnation {
		return nil, detour.UnknownServer
	}
	if d.isCut(server.Service) {
		return nil, detour.CutOff
	}
	conn, err := d.direct(ctx, server)
	if err != nil && d.judge(ctx, server) {
		return nil, detour.CutOff
	}
	if err != nil && upstream.IsTimeout(err) {
		conn, err = d.direct(ctx, server)
	}
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, detour.ServerRefused
	case err != nil:
		return nil, detour.ServerUnreachable
	}
	return conn, detour.Connected
}

// probes returns servers of a service to probe, other than the one at an address.
func (d *detours) probes(service, except string) []backend.Announcement {
	byAddress := make(map[string]backend.Announcement)
	var addresses []string
	for _, s := range d.forwarder.serversOf(service) {
		byAddress[s.Address] = s
		addresses = append(addresses, s.Address)
	}
	d.mu.Lock()
	chosen := reach.Probes(addresses, except, d.random)
	d.mu.Unlock()
	servers := make([]backend.Announcement, 0, len(chosen))
	for _, address := range chosen {
		servers = append(servers, byAddress[address])
	}
	return servers
}

// link returns the link to a service. Callers hold d.mu.
func (d *detours) link(service string) *serviceLink {
	l, ok := d.links[service]
	if !ok {
		l = &serviceLink{}
		d.links[service] = l
	}
	return l
}

func (d *detours) isCut(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	l, ok := d.links[service]
	return ok && l.IsCut()
}

// cuts returns the number of services of which the entry reaches no server, and whether
// there is no other service.
func (d *detours) cuts() (n int, all bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, l := range d.links {
		if l.IsCut() {
			n++
		}
	}
	return n, n > 0 && n == len(d.links)
}

// isCutOff reports whether the entry reaches no server of any service.
func (d *detours) isCutOff() bool {
	_, all := d.cuts()
	return all
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

func (d *detours) pickRelay() (reach.Relay, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.relays.Pick(d.forwarder.entry.cfg.Clock.Now(), d.random)
}

// wantsRelays reports whether the entry asks for other entries: from time to time, and at
// once while it needs them.
func (d *detours) wantsRelays(now time.Time) bool {
	n, _ := d.cuts()
	d.mu.Lock()
	defer d.mu.Unlock()
	return n > 0 || now.Sub(d.relaysAt) >= relaysInterval
}

func (d *detours) setRelays(now time.Time, relays []reach.Relay) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.relays.Set(relays)
	d.relaysAt = now
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
