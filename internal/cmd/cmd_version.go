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

// cmdVersion works with the versions of models.
func cmdVersion() *command {
	move := []cli.Flag{flag("share", "0", "share of the traffic, for a canary or a ramp"), flag("reason", "", "reason, for the audit trail")}
	return &command{
		name: "version", short: "set, show and move the versions of models",
		subs: []*command{
			{
				name: "set", short: "describe a version", args: "MODEL@VERSION", action: setVersion,
				flags: changeFlags(
					flag("quality", "0.5", "declared quality, 0 to 1"),
					flag("input-price", "0", "millionths for 1,000 input tokens"),
					flag("output-price", "0", "millionths for 1,000 output tokens"),
				),
			},
			{name: "serve", short: "let a version take all its traffic", args: "MODEL@VERSION", flags: changeFlags(move...), action: moveVersion(version.ToServe)},
			{name: "hold", short: "stop new work for a version for now", args: "MODEL@VERSION", flags: changeFlags(move...), action: moveVersion(version.ToHold)},
			{name: "withdraw", short: "stop new work for a version", args: "MODEL@VERSION", flags: changeFlags(move...), action: moveVersion(version.ToWithdraw)},
			{name: "restore", short: "undo a withdrawal", args: "MODEL@VERSION", flags: changeFlags(move...), action: moveVersion(version.ToRestore)},
			{name: "show", short: "show a version, or all", args: "[MODEL@VERSION]", flags: operatorFlags(), action: showVersion},
		},
	}
}

func setVersion(ctx context.Context, c *cli.Command) error {
	s := newSettings(c)
	v := version.Version{
		Ref: s.ref(0), Quality: s.ratio("quality"),
		InputPrice: s.number("input-price", 0, 1<<40), OutputPrice: s.number("output-price", 0, 1<<40),
	}
	return s.change(ctx, change.PutVersion, v.Ref.String(), v)
}

func moveVersion(t version.Trigger) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		s := newSettings(c)
		move := change.Move{Trigger: string(t), Share: s.ratio("share"), Reason: s.optional("reason")}
		return s.change(ctx, change.MoveVersion, s.ref(0).String(), move)
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
		out.add(name, v.State, v.Share, v.Quality, v.InputPrice, v.OutputPrice, v.Revision)
	}
	return s.show(versions, out)
}

// ref reads the argument at the place as model@version.
func (s *settings) ref(place int) version.Ref {
	ref, err := version.ParseRef(s.argument(place, "MODEL@VERSION"))
	if err != nil {
		s.found.Add("MODEL@VERSION", err.Error(), "model@version")
	}
	return ref
}
