package cmd

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"rosereach/internal/explain"
)

const explainNotes = `## Planned stops

Where the planned stop of an entry refused the request, gave it up or cut it, a sentence after the
lines says so: the entry, the phase of the stop (` + "`delisted`, `closed`, `ending`, `exit`" + `), the
times since the signal and until the exit, and how long the request was expected to take and what
that was based on. docs/OPERATIONS.md has the fields.
`

// cmdExplain returns the command that reconstructs the course of a request from
// logs.
func cmdExplain() *command {
	return &command{
		name: "explain", short: "reconstruct the course of a request from the logs of several processes",
		args: "ID FILE...", action: runExplain, notes: explainNotes,
	}
}

func runExplain(_ context.Context, c *cli.Command) error {
	if c.Args().Len() < 2 {
		return withExitCode(exitSettings, errors.New("expected a request id and at least one log file (\"-\" for standard input)"))
	}
	var l explain.Log
	for _, name := range c.Args().Slice()[1:] {
		if err := readLog(&l, name); err != nil {
			return err
		}
	}
	id := c.Args().First()
	lines := l.Timeline(id)
	if len(lines) == 0 {
		return withExitCode(exitFailure, errors.Errorf("no log line about request %s (%d lines could not be parsed); pass the log of the entry that the caller used, written with --log-level debug", id, l.Skipped()))
	}
	for _, line := range lines {
		fmt.Println(line)
	}
	for _, sentence := range append(explain.Stops(lines), explain.Lost(lines)...) {
		fmt.Println(sentence)
	}
	return nil
}

func readLog(l *explain.Log, name string) error {
	if name == "-" {
		return l.Read("stdin", io.Reader(os.Stdin))
	}
	f, err := os.Open(name)
	if err != nil {
		return errors.Trace(err)
	}
	defer f.Close() //nolint:errcheck // it was only read
	return l.Read(name, f)
}
