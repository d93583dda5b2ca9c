package cmd

import (
	"context"
	"math"
	"net"
	"sync/atomic"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"rosereach/core/lease"
	"rosereach/core/retry"
	"rosereach/internal/entry"
	"rosereach/internal/httpd"
	"rosereach/platform"
)

const (
	// listedTime is how long a stopping entry still takes new connections:
	// callers keep their lists up to three times as long as told. Requests that
	// come later could not end within the grace time.
	listedTime = 3 * listLife

	// exitMargin is kept of the grace time for closing and exiting, on a fifth of
	// a core.
	exitMargin = 700 * time.Millisecond
)

// platformEntry is an entry that runs with the settings of a platform. Ends is
// when the requests that still run have to be over, in Unix nanoseconds.
type platformEntry struct {
	node      *node
	entry     *entry.Entry
	callers   net.Listener
	readiness net.Listener
	ends      atomic.Int64
}

// runPlatformEntry runs an entry with the settings of a platform.
func runPlatformEntry(ctx context.Context, c *cli.Command) error {
	n, err := startNode(ctx, newSettings(c), "entry")
	if err != nil {
		return err
	}
	defer n.flush()
	now := n.settings()
	listeners, err := listenAll(ctx, now.Listen.Callers, now.Listen.Readiness)
	if err != nil {
		return err
	}
	cfg := n.entryConfig(incarnation())
	p := &platformEntry{node: n, entry: entry.New(cfg), callers: listeners[0], readiness: listeners[1]}
	p.ends.Store(math.MaxInt64)
	n.logger.Log("msg", "Entry serves.", "id", now.Name, "address", now.Listen.Callers, "incarnation", cfg.Incarnation)
	return p.run(ctx)
}

// entryConfig returns the configuration of an entry that started with the
// incarnation.
func (n *node) entryConfig(started uint64) entry.Config {
	now := n.settings()
	return entry.Config{
		ID: now.Name, Incarnation: started, Region: now.Region, Zone: now.Zone, Address: now.Listen.Callers,
		Controls: now.Members(), MemberKey: n.memberKey, Terms: lease.DefaultConfig(), AddressTTL: listLife,
		MaxRunning: maxForwarded, MaxWaiting: maxForwarded, Seed: started, Clock: n.clock, Logger: n.logger,
		Forwarding: &entry.Forwarding{
			Dialect: platform.Dialect{}, Controls: n.members, FailOpen: !now.Bounds.FailClosed,
			Retries:       retry.WindowBudgetConfig{Ratio: now.Bounds.RetryRatio, Slack: now.Bounds.RetrySlack, Window: now.Bounds.RetryWindow},
			ExposureShare: now.Bounds.ExposureShare,
		},
	}
}

// run serves until the context ends, and then until the requests that it has
// are over: first it stops being listed, then it takes no new connection.
func (p *platformEntry) run(ctx context.Context) error {
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	taking, close := context.WithCancel(running)
	defer close()
	g, running := errgroup.WithContext(running)
	g.Go(func() error { return p.node.follow(running) })
	g.Go(func() error { return p.entry.Run(running) })
	g.Go(func() error {
		return serveUntil(running, p.readiness, platform.ReadinessHandler(p.entry.IsOpen), noWait)
	})
	g.Go(func() error { return p.node.serveMetrics(running, p.entry.ForwardMetrics()) })
	g.Go(func() error {
		defer stop()
		handler := platform.CallerHandler(p.entry, p.node.clock, p.entry.IsDraining)
		return serveUntil(taking, p.callers, handler, httpd.Times{Longest: p.left, Idle: p.entry.IdleTime})
	})
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-running.Done():
			return nil
		}
		p.drain(running)
		close()
		return nil
	})
	return g.Wait()
}

// drain stops callers from coming, within the grace time of the settings.
func (p *platformEntry) drain(ctx context.Context) {
	p.node.logger.Log("msg", "Entry drains.", "id", p.node.settings().Name)
	p.ends.Store(p.node.clock.Now().Add(p.node.settings().Bounds.Grace - exitMargin).UnixNano())
	p.entry.StopListing(ctx, listedTime)
}

// left returns how long the requests that run may still take.
func (p *platformEntry) left() time.Duration {
	return time.Unix(0, p.ends.Load()).Sub(p.node.clock.Now())
}

// maxForwarded bounds what an entry forwards and keeps waiting at once: a
// request holds two descriptors and some tens of kilobytes.
const maxForwarded = 1024

// noWait ends a listener without waiting for open requests.
var noWait = httpd.Times{Longest: func() time.Duration { return 0 }}
