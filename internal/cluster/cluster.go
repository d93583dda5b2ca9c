// Package cluster runs a whole rosereach system in one process on loopback, with
// fake backend servers. Connections go through proxies, so that a test or an
// experiment can inject network faults.
package cluster

import (
	"context"
	"crypto/rand"
	"fmt"
	"time"

	"github.com/juju/clock"
	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"rosereach/core/ledger"
	"rosereach/core/version"
	"rosereach/internal/fake"
	"rosereach/io/operator"
)

const (
	// pollInterval is how often a wait checks its condition.
	pollInterval = 10 * time.Millisecond

	// resendDelay is the pause before a change is sent again.
	resendDelay = 100 * time.Millisecond

	// The regions of the default locations.
	central  = "central"
	pacifico = "pacifico"
)

type (
	// Location is the region and availability zone in which a process runs.
	Location struct{ Region, Zone string }

	// Options are the settings of a cluster.
	Options struct {
		// Direct leaves out the proxies of entries and backend servers, for
		// measurements. Nothing in such a cluster can be killed.
		Direct bool

		// Locations are the locations of the entries, one each.
		Locations []Location

		// Engines are the versions that each engine serves, one list an engine.
		Engines [][]version.Ref

		// Folder holds the controls' data folders.
		Folder string

		// Controls is the number of controls.
		Controls int

		// AddressTTL, RequestTimeout, MaxRunning and MaxWaiting are settings of
		// the entries; EngineCapacity, StepTime and StepPerSequence are those of
		// the engines. ServiceSlots is the capacity of a service.
		AddressTTL      time.Duration
		RequestTimeout  time.Duration
		EngineCapacity  int
		ServiceSlots    int
		MaxRunning      int
		MaxWaiting      int
		StepTime        time.Duration
		StepPerSequence time.Duration
	}

	// Cluster is a running system. Wait returns once it has ended.
	Cluster struct {
		Operator operator.Client
		Controls []*Control
		Entries  []*Entry
		Engines  []*Engine
		Services []*Service

		opts       Options
		group      *errgroup.Group
		memberKey  string
		backendKey string
	}
)

// The model versions that the cluster serves, and the default locations.
var (
	Small1 = version.Ref{Model: "small", Version: "v1"}
	Small2 = version.Ref{Model: "small", Version: "v2"}
	Large1 = version.Ref{Model: "large", Version: "v1"}

	defaultLocations = []Location{{central, "sanjose"}, {central, "heredia"}, {pacifico, "puntarenas"}}
	callerLocations  = []Location{defaultLocations[0], defaultLocations[2]}
)

// DefaultOptions returns the settings of a small cluster with quick engines.
func DefaultOptions(folder string) Options {
	return Options{
		Locations: defaultLocations, Engines: [][]version.Ref{{Small1, Small2}, {Small1, Small2}, {Large1, Small1}, {Large1, Small2}},
		Folder: folder, Controls: 3, AddressTTL: time.Second, RequestTimeout: 20 * time.Second, EngineCapacity: 16, ServiceSlots: 8,
		MaxRunning: 512, MaxWaiting: 512,
		StepTime: time.Millisecond, StepPerSequence: 50 * time.Microsecond,
	}
}

// Start starts a cluster and waits until every entry holds a lease. The cluster
// runs until the context ends.
func Start(ctx context.Context, opts Options) (*Cluster, error) {
	g, ctx := errgroup.WithContext(ctx)
	c := &Cluster{opts: opts, group: g, memberKey: rand.Text(), backendKey: rand.Text()}
	if err := c.startControls(ctx, opts.Controls); err != nil {
		return nil, err
	}
	for i, p := range opts.Locations {
		if err := c.StartEntry(ctx, fmt.Sprintf("entry-%d", i+1), p); err != nil {
			return nil, err
		}
	}
	for i, refs := range opts.Engines {
		if err := c.startEngine(ctx, fmt.Sprintf("engine-%d", i+1), defaultLocations[i%len(defaultLocations)], refs); err != nil {
			return nil, err
		}
	}
	for i, name := range []string{"register", "ledger", "register", "ledger"} {
		if err := c.startService(ctx, fmt.Sprintf("%s-%d", name, i/2+1), defaultLocations[i%2], name); err != nil {
			return nil, err
		}
	}
	return c, c.waitReady(ctx)
}

// Wait waits until all processes of the cluster have ended, and returns the first
// error.
func (c *Cluster) Wait() error { return c.group.Wait() }

// Addresses returns the addresses at which callers reach the entries.
func (c *Cluster) Addresses() []string {
	list := make([]string, 0, len(c.Entries))
	for _, e := range c.Entries {
		list = append(list, e.Address())
	}
	return list
}

// BackendKey returns the key that backend servers present to entries.
func (c *Cluster) BackendKey() string { return c.backendKey }

// Runs returns the run logs of all backend servers.
func (c *Cluster) Runs() []fake.Run {
	var runs []fake.Run
	for _, e := range c.Engines {
		runs = append(runs, e.Fake.Log.Runs()...)
	}
	for _, s := range c.Services {
		runs = append(runs, s.Fake.Log.Runs()...)
	}
	return runs
}

// Bills returns all bills, read from the leader as a follower may lag behind.
func (c *Cluster) Bills(ctx context.Context) ([]ledger.Bill, error) {
	if err := c.waitLeader(ctx); err != nil {
		return nil, err
	}
	client := c.Operator
	if leader := c.Leader(); leader >= 0 {
		client.Address = c.Controls[leader].address
	}
	var all []ledger.Bill
	for {
		page, err := client.Bills(ctx, uint64(len(all)))
		if err != nil || len(page) == 0 {
			return all, errors.Trace(err)
		}
		all = append(all, page...)
	}
}

// waitReady waits until every entry holds a lease.
func (c *Cluster) waitReady(ctx context.Context) error {
	for _, e := range c.Entries {
		if err := waitUntil(ctx, e.Entry.Ready); err != nil {
			return errors.Annotate(err, "wait for the entries' leases")
		}
	}
	return nil
}

// waitUntil polls the condition until it holds.
func waitUntil(ctx context.Context, holds func() bool) error {
	for !holds() {
		if err := sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
	return nil
}

// sleep waits for d, or returns the context's error when it ends before.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-clock.WallClock.After(d):
		return nil
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}
