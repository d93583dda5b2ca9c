// Package demo runs all parts of rosereach in one process on loopback, with
// stand-ins for the systems around it, and counts its promises.
package demo

import (
	"context"
	"crypto/rand"
	"fmt"
	"net/http"
	"path/filepath"
	"time"

	"github.com/go-kit/log"
	"github.com/juju/clock"
	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"rosereach/core/backend"
	"rosereach/core/lease"
	"rosereach/core/version"
	"rosereach/internal/control"
	"rosereach/internal/entry"
	"rosereach/internal/fake"
	"rosereach/internal/httpd"
	"rosereach/io/operator"
)

const (
	addressTTL     = time.Second
	requestTimeout = 20 * time.Second
	maxBody        = 1 << 20
	maxRunning     = 256
	engineCapacity = 16
	serviceSlots   = 8
	cacheTokens    = 50_000
	pollInterval   = 10 * time.Millisecond
)

// cluster is everything that the demo runs.
type cluster struct {
	group    *errgroup.Group
	member   string
	operator operator.Client
	backend  string
	control  string
	entries  []*entry.Entry
	places   []string
	engines  []*fake.Engine
	services []*fake.Service
}

// place is where a process runs.
type place struct{ region, zone string }

var (
	entryPlaces = []place{
		{"central", "sanjose"},
		{"central", "heredia"},
		{"pacifico", "puntarenas"},
	}

	small1 = version.Ref{Model: "small", Version: "v1"}
	small2 = version.Ref{Model: "small", Version: "v2"}
	large1 = version.Ref{Model: "large", Version: "v1"}
)

// startCluster starts all parts. They run until the context ends; wait on the
// group for their end.
func startCluster(ctx context.Context, folder string) (*cluster, error) {
	g, ctx := errgroup.WithContext(ctx)
	c := &cluster{group: g, member: rand.Text(), backend: rand.Text()}
	if err := c.startControl(ctx, filepath.Join(folder, "control-1")); err != nil {
		return nil, err
	}
	for i, p := range entryPlaces {
		if err := c.startEntry(ctx, fmt.Sprintf("entry-%d", i+1), p); err != nil {
			return nil, err
		}
	}
	for i, refs := range [][]version.Ref{{small1, small2}, {small1, small2}, {large1, small1}, {large1, small2}} {
		if err := c.startEngine(ctx, fmt.Sprintf("engine-%d", i+1), entryPlaces[i%len(entryPlaces)], refs); err != nil {
			return nil, err
		}
	}
	for i, name := range []string{"register", "ledger"} {
		if err := c.startService(ctx, name+"-1", entryPlaces[i], name); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (c *cluster) startControl(ctx context.Context, folder string) error {
	key := rand.Text()
	node, err := control.Open(control.Config{
		ID: "control-1", Folder: folder, MemberKey: c.member, OperatorKey: key, Terms: lease.DefaultTerms(),
		Clock: clock.WallClock, Logger: log.NewNopLogger(),
	})
	if err != nil {
		return err
	}
	c.control, err = c.serve(ctx, node.Handler())
	if err != nil {
		return err
	}
	c.operator = operator.Client{Address: c.control, Key: key}
	c.group.Go(func() error { return node.Run(ctx) })
	return nil
}

func (c *cluster) startEntry(ctx context.Context, id string, p place) error {
	l, err := httpd.Listen(ctx, "127.0.0.1:0")
	if err != nil {
		return err
	}
	e := entry.New(entry.Config{
		ID: id, Incarnation: uint64(clock.WallClock.Now().UnixNano()), Region: p.region, Zone: p.zone,
		Address: l.Addr().String(), Controls: []string{c.control}, MemberKey: c.member, BackendKey: c.backend,
		Terms: lease.DefaultTerms(), AddressTTL: addressTTL, Timeout: requestTimeout, MaxBody: maxBody,
		MaxRunning: maxRunning, MaxWaiting: maxRunning, Clock: clock.WallClock, Logger: log.NewNopLogger(),
	})
	c.entries = append(c.entries, e)
	c.places = append(c.places, l.Addr().String())
	c.group.Go(func() error { return e.Run(ctx) })
	c.group.Go(func() error { return httpd.Serve(ctx, l, e.Handler()) })
	return nil
}

func (c *cluster) startEngine(ctx context.Context, id string, p place, refs []version.Ref) error {
	engine := fake.NewEngine(fake.EngineConfig{
		ID: id, Incarnation: 1, Region: p.region, Zone: p.zone, Versions: refs, Capacity: engineCapacity,
		CacheTokens: cacheTokens, StepTime: time.Millisecond, StepPerSequence: 50 * time.Microsecond,
		PrefillPerToken: 5 * time.Microsecond, ResumeWindow: 500 * time.Millisecond, LoadLag: 500 * time.Millisecond,
		HonoursFence: true, Clock: clock.WallClock,
	})
	c.engines = append(c.engines, engine)
	c.group.Go(func() error { return engine.Run(ctx) })
	return c.announce(ctx, engine.Handler(), engine.Announcement)
}

func (c *cluster) startService(ctx context.Context, id string, p place, name string) error {
	svc := fake.NewService(fake.ServiceConfig{
		ID: id, Incarnation: 1, Region: p.region, Zone: p.zone, Service: name, Capacity: serviceSlots, Clock: clock.WallClock,
	})
	c.services = append(c.services, svc)
	return c.announce(ctx, svc.Handler(), svc.Announcement)
}

func (c *cluster) announce(ctx context.Context, h http.Handler, describe func(string) backend.Announcement) error {
	address, err := c.serve(ctx, h)
	if err != nil {
		return err
	}
	announcer := &fake.Announcer{
		Entries: c.places, Key: c.backend, Clock: clock.WallClock,
		Describe: func() backend.Announcement { return describe(address) },
	}
	announcer.Now(ctx)
	c.group.Go(func() error { return announcer.Run(ctx) })
	return nil
}

func (c *cluster) serve(ctx context.Context, h http.Handler) (string, error) {
	l, err := httpd.Listen(ctx, "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	c.group.Go(func() error { return httpd.Serve(ctx, l, h) })
	return l.Addr().String(), nil
}

// waitReady waits until every entry holds a lease.
func (c *cluster) waitReady(ctx context.Context) error {
	for _, e := range c.entries {
		for !e.Ready() {
			select {
			case <-clock.WallClock.After(pollInterval):
			case <-ctx.Done():
				return errors.Annotate(ctx.Err(), "wait for the entries' leases")
			}
		}
	}
	return nil
}

// runs returns the run logs of all backend servers.
func (c *cluster) runs() []fake.Run {
	var runs []fake.Run
	for _, e := range c.engines {
		runs = append(runs, e.Log.Runs()...)
	}
	for _, s := range c.services {
		runs = append(runs, s.Log.Runs()...)
	}
	return runs
}
