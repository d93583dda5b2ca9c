package cmd

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/juju/clock"
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

// runPlatformEntry runs an entry with the settings of a platform.
func runPlatformEntry(ctx context.Context, c *cli.Command) error {
	s := newSettings(c)
	n, err := startNode(ctx, s, "entry")
	if err != nil {
		return err
	}
	defer n.flush()
	now := n.settings()
	started := incarnation()
	e := entry.New(entry.Config{
		ID: now.Name, Incarnation: started, Region: now.Region, Zone: now.Zone, Address: now.Listen.Callers,
		Controls: now.Members(), MemberKey: n.memberKey, Terms: lease.DefaultTerms(), AddressTTL: listLife,
		MaxRunning: maxForwarded, MaxWaiting: maxForwarded, Seed: started, Clock: clock.WallClock, Logger: n.logger,
		Forwarding: &entry.Forwarding{
			Dialect: platform.Dialect{}, Controls: n.members, FailOpen: !now.Bounds.FailClosed,
			Retries:       retry.Shared{Ratio: now.Bounds.RetryRatio, Slack: now.Bounds.RetrySlack, Window: now.Bounds.RetryWindow},
			ExposureShare: now.Bounds.ExposureShare,
		},
	})
	listeners, err := listenAll(ctx, now.Listen.Callers, now.Listen.Readiness)
	if err != nil {
		return err
	}
	n.logger.Log("msg", "Entry serves.", "id", now.Name, "address", now.Listen.Callers, "incarnation", started)
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	taking, close := context.WithCancel(running)
	defer close()
	var ends atomic.Int64
	ends.Store(math.MaxInt64)
	left := func() time.Duration { return time.Until(time.Unix(0, ends.Load())) }
	g, running := errgroup.WithContext(running)
	g.Go(func() error { return n.follow(running) })
	g.Go(func() error { return e.Run(running) })
	g.Go(func() error { return serveUntil(running, listeners[1], platform.ReadinessHandler(e.IsOpen), noWait) })
	g.Go(func() error { return n.serveMetrics(running, e.ForwardMetrics()) })
	g.Go(func() error {
		defer stop()
		return serveUntil(taking, listeners[0], platform.CallerHandler(e, clock.WallClock, e.IsDraining), httpd.Times{Longest: left, Idle: e.IdleTime})
	})
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-running.Done():
			return nil
		}
		n.logger.Log("msg", "Entry drains.", "id", now.Name)
		ends.Store(time.Now().Add(n.settings().Bounds.Grace - exitMargin).UnixNano())
		e.StopListing(running, listedTime)
		close()
		return nil
	})
	return g.Wait()
}

// maxForwarded bounds what an entry forwards and keeps waiting at once: a
// request holds two descriptors and some tens of kilobytes.
const maxForwarded = 1024

// noWait ends a listener without waiting for open requests.
var noWait = httpd.Times{Longest: func() time.Duration { return 0 }}
