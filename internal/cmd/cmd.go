// Package cmd implements the command line of the rosereach program: one file
// for each command, and the table that lists them.
package cmd

import (
	"context"
	"fmt"
	"os"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"rosereach/core/finding"
)

// The program's exit codes.
const (
	exitOK         = 0
	exitFailure    = 1
	exitSettings   = 2
	exitRefused    = 3
	exitConflict   = 4
	exitUnknown    = 5
	exitNotInForce = 6
)

type (
	// command is an entry of the command table. Hidden commands are left out of
	// the help output and of the manual.
	command struct {
		name   string
		short  string
		args   string
		hidden bool
		flags  []cli.Flag
		action cli.ActionFunc
		subs   []*command
		// notes end the command's page of the manual, in Markdown.
		notes string
	}

	// exitError is an error that sets the program's exit code.
	exitError struct {
		code  int
		cause error
	}
)

// commands returns the command table.
func commands() []*command {
	return []*command{
		cmdEntry(), cmdControl(), cmdDemo(), cmdFake(),
		cmdTemplate(), cmdWorkspace(), cmdVersion(), cmdService(), cmdEvacuation(), cmdOperator(),
		cmdBills(), cmdAudit(), cmdStatus(), cmdMan(),
		cmdLoad(), cmdExperiment(), cmdExplain(), cmdSoak(),
	}
}

// Main runs the command given by the arguments and returns the exit code.
func Main(ctx context.Context, version string, args []string) int {
	root := &cli.Command{
		Name: "rosereach", Usage: "route requests to permitted models and versions", Version: version,
		Commands:                  buildCommands(commands()),
		ExitErrHandler:            func(context.Context, *cli.Command, error) {},
		DisableSliceFlagSeparator: true,
	}
	err := root.Run(ctx, args)
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(os.Stderr, "rosereach:", err)
	return exitCodeOf(err)
}

// Error returns the message of the cause.
func (e *exitError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.cause }

func withExitCode(code int, cause error) error { return &exitError{code: code, cause: cause} }

func exitCodeOf(err error) int {
	var e *exitError
	if errors.As(err, &e) {
		return e.code
	}
	var findings finding.List
	if errors.As(err, &findings) {
		return exitSettings
	}
	return exitFailure
}

func buildCommands(table []*command) []*cli.Command {
	var built []*cli.Command
	for _, c := range table {
		built = append(built, &cli.Command{
			Name: c.name, Usage: c.short, ArgsUsage: c.args, Hidden: c.hidden,
			Flags: c.flags, Action: c.action, Commands: buildCommands(c.subs),
		})
	}
	return built
}
