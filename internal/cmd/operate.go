package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"

	"github.com/juju/errors"
	"github.com/oklog/ulid/v2"
	"github.com/urfave/cli/v3"

	"rosereach/core/change"
	"rosereach/internal/httpd"
	"rosereach/io/bounded"
	"rosereach/io/operator"
)

// operatorFlags returns the flags of every command that sends requests to a
// control.
func operatorFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		flag("control", "", "host:port of a control"),
		flag("operator-key", "", "operator key to authenticate with"),
		flag("actor", "operator", "name recorded in the audit trail"),
		caFlag(),
		boolFlag("json", "print JSON instead of a table"),
	}, more...)
}

// changeFlags returns the flags of every command that makes a change.
func changeFlags(more ...cli.Flag) []cli.Flag {
	return operatorFlags(append([]cli.Flag{
		flag("expect", "", "revision that the document must have; 0 for a new one"),
		flag("change-id", "", "id of the change; reuse it to send the same change again"),
		boolFlag("dry-run", "show the permissions before and after the change without making it"),
		boolFlag("no-wait", "return once the change is accepted, before it is in force"),
	}, more...)...)
}

// documents returns the current documents, or the findings if a setting is
// invalid.
func (s *settings) documents(ctx context.Context) (operator.Documents, error) {
	client := s.client()
	if err := s.err(); err != nil {
		return operator.Documents{}, err
	}
	return client.Documents(ctx)
}

// showDocumentNamed returns an action that shows the document named by the argument.
func showDocumentNamed[T any](kind string, pick func(operator.Documents) map[string]T) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		s := newSettings(c)
		name := s.argument(0, "NAME")
		docs, err := s.documents(ctx)
		if err != nil {
			return err
		}
		document, ok := pick(docs)[name]
		if !ok {
			return errors.NotFoundf("%s %q", kind, name)
		}
		return s.showDocument(document)
	}
}

func (s *settings) client() operator.Client {
	client := operator.Client{Address: s.address("control"), Key: s.required("operator-key")}
	if config := s.clientTLS(httpd.TLSFiles{CA: s.optional("tls-ca")}); config != nil {
		client.TLS = true
		client.HTTP = &http.Client{Transport: bounded.Transport(&http.Transport{TLSClientConfig: config})}
	}
	return client
}

// change sends a change, or previews it, and prints the answer.
func (s *settings) change(ctx context.Context, kind change.Kind, name string, document any) error {
	c, err := s.newChange(kind, name, document)
	if err != nil {
		return err
	}
	client := s.client()
	if err := s.err(); err != nil {
		return err
	}
	answer, err := s.send(ctx, client, c)
	if err != nil {
		return changeError(err, c.ID)
	}
	return s.report(c, answer)
}

func (s *settings) newChange(kind change.Kind, name string, document any) (change.Change, error) {
	data, err := json.Marshal(document)
	if err != nil {
		return change.Change{}, errors.Trace(err)
	}
	c := change.Change{
		ID: s.optional("change-id"), Kind: kind, Name: name, Document: data, Actor: s.optional("actor"),
	}
	if c.ID == "" {
		c.ID = ulid.Make().String()
	}
	if s.optional("expect") != "" {
		expect := uint64(s.number("expect", 0, 1<<62))
		c.ExpectedRevision = &expect
	}
	return c, nil
}

func (s *settings) send(ctx context.Context, client operator.Client, c change.Change) (operator.Answer, error) {
	if s.cmd.Bool("dry-run") {
		return client.Preview(ctx, c)
	}
	return client.Change(ctx, c, !s.cmd.Bool("no-wait"))
}

// changeError returns the error of a failed request. A request that the control
// refused has another exit code than one whose outcome is unknown.
func changeError(err error, changeID string) error {
	var p *operator.Problem
	if errors.As(err, &p) && p.Status < http.StatusInternalServerError {
		return withExitCode(exitRefused, err)
	}
	return withExitCode(exitUnknown, errors.Annotatef(err, "outcome unknown; send the change again with --change-id %s", changeID))
}

// report prints the answer and returns an error with the matching exit code, or
// nil.
func (s *settings) report(c change.Change, a operator.Answer) error {
	if s.cmd.Bool("json") {
		if err := printJSON(a); err != nil {
			return err
		}
	}
	switch a.Status {
	case change.Accepted:
		return s.reportAccepted(c, a)
	case change.Conflict:
		return withExitCode(exitConflict, errors.Errorf("conflict: the document is at revision %d; check it and try again", a.Revision))
	}
	return withExitCode(exitRefused, errors.Annotate(a.Findings, "refused"))
}

func (s *settings) reportAccepted(c change.Change, a operator.Answer) error {
	if !s.cmd.Bool("json") {
		printAccepted(c, a)
	}
	if a.DryRun || a.InForce || s.cmd.Bool("no-wait") {
		return nil
	}
	return withExitCode(exitNotInForce, errors.New("accepted, but not yet in force everywhere; the change stays accepted, check it with the status command"))
}

func printAccepted(c change.Change, a operator.Answer) {
	switch {
	case a.DryRun:
		fmt.Printf("would be accepted: %s %s\n", c.Kind, c.Name)
		printPermissionChanges(a.Effects)
		return
	case a.Repeated:
		fmt.Printf("known already, first answer: ")
	}
	fmt.Printf("accepted: %s %s, revision %d, change id %s, in force everywhere: %t\n", c.Kind, c.Name, a.Revision, c.ID, a.InForce)
}

// argument returns the command's argument at an index. A missing one is added to
// the findings.
func (s *settings) argument(index int, name string) string {
	v := s.cmd.Args().Get(index)
	if v == "" {
		s.findings.Add(name, "missing", "an argument after the command's name")
	}
	return v
}

// file reads the file named by the argument at an index.
func (s *settings) file(index int, name string) []byte {
	path := s.argument(index, name)
	if path == "" {
		return nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		s.findings.Add(path, err.Error(), "a file that can be read")
	}
	return data
}
