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

// foundingVoters is the number of voters that a new group needs before it
// acknowledges routing plans and roll-outs, so that the loss of one disk loses no
// data. Fleets with fewer controls need all of them.
const foundingVoters = 3

// runPlatformControl runs a control with the platform's settings.
func runPlatformControl(ctx context.Context, c *cli.Command) error {
	s := newSettings(c)
	p, err := startPlatformProcess(ctx, s, "control")
	if err != nil {
		return err
	}
	defer p.flushLogs(logs.FlushTimeout)
	now := p.settings()
	node, err := control.Open(control.Config{
		ID: now.Name, Folder: now.DataDir, Address: now.MemberAddress(), Region: now.Region, Zone: now.Zone, MemberKey: p.memberKey, OperatorKey: s.optional("operator-key"),
		Seeds:            &control.Seeds{Addresses: p.memberAddresses, MayFound: now.Bootstrap, MinVoters: 2*now.FaultTolerance + 1},
		ForgetQuarantine: c.Bool("forget-quarantine"),
		MinVoters:        min(len(now.Controls), foundingVoters), Exposure: rollout.Budget{Share: now.Bounds.ExposureShare, Slack: now.Bounds.ExposureSlack}, Terms: lease.DefaultConfig(), Clock: clock.WallClock, Logger: p.logger,
	})
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
