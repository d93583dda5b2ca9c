package cmd

import (
	"context"
	"math"
	"net"
	"sync/atomic"
	"time"

	"github.com/urfave/cli/v3"

	"rosereach/core/drain"
	"rosereach/core/lease"
	"rosereach/core/retry"
	"rosereach/core/warmup"
	"rosereach/internal/entry"
	"rosereach/internal/httpd"
	"rosereach/internal/logs"
	"rosereach/platform"
)

const (
	// listLife is how long callers use an old list of addresses: up to three times the
	// advertised time.
	listLife = 3 * addressTTL

	// forwardedBodyCost is the memory for a byte of a body that is forwarded, which is never
	// copied.
	forwardedBodyCost = 1

	// Parts of the time between the exit and the end of the grace time: endPart for handlers to
	// return once their requests are over, for which the server waits twice at most, and
	// flushPart for the last lines of the log.
	endPart   = 0.25
	flushPart = 0.4

	// sideEndTime is endPart for the servers beside that of callers.
	sideEndTime = 10 * time.Millisecond
)

// platformEntry is an entry that runs with the platform's settings.
// Stop is the schedule of its planned stop, nil before.
type platformEntry struct {
	process           *platformProcess
	entry             *entry.Entry
	callerListener    net.Listener
	readinessListener net.Listener
	relayListeners    []net.Listener // for other entries, none or one
	stop              atomic.Pointer[drain.Schedule]
}

// runPlatformEntry runs an entry with the platform's settings.
func runPlatformEntry(ctx context.Context, c *cli.Command) error {
	process, err := startPlatformProcess(ctx, newSettings(c), "entry")
	if err != nil {
		return err
	}
	flushTime := logs.FlushTimeout
	defer func() { process.flushLogs(process.logTime(flushTime)) }()
	now := process.settings()
	listeners, err := listenAll(ctx, now.Listen.Callers, now.Listen.Readiness)
	if err != nil {
		return err
	}
	var relays []net.Listener
	if address := now.RelayAddress(); address != "" {
		if relays, err = listenAll(ctx, address); err != nil {
			return err
		}
	}
	cfg := process.entryConfig(incarnation())
	p := &platformEntry{process: process, entry: entry.New(cfg), callerListener: listeners[0], readinessListener: listeners[1], relayListeners: relays}
	p.entry.RegisterMetrics(process.guard)
	process.logger.Log("msg", "Entry serves.", "id", now.Name, "address", now.Listen.Callers, "incarnation", cfg.Incarnation)
	err = process.runInTime(ctx, p.run)
	flushTime = p.flushTime()
	return err
}

// entryConfig returns the configuration of an entry that runs under the given
// incarnation.
func (p *platformProcess) entryConfig(incarnation uint64) entry.Config {
	now := p.settings()
	return entry.Config{
		ID: now.Name, Incarnation: incarnation, Region: now.Region, Zone: now.Zone, Address: now.Listen.Callers,
		Controls: now.ControlMemberAddresses(), MemberKey: p.memberKey, Terms: lease.DefaultConfig(), AddressTTL: addressTTL,
		MaxRunning: maxForwarded, MaxWaiting: maxForwarded, Seed: incarnation, Clock: p.clock, Logger: p.logger,
		Forwarding: &entry.Forwarding{
			Dialect: platform.Dialect{}, Controls: p.memberAddresses, FailOpen: !now.Bounds.FailClosed,
			Retries:       retry.WindowBudgetConfig{Ratio: now.Bounds.RetryBudgetRatio, Slack: now.Bounds.RetryBudgetSlack, Window: now.Bounds.RetryWindow},
			ExposureShare: now.Bounds.ExposureShare, RelayAddress: now.RelayAddress(),
			UnderPressure: now.UnderPressure, Cores: now.Cores, LinkMbps: now.LinkMbps,
			Warmup: warmup.Bounds{Overshoot: now.Bounds.WarmupOvershoot, Slack: now.Bounds.WarmupSlack},
		},
	}
}

