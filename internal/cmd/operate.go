package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/juju/errors"
	"github.com/oklog/ulid/v2"
	"github.com/urfave/cli/v3"

	"rosereach/core/change"
	"rosereach/io/operator"
)

// operatorFlags are the settings of every command that talks to a control.
func operatorFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		flag("control", "", "host:port of a control"),
		flag("operator-key", "", "key to present"),
		flag("actor", "operator", "name to write into the audit trail"),
	}, more...)
}

// changeFlags are the settings of every command that makes a change.
func changeFlags(more ...cli.Flag) []cli.Flag {
	return operatorFlags(append([]cli.Flag{
		flag("expect", "", "revision that the document must have; 0 for a new one"),
		flag("change-id", "", "id of the change; give the same one to send it again"),
		boolFlag("no-wait", "return once the change is accepted, before it is in force"),
	}, more...)...)
}

func (s *settings) client() operator.Client {
	return operator.Client{Address: s.address("control"), Key: s.text("operator-key")}
}

// change sends a change and prints the answer.
func (s *settings) change(ctx context.Context, kind change.Kind, name string, document any) error {
	data, err := json.Marshal(document)
	if err != nil {
		return errors.Trace(err)
	}
	c := change.Change{
		ID: s.optional("change-id"), Kind: kind, Name: name, Document: data, Actor: s.optional("actor"),
	}
	if c.ID == "" {
		c.ID = ulid.Make().String()
	}
	if s.optional("expect") != "" {
		expect := uint64(s.number("expect", 0, 1<<62))
		c.Expect = &expect
	}
	client := s.client()
	if err := s.err(); err != nil {
		return err
	}
	answer, err := client.Change(ctx, c, !s.cmd.Bool("no-wait"))
	if err != nil {
		return exit(exitUnknown, errors.Annotatef(err, "outcome unknown; send it again with --change-id %s", c.ID))
	}
	return report(c, answer)
}

func report(c change.Change, a operator.Answer) error {
	switch a.Status {
	case change.Accepted:
		fmt.Printf("accepted: %s %s, revision %d, in force everywhere: %t\n", c.Kind, c.Name, a.Revision, a.InForce)
		return nil
	case change.Conflict:
		return exit(exitConflict, errors.Errorf("conflict: the document is at revision %d; look at it and try again", a.Revision))
	}
	return exit(exitRefused, errors.Annotate(a.Findings, "refused"))
}

// argument returns the command's argument at the place, or a finding.
func (s *settings) argument(place int, name string) string {
	v := s.cmd.Args().Get(place)
	if v == "" {
		s.found.Add(name, "missing", "an argument after the command's name")
	}
	return v
}

// file reads the file that an argument names.
func (s *settings) file(place int, name string) []byte {
	path := s.argument(place, name)
	if path == "" {
		return nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		s.found.Add(path, err.Error(), "a file that can be read")
	}
	return data
}

func printJSON(v any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return errors.Trace(e.Encode(v))
}
