package cmd

import (
	"context"
	"slices"
	"time"

	"github.com/juju/clock"
	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"rosereach/io/operator"
)

// controlsPollInterval is the interval at which the list of controls is polled.
const controlsPollInterval = 200 * time.Millisecond

func cmdControlList() *command {
	return &command{name: "list", short: "list the controls of the group", action: listControls, flags: operatorFlags()}
}

func cmdControlAdd() *command {
	return &command{
		name: "add", short: "add a control that runs with --standby", args: "HOST:PORT", action: addControl,
		flags: operatorFlags(boolFlag("wait", "return once it is a voter")),
	}
}

func cmdControlRemove() *command {
	return &command{
		name: "remove", short: "remove a control from the group", args: "ID", action: removeControl,
		flags: operatorFlags(boolFlag("wait", "return once it has been removed")),
	}
}

func listControls(ctx context.Context, c *cli.Command) error {
	s := newSettings(c)
	client := s.client()
	if err := s.err(); err != nil {
		return err
	}
	list, err := client.Controls(ctx)
	if err != nil {
		return err
	}
	return s.show(list, controlTable(list.Controls, list.Leader))
}

// controlTable returns a table of the controls in the group.
func controlTable(controls []operator.Control, leader string) *table {
	out := newTable("CONTROL", "ADDRESS", "VOTER", "LEADS", "INCARNATION")
	for _, m := range controls {
		out.addRow(m.ID, m.Address, m.Voter, m.ID == leader, m.Incarnation)
	}
	return out
}

func addControl(ctx context.Context, c *cli.Command) error {
	s := newSettings(c)
	client, address := s.client(), s.argument(0, "HOST:PORT")
	if err := s.err(); err != nil {
		return err
	}
	if err := client.AddControl(ctx, address); err != nil {
		return withExitCode(exitRefused, err)
	}
	if !c.Bool("wait") {
		return nil
	}
	return waitForControl(ctx, client, func(m operator.Control) bool { return m.Address == address && m.Voter })
}

func removeControl(ctx context.Context, c *cli.Command) error {
	s := newSettings(c)
	client, id := s.client(), s.argument(0, "ID")
	if err := s.err(); err != nil {
		return err
	}
	if err := client.RemoveControl(ctx, id); err != nil {
		return withExitCode(exitRefused, err)
	}
	for c.Bool("wait") {
		list, err := client.Controls(ctx)
		if err == nil && !slices.ContainsFunc(list.Controls, func(m operator.Control) bool { return m.ID == id }) {
			return nil
		}
		if err := waitForPoll(ctx); err != nil {
			return err
		}
	}
	return nil
}

// waitForControl waits until a control in the group matches.
func waitForControl(ctx context.Context, client operator.Client, matches func(operator.Control) bool) error {
	for {
		list, err := client.Controls(ctx)
		if err == nil && slices.ContainsFunc(list.Controls, matches) {
			return nil
		}
		if err := waitForPoll(ctx); err != nil {
			return err
		}
	}
}

func waitForPoll(ctx context.Context) error {
	select {
	case <-clock.WallClock.After(controlsPollInterval):
		return nil
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}
