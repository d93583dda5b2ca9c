package cmd

import (
	"context"
	"fmt"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"rosereach/internal/demo"
)

// cmdDemo returns the command that runs the whole system in one process and
// checks its guarantees.
func cmdDemo() *command {
	return &command{
		name: "demo", short: "run all components on loopback, send requests and check the guarantees",
		flags:  []cli.Flag{flag("requests", "240", "number of requests to send"), flag("seed", "1", "seed of the request mix")},
		action: runDemo,
	}
}

func runDemo(ctx context.Context, c *cli.Command) error {
	s := newSettings(c)
	opts := demo.Options{Requests: int(s.number("requests", 1, 100_000)), Seed: uint64(s.number("seed", 0, 1<<62))}
	if err := s.err(); err != nil {
		return err
	}
	summary, err := demo.Run(ctx, opts)
	if err != nil {
		return err
	}
	fmt.Print(summary)
	if broken := summary.Violated(); len(broken) > 0 {
		return withExitCode(exitFailure, errors.Errorf("guarantees violated: %v", broken))
	}
	return nil
}