// run serves until the context ends or a part fails, and then drains: the entry is first removed
// from the address lists, then it accepts no new connections, and it stops when the running requests
// are finished, its own and those that other entries send through it.
func (p *platformEntry) run(ctx context.Context) error {
	parts := []part{
		{"settings", p.process.watchSettings},
		{"entry", p.entry.Run},
		{"readiness", func(ctx context.Context) error {
			return p.process.serve(ctx, p.readinessListener, platform.ReadinessHandler(p.entry.IsOpen))
		}},
		{"metrics", func(ctx context.Context) error { return p.process.serveMetrics(ctx, p.entry.ForwardMetrics()) }},
	}
	for _, l := range p.relayListeners {
		parts = append(parts, part{"detours", func(ctx context.Context) error {
			return p.entry.ServeDetours(ctx, p.process.guard.Listener(l))
		}})
	}
	defer p.entry.LogExit()
	return runParts(ctx, p.process.logger, p.serveCallers, parts...)
}

// serveCallers serves callers until stopping ends, and then drains.
func (p *platformEntry) serveCallers(stopping, running context.Context) error {
	accepting, stopAccepting := context.WithCancel(running)
	defer stopAccepting()
	go func() {
		defer stopAccepting()
		select {
		case <-stopping.Done():
			p.drain(running)
		case <-running.Done():
		}
	}()
	if err := serveUntil(accepting, p.callerListener, p.callerServer()); err != nil {
		return err
	}
	p.awaitDetours(running)
	return nil
}

// awaitDetours waits until no other entry is connected to a server through this one, until the
// deadline for running requests at most.
func (p *platformEntry) awaitDetours(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := p.process.clock.AfterFunc(p.remainingTime(), cancel)
	defer timer.Stop()
	p.entry.AwaitDetours(ctx)
}

// callerServer returns the server for callers. The limits are those of the routing plan in force.
func (p *platformEntry) callerServer() httpd.Server {
	return httpd.Server{
		Handler: platform.CallerHandler(p.entry, p.process.clock, p.entry.IsDraining),
		Timeouts: httpd.Timeouts{
			Shutdown: p.remainingTime,
			End:      p.endTime,
			Header:   func() time.Duration { return p.entry.Limits().HeaderTimeout },
			Idle:     p.entry.IdleTime,
		},
		MaxHeaderBytes: func() int { return p.entry.Limits().MaxHeaderBytes },
		BodyCost:       forwardedBodyCost,
		Guard:          p.process.guard,
		Clock:          p.process.clock,
		AnswerLost:     p.entry.RecordLostAnswer,
	}
}

// drain plans the stop for the settings' grace time, and removes the entry from the
// address lists.
func (p *platformEntry) drain(ctx context.Context) {
	schedule := p.process.planStop()
	p.stop.Store(&schedule)
	p.entry.StopListing(ctx, schedule)
}

// remainingTime returns how long running requests may still take.
func (p *platformEntry) remainingTime() time.Duration {
	if schedule := p.stop.Load(); schedule != nil {
		return schedule.Exits().Sub(p.process.clock.Now())
	}
	return math.MaxInt64
}

// endTime returns how long handlers may take to return once their requests are over.
func (p *platformEntry) endTime() time.Duration {
	if schedule := p.stop.Load(); schedule != nil {
		return partOf(schedule.ExitMargin(), endPart)
	}
	return 0
}

// flushTime returns how long the last lines of the log may take.
func (p *platformEntry) flushTime() time.Duration {
	if schedule := p.stop.Load(); schedule != nil {
		return min(partOf(schedule.ExitMargin(), flushPart), logs.FlushTimeout)
	}
	return logs.FlushTimeout
}

func partOf(d time.Duration, part float64) time.Duration { return time.Duration(part * float64(d)) }

// maxForwarded bounds both the requests that an entry forwards at once and those
// that wait: a request holds two file descriptors and some tens of kilobytes.
const maxForwarded = 1024

// noWait closes a server without waiting for open requests.
var noWait = httpd.Timeouts{
	Shutdown: func() time.Duration { return 0 },
	End:      func() time.Duration { return sideEndTime },
}
