package cmd

import (
	"context"

	"github.com/juju/clock"
	"github.com/urfave/cli/v3"

	"rosereach/core/lease"
	"rosereach/core/rollout"
	"rosereach/internal/control"
	"rosereach/internal/logs"
	"rosereach/platform"
)

// maxSeeds is how many seeds the settings name at most. Fleets with fewer controls name all.
const maxSeeds = 3

// minVoters returns the number of voters that a group needs before it acknowledges routing plans
// and roll-outs: as many as tolerate the disks that may be lost at once, and three so that one may.
// Fleets with fewer controls need all of them.
func minVoters(seeds, tolerant int) int {
	if seeds < maxSeeds {
		return seeds
	}
	return max(maxSeeds, tolerant)
}

// runPlatformControl runs a control with the platform's settings.
func runPlatformControl(ctx context.Context, c *cli.Command) error {
	s := newSettings(c)
	p, err := startPlatformProcess(ctx, s, "control")
	if err != nil {
		return err
	}
	defer func() { p.flushLogs(p.logTime(logs.FlushTimeout)) }()
	cfg := control.Config{OperatorKey: s.optional("operator-key"), ForgetQuarantine: c.Bool("forget-quarantine")}
	return p.runInTime(ctx, func(ctx context.Context) error { return p.runControl(ctx, cfg) })
}

// runControl runs a control with the settings. The configuration holds what flags say.
func (p *platformProcess) runControl(ctx context.Context, cfg control.Config) error {
	now := p.settings()
	cfg.ID, cfg.Folder, cfg.Address, cfg.Region, cfg.Zone, cfg.MemberKey = now.Name, now.DataDir, now.MemberAddress(), now.Region, now.Zone, p.memberKey
	tolerant := 2*now.FaultTolerance + 1
	cfg.Seeds = &control.Seeds{Addresses: p.memberAddresses, MayFound: now.Bootstrap, MinVoters: tolerant}
	cfg.MinVoters, cfg.Exposure = minVoters(len(now.Controls), tolerant), rollout.Budget{Share: now.Bounds.ExposureShare, Slack: now.Bounds.ExposureSlack}
	cfg.Terms, cfg.Clock, cfg.Logger = lease.DefaultConfig(), clock.WallClock, p.logger
	node, err := control.Open(cfg)
	if err != nil {
		return err
	}
	node.RegisterMetrics(p.guard)
	addresses := []string{now.MemberAddress(), now.Listen.Control}
	if now.Listen.Directory != "" {
		addresses = append(addresses, now.Listen.Directory)
	}
	listeners, err := listenAll(ctx, addresses...)
	if err != nil {
		return err
	}
	p.logger.Log("msg", "Control serves.", "id", now.Name, "address", now.MemberAddress(), "first_start", now.Bootstrap)
	parts := []part{
		{"settings", p.watchSettings},
		{"metrics", func(ctx context.Context) error { return p.serveMetrics(ctx, node.TextMetrics()) }},
		{"members", func(ctx context.Context) error { return p.serve(ctx, listeners[0], node.Handler()) }},
		{"control", func(ctx context.Context) error {
			return p.serve(ctx, listeners[1], platform.ControlHandler(node, p.regions))
		}},
	}
	if len(listeners) > 2 {
		parts = append(parts, part{"directory", func(ctx context.Context) error {
			return p.serve(ctx, listeners[2], platform.DirectoryHandler(node, addressTTL))
		}})
	}
	return serveControl(ctx, p.logger, node, parts...)
}
