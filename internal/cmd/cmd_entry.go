package cmd

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"time"

	"github.com/juju/clock"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"rosereach/core/lease"
	"rosereach/internal/entry"
	"rosereach/internal/httpd"
)

// drainTimeout bounds a graceful shutdown. Each request also has its own deadline.
const drainTimeout = 10 * time.Minute

// cmdEntry returns the command that runs an entry process.
func cmdEntry() *command {
	return &command{
		name: "entry", short: "serve callers and backend servers", action: runEntry,
		flags: append(append(commonFlags(), tlsFlags()...),
			metricsFlag(),
			metricsPortFlag(),
			flag("controls", "", "host:port of the controls, comma-separated"),
			flag("member-key", "", "key shared by rosereach's processes"),
			flag("backend-key", "", "key that backend servers present"),
			flag("address-ttl", "10s", "how long callers may cache the list of addresses"),
			flag("request-timeout", "60s", "maximum duration of a request"),
			flag("max-body", "1048576", "maximum size of a request body, in bytes"),
			flag("max-running", "1024", "maximum number of requests that run at once"),
			flag("max-waiting", "1024", "maximum number of requests that wait at once"),
			memoryFlag(),
		),
		notes: clientLimits,
	}
}

func runEntry(ctx context.Context, c *cli.Command) error {
	if isOnPlatform() {
		return runPlatformEntry(ctx, c)
	}
	s := newSettings(c)
	listen := s.address("listen")
	files, started := s.tlsFiles(), incarnation()
	s.clientTLS(files)
	cfg := entry.Config{
		ID: s.required("id"), Incarnation: started, Region: s.required("region"), Zone: s.required("availability-zone"),
		Controls: s.addresses("controls"), MemberKey: s.required("member-key"), BackendKey: s.required("backend-key"),
		Terms: lease.DefaultConfig(), AddressTTL: s.duration("address-ttl"), Timeout: s.duration("request-timeout"),
		MaxBody: s.number("max-body", 1, 1<<30), MaxRunning: int(s.number("max-running", 1, math.MaxInt32)),
		MaxWaiting: int(s.number("max-waiting", 0, math.MaxInt32)), DrainTime: drainTimeout, Seed: started,
		TLS: files.ClientConfig, Clock: clock.WallClock, Logger: newLogger(s, "entry"),
	}
	guard := s.guard(cfg.Logger)
	metricsListener := s.metricsListener(ctx)
	if err := s.err(); err != nil {
		return err
	}
	l, err := httpd.Listen(ctx, listen)
	if err != nil {
		return err
	}
	cfg.Address = cmp.Or(s.optional("advertise"), l.Addr().String())
	fmt.Println(l.Addr())
	cfg.Logger.Log("msg", "Entry serves.", "id", cfg.ID, "address", cfg.Address)
	if metricsListener != nil {
		cfg.Logger.Log("msg", "Metrics are shown.", "address", metricsListener.Addr())
	}
	return serveEntry(ctx, cfg, func(ctx context.Context, e *entry.Entry) error {
		g, ctx := errgroup.WithContext(ctx)
		g.Go(func() error { return serveMetrics(ctx, metricsListener, e.Metrics(), guard) })
		g.Go(func() error { return httpd.ServeGuarded(ctx, files.WrapListener(l, cfg.Clock), e.Handler(), guard) })
		return g.Wait()
	})
}

// serveEntry runs the entry until the context ends and then drains it. Its
// listener and its connection to the controls stay open until it is drained.
func serveEntry(ctx context.Context, cfg entry.Config, serve func(context.Context, *entry.Entry) error) error {
	e := entry.New(cfg)
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, serving := errgroup.WithContext(serving)
	g.Go(func() error { return e.Run(serving) })
	g.Go(func() error { return serve(serving, e) })
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-serving.Done():
			return nil
		}
		defer stop()
		cfg.Logger.Log("msg", "Entry drains.", "id", cfg.ID)
		draining, cancel := context.WithTimeout(serving, drainTimeout)
		defer cancel()
		return e.Drain(draining)
	})
	return g.Wait()
}
