package cmd

import (
	"context"
	"fmt"
	"os"
	"strconv"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"rosereach/internal/experiment"
)

// cmdExperiment returns the command that runs the project's measurements, each
// as a subcommand.
func cmdExperiment() *command {
	c := &command{name: "experiment", short: "run a measurement and compare the results with their bounds"}
	for _, e := range experiment.All() {
		c.subs = append(c.subs, &command{
			name: e.Name(), short: e.Short(), action: runExperiment(e),
			flags: []cli.Flag{
				flag("seeds", strconv.Itoa(e.Seeds()), "number of runs, each with its own seed"),
				flag("report", "", "folder for tables and plots"),
			},
		})
	}
	return c
}

func runExperiment(e experiment.Experiment) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		s := newSettings(c)
		opts := experiment.Options{
			Seeds: int(s.number("seeds", 1, 1000)), Report: s.optional("report"), Progress: os.Stderr,
		}
		if err := s.err(); err != nil {
			return err
		}
		result, err := e.Run(ctx, opts)
		if err != nil {
			return errors.Annotatef(err, "experiment %s", e.Name())
		}
		fmt.Print(result)
		if opts.Report != "" {
			if err := result.Write(opts.Report); err != nil {
				return err
			}
		}
		if missed := result.Missed(); len(missed) > 0 {
			return withExitCode(exitFailure, errors.Errorf("%d of %d bounded results are outside their bound", len(missed), len(result.Rows)))
		}
		return nil
	}
}
