package cmd

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/juju/clock"
	"github.com/urfave/cli/v3"

	"rosereach/core/catalog"
	"rosereach/core/lease"
	"rosereach/core/version"
	"rosereach/io/operator"
)

// overview is the output of the status command. RequiredActions lists the
// conditions that an operator has to act on.
type overview struct {
	Status          operator.Status            `json:"status"`
	Controls        []operator.Control         `json:"controls"`
	Versions        map[string]version.Version `json:"versions"`
	EvacuatedZones  []string                   `json:"evacuated_zones,omitempty"`
	Homes           map[string][]string        `json:"homes,omitempty"`
	RequiredActions []string                   `json:"needs"`
}

// cmdStatus returns the command that shows the state of the fleet.
func cmdStatus() *command {
	return &command{
		name: "status", short: "show instances, leases, revisions, versions and what needs an operator's action", action: showStatus,
		flags: operatorFlags(
			boolFlag("watch", "refresh the output until interrupted"),
			flag("interval", "2s", "time between two refreshes"),
		),
	}
}

func showStatus(ctx context.Context, c *cli.Command) error {
	s := newSettings(c)
	client, interval := s.client(), s.duration("interval")
	if err := s.err(); err != nil {
		return err
	}
	for {
		err := s.showOnce(ctx, client)
		if !c.Bool("watch") {
			return err
		}
		if err != nil {
			fmt.Println("unreachable:", err)
		}
		select {
		case <-clock.WallClock.After(interval):
		case <-ctx.Done():
			return nil
		}
	}
}

func (s *settings) showOnce(ctx context.Context, client operator.Client) error {
	status, err := client.Status(ctx)
	if err != nil {
		return err
	}
	docs, err := client.Documents(ctx)
	if err != nil {
		return err
	}
	group, err := client.Controls(ctx)
	if err != nil {
		return err
	}
	o := overview{
		Status: status, Controls: group.Controls, Versions: docs.Versions, EvacuatedZones: catalog.New(docs.Catalog()).EvacuatedZones(), Homes: docs.Homes,
		RequiredActions: append(controlGroupActions(group.Controls), requiredActions(status, docs)...),
	}
	if s.cmd.Bool("json") {
		return printJSON(o)
	}
	o.print(clock.WallClock.Now())
	return nil
}

func (o overview) print(now time.Time) {
	st := o.Status
	fmt.Printf("control %s, leader %s, log index %d, revision %d\n\n", st.Control, cmp.Or(st.Leader, "none"), st.Index, st.Revision)
	controlTable(o.Controls, st.Leader).print()
	fmt.Println()
	entries := newTable("ENTRY", "ADDRESS", "REGION", "AVAILABILITY ZONE", "REVISION", "LEASE FOR", "RUNNING", "DRAINS")
	slices.SortFunc(st.Entries, func(a, b lease.Entry) int { return cmp.Compare(a.ID, b.ID) })
	for _, e := range st.Entries {
		left := e.Expires.Sub(now).Round(time.Millisecond)
		entries.addRow(e.ID, e.Address, e.Region, e.Zone, e.Applied, left, e.Load, e.Draining)
	}
	entries.print()
	fmt.Println()
	versions := newTable("VERSION", "STATE", "SHARE", "REVISION")
	for _, name := range slices.Sorted(maps.Keys(o.Versions)) {
		v := o.Versions[name]
		versions.addRow(name, v.State, v.Share, v.Revision)
	}
	versions.print()
	fmt.Println()
	o.printLocations()
	if len(o.RequiredActions) == 0 {
		fmt.Println("nothing needs a person")
		return
	}
	fmt.Println("needs a person:\n  " + strings.Join(o.RequiredActions, "\n  "))
}

// printLocations prints where requests may not go: evacuated zones, home regions, and the
// servers that warm up. It prints nothing where there are none.
func (o overview) printLocations() {
	if len(o.EvacuatedZones) > 0 {
		fmt.Printf("evacuated: %s\n\n", strings.Join(o.EvacuatedZones, ", "))
	}
	if len(o.Homes) > 0 {
		homes := newTable("HOME REGIONS OF", "REGIONS")
		for _, name := range slices.Sorted(maps.Keys(o.Homes)) {
			homes.addRow(name, strings.Join(o.Homes[name], ","))
		}
		homes.print()
		fmt.Println()
	}
	if len(o.Status.Warming) > 0 {
		warming := newTable("WARMING SERVER", "INCARNATION", "FOR")
		for _, n := range o.Status.Warming {
			warming.addRow(n.Server, n.Incarnation, n.Remaining.Round(time.Millisecond))
		}
		warming.print()
		fmt.Println()
	}
}

// controlGroupActions lists the actions that the group of controls requires.
func controlGroupActions(controls []operator.Control) []string {
	list := []string{}
	voters := 0
	for _, c := range controls {
		if c.Voter {
			voters++
			continue
		}
		list = append(list, fmt.Sprintf("control %s has no vote: wait until it has caught up, or look at its log", c.ID))
	}
	if voters == 2 {
		list = append(list, "two controls have a vote: the loss of one stops changes and leases; add a third")
	}
	return list
}

// requiredActions lists the conditions that do not resolve by themselves, each with the
// action that it requires.
func requiredActions(st operator.Status, docs operator.Documents) []string {
	list := []string{}
	add := func(format string, args ...any) { list = append(list, fmt.Sprintf(format, args...)) }
	if st.Leader == "" {
		add("no leader: changes and leases wait until most controls reach each other")
	}
	if len(st.Entries) == 0 {
		add("no entry holds a lease: start entries, or look at their logs")
	}
	for _, e := range st.Entries {
		if e.Applied < st.Revision {
			add("entry %s applies revision %d, not %d: look again, then at its log", e.ID, e.Applied, st.Revision)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(docs.Versions)) {
		if docs.Versions[name].State == version.Held {
			add("version %s is held: serve or withdraw it", name)
		}
	}
	permissions := catalog.New(docs.Catalog())
	for _, name := range slices.Sorted(maps.Keys(docs.Workspaces)) {
		w := docs.Workspaces[name]
		p := permissions.Permissions(name)
		switch {
		case w.Closed:
		case p.Reason != "":
			add("workspace %s may do nothing: %s", name, p.Reason)
		case len(p.Versions) == 0 && len(p.Policy.Allow) > 0:
			add("workspace %s has no version that takes work: serve or restore one that it allows", name)
		case len(w.KeyHashes) == 0:
			add("workspace %s has no key: make one", name)
		}
	}
	return list
}
