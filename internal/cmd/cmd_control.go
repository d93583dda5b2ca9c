package cmd

import (
	"context"
	"fmt"

	"github.com/juju/clock"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"rosereach/core/lease"
	"rosereach/internal/control"
	"rosereach/internal/httpd"
)

// cmdControl runs a control process.
func cmdControl() *command {
	return &command{
		name: "control", short: "keep the replicated state and grant leases", action: runControl,
		flags: append(append(commonFlags(), tlsFlags()...),
			flag("data", "", "data folder, on a disk"),
			flag("member-key", "", "key that rosereach's own processes share"),
			flag("operator-key", "", "bootstrap key with every right, until operators have keys of their own"),
		),
	}
}

func runControl(ctx context.Context, c *cli.Command) error {
	s := newSettings(c)
	listen := s.address("listen")
	cfg := control.Config{
		ID: s.text("id"), Folder: s.text("data"), MemberKey: s.text("member-key"), OperatorKey: s.optional("operator-key"),
		Terms: lease.DefaultTerms(), Clock: clock.WallClock, Logger: newLogger(s, "control"),
	}
	files := s.tlsFiles()
	if err := s.err(); err != nil {
		return err
	}
	node, err := control.Open(cfg)
	if err != nil {
		return err
	}
	l, err := httpd.Listen(ctx, listen)
	if err != nil {
		return err
	}
	fmt.Println(l.Addr())
	cfg.Logger.Log("msg", "Control serves.", "id", cfg.ID, "address", l.Addr())
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return node.Run(ctx) })
	g.Go(func() error { return httpd.Serve(ctx, files.Wrap(l, cfg.Clock), node.Handler()) })
	return g.Wait()
}
