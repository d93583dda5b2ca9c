package cmd

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/juju/clock"
	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"rosereach/internal/load"
)

// cmdLoad returns the command that generates the load of both example customers'
// callers and reports outcomes and latencies.
func cmdLoad() *command {
	return &command{
		name: "load", short: "send requests at a fixed rate and report outcomes and latencies", action: runLoad,
		flags: []cli.Flag{
			flag("entries", "", "host:port of the entries that callers contact first, comma-separated"),
			flag("keys", "", "profiles with their workspace's key, as vitrina=KEY,terminalna=KEY"),
			flag("rate", "20", "requests per second, divided evenly among the profiles"),
			flag("duration", "30s", "how long to send requests"),
			flag("seed", "1", "seed of the schedule; the same seed gives the same schedule"),
			flag("region", "", "region of the callers"),
			flag("availability-zone", "", "availability zone of the callers"),
			flag("report", "", "folder for the report (none is written when empty)"),
			flag("name", "load", "base name of the report's files"),
		},
		subs: []*command{{
			name: "compare", short: "compare two reports", args: "A.json B.json", action: runCompare,
		}},
	}
}

func runLoad(ctx context.Context, c *cli.Command) error {
	s := newSettings(c)
	opts := load.Options{
		Entries: s.addresses("entries"), Duration: s.duration("duration"), Seed: uint64(s.number("seed", 0, 1<<62)),
		Progress: os.Stderr, Clock: clock.WallClock,
	}
	opts.Sources = s.sources("keys", float64(s.number("rate", 1, 1_000_000)))
	if err := s.err(); err != nil {
		return err
	}
	report := load.NewReport(s.optional("name"), opts, load.NewRunner(opts).Run(ctx))
	fmt.Print(report)
	if folder := s.optional("report"); folder != "" {
		return report.Write(folder)
	}
	return nil
}

func runCompare(_ context.Context, c *cli.Command) error {
	const reports = 2
	if c.Args().Len() != reports {
		return withExitCode(exitSettings, errors.New("expected the JSON files of two reports"))
	}
	a, err := load.ReadReport(c.Args().Get(0))
	if err != nil {
		return err
	}
	b, err := load.ReadReport(c.Args().Get(1))
	if err != nil {
		return err
	}
	fmt.Print(load.Compare(a, b))
	return nil
}

// sources parses profiles with their keys and divides the rate evenly among
// them.
func (s *settings) sources(name string, rate float64) []load.Source {
	var sources []load.Source
	for _, text := range strings.Split(s.required(name), ",") {
		profile, key, _ := strings.Cut(strings.TrimSpace(text), "=")
		p, err := load.ProfileOf(profile)
		if err != nil || key == "" {
			s.findings.Add("--"+name, "bad profile or key in "+profile, "vitrina=KEY or terminalna=KEY, with commas")
			continue
		}
		sources = append(sources, load.Source{
			Profile: p, Key: key, Region: s.optional("region"), Zone: s.optional("availability-zone"),
		})
	}
	for i := range sources {
		sources[i].Rate = rate / float64(len(sources))
	}
	return sources
}
