package cluster

import (
	"context"
	"net"
	"net/http"

	"github.com/go-kit/log"
	"github.com/juju/clock"
	"github.com/juju/errors"

	"rosereach/core/backend"
	"rosereach/core/lease"
	"rosereach/core/version"
	"rosereach/internal/entry"
	"rosereach/internal/fake"
	"rosereach/internal/fault"
	"rosereach/internal/httpd"
)

// The body limit of an entry and the cache size of an engine.
const (
	maxBody     = 1 << 20
	cacheTokens = 50_000
)

type (
	// Entry is one entry.
	Entry struct {
		ID       string
		Location Location
		Entry    *entry.Entry

		// Proxy is between callers and the entry, nil in a direct cluster.
		Proxy *fault.Proxy

		// ControlProxies are the proxies through which it reaches the controls. The
		// indices are those of Cluster.Controls.
		ControlProxies []*fault.Proxy

		address string
		server  *http.Server
		stop    context.CancelFunc
	}

	// Server is what engines and services have in common.
	Server struct {
		ID       string
		Location Location

		// NearProxy is the proxy for entries of the same region, FarProxy the one for
		// those of other regions.
		NearProxy *fault.Proxy
		FarProxy  *fault.Proxy

		address string
		server  *http.Server
		stop    context.CancelFunc
	}

	// Engine is a backend server of models, a fake.
	Engine struct {
		Server
		Fake *fake.Engine
	}

	// Service is a backend server of a plain service, a fake.
	Service struct {
		Server
		Fake *fake.Service
	}
)

// StartEntry starts an entry behind proxies of its own.
func (c *Cluster) StartEntry(ctx context.Context, id string, location Location) error {
	ctx, stop := context.WithCancel(ctx)
	e := &Entry{ID: id, Location: location, stop: stop}
	l, err := httpd.Listen(ctx, "127.0.0.1:0")
	if err != nil {
		stop()
		return err
	}
	e.address = l.Addr().String()
	controls, err := c.startEntryProxies(ctx, e)
	if err != nil {
		stop()
		return err
	}
	e.Entry = entry.New(entry.Config{
		ID: id, Incarnation: uint64(clock.WallClock.Now().UnixNano()), Region: location.Region, Zone: location.Zone,
		Address: e.Address(), Controls: controls, MemberKey: c.memberKey, BackendKey: c.backendKey,
		Terms: lease.DefaultConfig(), AddressTTL: c.opts.AddressTTL, Timeout: c.opts.RequestTimeout, MaxBody: maxBody,
		MaxRunning: c.opts.MaxRunning, MaxWaiting: c.opts.MaxWaiting, Clock: clock.WallClock, Logger: log.NewNopLogger(),
	})
	e.server = serveUntilClosed(l, e.Entry.Handler())
	context.AfterFunc(ctx, func() { e.server.Close() }) //nolint:errcheck // the listener is gone either way
	c.group.Go(func() error { return e.Entry.Run(ctx) })
	c.Entries = append(c.Entries, e)
	return nil
}

// Address returns the host:port at which callers reach the entry.
func (e *Entry) Address() string {
	if e.Proxy == nil {
		return e.address
	}
	return e.Proxy.Address()
}

// startEntryProxies starts the entry's proxies, if the cluster has any, and returns the
// addresses at which the entry reaches the controls.
func (c *Cluster) startEntryProxies(ctx context.Context, e *Entry) (controls []string, err error) {
	for _, control := range c.Controls {
		if c.opts.Direct {
			controls = append(controls, control.address)
			continue
		}
		link, err := fault.Start(ctx, control.address)
		if err != nil {
			return nil, errors.Trace(err)
		}
		e.ControlProxies = append(e.ControlProxies, link)
		controls = append(controls, link.Address())
	}
	if !c.opts.Direct {
		e.Proxy, err = fault.Start(ctx, e.address)
	}
	return controls, errors.Trace(err)
}

func (c *Cluster) startEngine(ctx context.Context, id string, location Location, refs []version.Ref) error {
	ctx, stop := context.WithCancel(ctx)
	engine := fake.NewEngine(fake.EngineConfig{
		ID: id, Incarnation: 1, Region: location.Region, Zone: location.Zone, Versions: refs, Capacity: c.opts.EngineCapacity,
		CacheTokens: cacheTokens, StepTime: c.opts.StepTime, StepPerSequence: c.opts.StepPerSequence,
		PrefillPerToken: c.opts.StepTime / 200, ResumeWindow: c.opts.RequestTimeout / 40, LoadDelay: c.opts.RequestTimeout / 40,
		HonorsFence: true, Clock: clock.WallClock,
	})
	c.group.Go(func() error { return engine.Run(ctx) })
	server, err := c.startServer(ctx, stop, id, location, engine.Handler(), engine.Announcement)
	if err != nil {
		stop()
		return err
	}
	c.Engines = append(c.Engines, &Engine{Server: server, Fake: engine})
	return nil
}

