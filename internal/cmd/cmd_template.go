package cmd

import (
	"context"
	"fmt"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"rosereach/core/change"
	"rosereach/core/template"
)

// cmdTemplate works with templates.
func cmdTemplate() *command {
	return &command{
		name: "template", short: "check, set and show templates",
		subs: []*command{
			{name: "check", short: "check template files", args: "FILE…", action: checkTemplates},
			{name: "set", short: "create or change a template", args: "FILE", flags: changeFlags(), action: setTemplate},
			{name: "show", short: "show a template", args: "NAME", flags: operatorFlags(), action: showTemplate},
		},
	}
}

func checkTemplates(_ context.Context, c *cli.Command) error {
	s := newSettings(c)
	for place := range max(c.Args().Len(), 1) {
		data := s.file(place, "FILE")
		if data == nil {
			continue
		}
		_, found := template.Parse(data)
		s.found.Within(c.Args().Get(place), found)
	}
	if err := s.err(); err != nil {
		return err
	}
	fmt.Println("ok")
	return nil
}

func setTemplate(ctx context.Context, c *cli.Command) error {
	s := newSettings(c)
	t, found := template.Parse(s.file(0, "FILE"))
	s.found.Within(c.Args().Get(0), found)
	return s.change(ctx, change.PutTemplate, t.Name, t)
}

func showTemplate(ctx context.Context, c *cli.Command) error {
	s := newSettings(c)
	name, client := s.argument(0, "NAME"), s.client()
	if err := s.err(); err != nil {
		return err
	}
	docs, err := client.Documents(ctx)
	if err != nil {
		return err
	}
	t, ok := docs.Templates[name]
	if !ok {
		return errors.NotFoundf("template %q", name)
	}
	return printJSON(t)
}
