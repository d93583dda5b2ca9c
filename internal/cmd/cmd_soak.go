package cmd

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"rosereach/internal/soak"
)

// cmdSoak returns the command that injects faults into a running system and
// checks its guarantees.
func cmdSoak() *command {
	return &command{
		name: "soak", short: "run the programs on loopback, inject faults, and check what callers and operators see", action: runSoak,
		flags: []cli.Flag{
			flag("seed", "1", "seed of the faults and requests"),
			flag("for", "1m", "how long to inject faults"),
			flag("controls", "5", "number of controls, 3 at least"),
			flag("older-binary", "", "program of the build in production: all processes begin with it and are upgraded at their next start"),
			flag("folder", "", "folder for settings, data and logs, kept after the run (a temporary one when empty)"),
		},
	}
}

func runSoak(ctx context.Context, c *cli.Command) error {
	s := newSettings(c)
	cfg := soak.Config{Seed: uint64(s.number("seed", 0, 1<<62)), Duration: s.duration("for"), Folder: s.optional("folder"), OlderBinary: s.optional("older-binary"), Controls: int(s.number("controls", 3, 9))} //nolint:gosec // not negative
	if err := s.err(); err != nil {
		return err
	}
	if cfg.Folder == "" {
		folder, err := os.MkdirTemp("", "rosereach-soak-")
		if err != nil {
			return errors.Trace(err)
		}
		cfg.Folder = folder
	}
	binary, err := soak.Binary()
	if err != nil {
		return err
	}
	cfg.Binary = binary
	begin := time.Now()
	cfg.Progress = func(line string) { fmt.Fprintf(os.Stderr, "\r\033[K%s", line) }
	report, err := soak.Run(ctx, cfg)
	fmt.Fprintln(os.Stderr)
	if err != nil {
		return err
	}
	fmt.Printf("seed %d, %s: %d requests, %d answered, %d faults, %d breaches\n", cfg.Seed, time.Since(begin).Round(time.Second),
		report.Requests, report.Answered, len(report.Faults), len(report.Violations))
	for _, b := range report.Violations {
		fmt.Printf("broken: %s: request %s: %s\n  rosereach explain %s %s/*/log\n", b.Guarantee, b.ID, b.Detail, b.ID, cfg.Folder)
	}
	if len(report.Violations) > 0 {
		fmt.Println("faults:\n  " + strings.Join(report.Faults, "\n  "))
		return withExitCode(exitFailure, errors.Errorf("guarantees violated; the logs are kept in %s", cfg.Folder))
	}
	return nil
}
