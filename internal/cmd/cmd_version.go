package cmd

import (
	"context"
	"maps"
	"slices"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"rosereach/core/change"
	"rosereach/core/version"
)

// cmdVersion returns the command that manages the versions of models.
func cmdVersion() *command {
	move := []cli.Flag{flag("share", "0", "share of the traffic, for a canary or a ramp"), flag("reason", "", "reason, for the audit trail")}
	return &command{
		name: "version", short: "define and show versions of models and change their states",
		subs: []*command{
			{
				name: "set", short: "create or change a version", args: "MODEL@VERSION", action: setVersion,
				flags: changeFlags(
					flag("quality", "0.5", "declared quality, 0 to 1"),
					flag("input-price", "0", "price of 1,000 input tokens, in millionths"),
					flag("output-price", "0", "price of 1,000 output tokens, in millionths"),
				),
			},
			{name: "serve", short: "let a version receive all its traffic", args: "MODEL@VERSION", flags: changeFlags(move...), action: moveVersion(version.ToServe)},
			{name: "hold", short: "stop new requests to a version temporarily", args: "MODEL@VERSION", flags: changeFlags(move...), action: moveVersion(version.ToHold)},
			{name: "withdraw", short: "stop new requests to a version", args: "MODEL@VERSION", flags: changeFlags(move...), action: moveVersion(version.ToWithdraw)},
			{name: "restore", short: "undo a withdrawal", args: "MODEL@VERSION", flags: changeFlags(move...), action: moveVersion(version.ToRestore)},
			{name: "show", short: "show a version, or all", args: "[MODEL@VERSION]", flags: operatorFlags(), action: showVersion},
		},
	}
}

func setVersion(ctx context.Context, c *cli.Command) error {
	s := newSettings(c)
	v := version.Version{
		Ref: s.versionRef(0), Quality: s.ratio("quality"),
		InputPrice: s.number("input-price", 0, 1<<40), OutputPrice: s.number("output-price", 0, 1<<40),
	}
	return s.change(ctx, change.PutVersion, v.Ref.String(), v)
}

func moveVersion(t version.Trigger) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		s := newSettings(c)
		move := change.Move{Trigger: string(t), Share: s.ratio("share"), Reason: s.optional("reason")}
		return s.change(ctx, change.MoveVersion, s.versionRef(0).String(), move)
	}
}

func showVersion(ctx context.Context, c *cli.Command) error {
	s := newSettings(c)
	docs, err := s.documents(ctx)
	if err != nil {
		return err
	}
	if !c.Args().Present() {
		return s.showVersions(docs.Versions)
	}
	v, ok := docs.Versions[c.Args().First()]
	if !ok {
		return errors.NotFoundf("version %q", c.Args().First())
	}
	return s.showDocument(v)
}

func (s *settings) showVersions(versions map[string]version.Version) error {
	out := newTable("VERSION", "STATE", "SHARE", "QUALITY", "INPUT PRICE", "OUTPUT PRICE", "REVISION")
	for _, name := range slices.Sorted(maps.Keys(versions)) {
		v := versions[name]
		out.addRow(name, v.State, v.Share, v.Quality, v.InputPrice, v.OutputPrice, v.Revision)
	}
	return s.show(versions, out)
}

// versionRef parses the argument at an index as model@version.
func (s *settings) versionRef(index int) version.Ref {
	ref, err := version.ParseRef(s.argument(index, "MODEL@VERSION"))
	if err != nil {
		s.findings.Add("MODEL@VERSION", err.Error(), "model@version")
	}
	return ref
}