func (c *Cluster) startService(ctx context.Context, id string, location Location, name string) error {
	ctx, stop := context.WithCancel(ctx)
	svc := fake.NewService(fake.ServiceConfig{
		ID: id, Incarnation: 1, Region: location.Region, Zone: location.Zone, Service: name, Capacity: c.opts.ServiceSlots, Clock: clock.WallClock,
	})
	server, err := c.startServer(ctx, stop, id, location, svc.Handler(), svc.Announcement)
	if err != nil {
		stop()
		return err
	}
	c.Services = append(c.Services, &Service{Server: server, Fake: svc})
	return nil
}

// startServer serves a backend server behind two proxies. It announces to each
// entry the proxy that the entry has to use.
func (c *Cluster) startServer(ctx context.Context, stop context.CancelFunc, id string, location Location, h http.Handler, describe func(string) backend.Announcement) (Server, error) {
	s := Server{ID: id, Location: location, stop: stop}
	l, err := httpd.Listen(ctx, "127.0.0.1:0")
	if err != nil {
		return s, err
	}
	s.server = serveUntilClosed(l, h)
	context.AfterFunc(ctx, func() { s.server.Close() }) //nolint:errcheck // the listener is gone either way
	s.address = l.Addr().String()
	for _, proxy := range []**fault.Proxy{&s.NearProxy, &s.FarProxy} {
		if c.opts.Direct {
			break
		}
		if *proxy, err = fault.Start(ctx, s.address); err != nil {
			return s, errors.Trace(err)
		}
	}
	regions := make(map[string]string)
	var entries []string
	for _, e := range c.Entries {
		entries = append(entries, e.address)
		regions[e.address] = e.Location.Region
	}
	announcer := &fake.Announcer{
		Entries: entries, Key: c.backendKey, Clock: clock.WallClock,
		Describe: func() backend.Announcement { return describe(s.address) },
		AddressFor: func(entry string) string {
			if c.opts.Direct {
				return s.address
			}
			if regions[entry] == location.Region {
				return s.NearProxy.Address()
			}
			return s.FarProxy.Address()
		},
	}
	announcer.AnnounceOnce(ctx)
	c.group.Go(func() error { return announcer.Run(ctx) })
	return s, nil
}

// serveUntilClosed serves in a goroutine of its own until the server is closed,
// which cuts off the requests in progress.
func serveUntilClosed(l net.Listener, h http.Handler) *http.Server {
	server := &http.Server{Handler: h} //nolint:gosec // loopback only
	go server.Serve(l)                 //nolint:errcheck // it returns ErrServerClosed
	return server
}

// Kill stops the entry as the loss of its machine would: the connections of
// callers and controls are reset, and it sends nothing more.
func (e *Entry) Kill() {
	for _, link := range e.ControlProxies {
		disconnect(link)
	}
	disconnect(e.Proxy)
	e.stop()
	e.server.Close() //nolint:errcheck // the listener is gone either way
}

// Drain shuts the entry down as a planned stop does: it finishes the requests in
// progress first.
func (e *Entry) Drain(ctx context.Context) error {
	err := e.Entry.Drain(ctx)
	e.server.Shutdown(ctx) //nolint:errcheck // the context bounds the wait
	e.stop()
	return err
}

// Address returns the host:port of the backend server itself, not of a proxy.
func (s *Server) Address() string { return s.address }

// Kill stops the backend server as the loss of its machine would: connections are
// reset.
func (s *Server) Kill() {
	disconnect(s.NearProxy)
	disconnect(s.FarProxy)
	s.stop()
	s.server.Close() //nolint:errcheck // the listener is gone either way
}

// SetPlan applies a fault plan to the connections of all entries.
func (s *Server) SetPlan(p fault.Plan) {
	s.NearProxy.SetPlan(p)
	s.FarProxy.SetPlan(p)
}

// disconnect makes a proxy refuse new connections and reset the open ones.
func disconnect(p *fault.Proxy) {
	p.SetPlan(fault.Plan{RefuseNew: true})
	p.Reset()
}
