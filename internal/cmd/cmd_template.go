package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"rosereach/core/audit"
	"rosereach/core/change"
	"rosereach/core/template"
	"rosereach/io/operator"
)

// revisionField is the document field that is set by the control.
const revisionField = "revision"

// cmdTemplate returns the command that manages templates.
func cmdTemplate() *command {
	return &command{
		name: "template", short: "check, change, show and compare templates",
		subs: []*command{
			{name: "check", short: "check template files", args: "FILE…", action: checkTemplates},
			{name: "set", short: "create or change a template", args: "FILE", flags: changeFlags(), action: setTemplate},
			{name: "show", short: "show a template", args: "NAME", flags: operatorFlags(), action: showDocumentNamed("template", func(d operator.Documents) map[string]template.Template { return d.Templates })},
			{name: "diff", short: "compare a file with the template in force", args: "FILE", flags: operatorFlags(), action: diffTemplate},
			{name: "history", short: "list a template's changes", args: "NAME", flags: operatorFlags(), action: showTemplateHistory},
		},
	}
}

func checkTemplates(_ context.Context, c *cli.Command) error {
	s := newSettings(c)
	for i := range max(c.Args().Len(), 1) {
		s.template(i)
	}
	if err := s.err(); err != nil {
		return err
	}
	fmt.Println("ok")
	return nil
}

func setTemplate(ctx context.Context, c *cli.Command) error {
	s := newSettings(c)
	t := s.template(0)
	return s.change(ctx, change.PutTemplate, t.Name, t)
}

func diffTemplate(ctx context.Context, c *cli.Command) error {
	s := newSettings(c)
	t := s.template(0)
	docs, err := s.documents(ctx)
	if err != nil {
		return err
	}
	old := docs.Templates[t.Name]
	t.Revision = old.Revision
	before, err := json.Marshal(old)
	if err != nil {
		return errors.Trace(err)
	}
	after, err := json.Marshal(t)
	if err != nil {
		return errors.Trace(err)
	}
	list := audit.Differences(before, after)
	out := newTable("FIELD", "IN FORCE", "FILE")
	for _, d := range list {
		out.addRow(d.Path, d.Before, d.After)
	}
	return s.show(list, out)
}

func showTemplateHistory(ctx context.Context, c *cli.Command) error {
	s := newSettings(c)
	written, client := change.Change{Kind: change.PutTemplate, Name: s.argument(0, "NAME")}, s.client()
	if err := s.err(); err != nil {
		return err
	}
	trail, err := client.FullTrail(ctx, 0)
	if err != nil {
		return err
	}
	var history []audit.Event
	out := newTable("REVISION", "AT", "ACTOR", "FROM", "CHANGE ID", "KIND", "DIFFERENCE")
	for _, e := range trail.Events {
		if e.Subject != written.Subject() {
			continue
		}
		history = append(history, e)
		out.addRow(e.Revision, e.At.Format(timeLayout), e.Actor, e.From, e.ChangeID, e.Kind, differenceText(e))
	}
	return s.show(history, out)
}

// differenceText formats an event's differences on one line.
func differenceText(e audit.Event) string {
	if e.Detail != "" {
		return strings.ReplaceAll(e.Detail, "\n", "; ")
	}
	var parts []string
	for _, d := range audit.Differences(e.Before, e.After) {
		if d.Path == revisionField {
			continue
		}
		parts = append(parts, fmt.Sprintf("%s: %s → %s", d.Path, orNone(d.Before), orNone(d.After)))
	}
	return strings.Join(parts, "; ")
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

// template reads and checks the template file named by the argument at an index.
func (s *settings) template(index int) template.Template {
	data := s.file(index, "FILE")
	if data == nil {
		return template.Template{}
	}
	t, found := template.Parse(data)
	s.findings.AddFile(s.cmd.Args().Get(index), found)
	return t
}
