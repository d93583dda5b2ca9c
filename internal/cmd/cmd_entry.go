package cmd

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"time"

	"github.com/juju/clock"
	"github.com/urfave/cli/v3"

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
	withServerSignals()
	if isOnPlatform() {
		return runPlatformEntry(ctx, c)
	}
	ctx, cancel := stopAtHangup(ctx)
	defer cancel()
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
	e := entry.New(cfg)
	return runParts(ctx, cfg.Logger, func(stopping, running context.Context) error { return drainEntry(stopping, running, cfg, e) },
		part{"entry", e.Run},
		part{"metrics", func(ctx context.Context) error { return serveMetrics(ctx, metricsListener, e.Metrics(), guard) }},
		part{"callers", func(ctx context.Context) error {
			return httpd.ServeGuarded(ctx, files.WrapListener(l, cfg.Clock), e.Handler(), guard)
		}})
}

// drainEntry drains the entry when stopping ends. Its listener and its connection to the controls
// stay open until it is drained.
func drainEntry(stopping, running context.Context, cfg entry.Config, e *entry.Entry) error {
	<-stopping.Done()
	cfg.Logger.Log("msg", "Entry drains.", "id", cfg.ID) //nolint:errcheck // nobody is left to tell
	draining, cancel := context.WithTimeout(running, drainTimeout)
	defer cancel()
	return e.Drain(draining)
}
