package cmd

import (
	"context"
	"maps"
	"slices"

	"github.com/urfave/cli/v3"

	"rosereach/core/change"
	"rosereach/core/evacuation"
)

// cmdEvacuation returns the command that keeps requests away from availability zones.
func cmdEvacuation() *command {
	return &command{
		name: "evacuation", short: "keep requests away from the backend servers of an availability zone",
		subs: []*command{
			{name: "start", short: "send no further requests to the zone's servers", args: "ZONE", flags: changeFlags(), action: evacuate(true)},
			{name: "end", short: "withdraw an evacuation", args: "ZONE", flags: changeFlags(), action: evacuate(false)},
			{name: "list", short: "show the evacuations, also those that were withdrawn", flags: operatorFlags(), action: listEvacuations},
		},
	}
}

// evacuate returns the action that begins or withdraws an evacuation. The order names the
// zone's last one, so that it does not undo one that is made meanwhile.
func evacuate(active bool) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		s := newSettings(c)
		zone := s.argument(0, "ZONE")
		docs, err := s.documents(ctx)
		if err != nil {
			return err
		}
		return s.change(ctx, change.PutEvacuation, zone, evacuation.Order{Zone: zone, Active: active, SeenRevision: docs.Evacuations[zone].Revision})
	}
}

func listEvacuations(ctx context.Context, c *cli.Command) error {
	s := newSettings(c)
	docs, err := s.documents(ctx)
	if err != nil {
		return err
	}
	out := newTable("AVAILABILITY ZONE", "EVACUATED", "SINCE", "REVISION")
	for _, zone := range slices.Sorted(maps.Keys(docs.Evacuations)) {
		o := docs.Evacuations[zone]
		out.addRow(zone, o.Active, o.At.Format(timeLayout), o.Revision)
	}
	return s.show(docs.Evacuations, out)
}
