package cmd

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"rosereach/core/catalog"
	"rosereach/core/change"
	"rosereach/core/template"
	"rosereach/core/workspace"
	"rosereach/io/operator"
)

// cmdWorkspace returns the command that manages workspaces and the keys of
// their callers.
func cmdWorkspace() *command {
	values := flag("values", "", "parameters as NAME=JSON, separated by semicolons")
	from := flag("template", "", "name of the template")
	key := flag("caller-key", "", "key to store (a new random key when empty)")
	revoke := flag("revoke", "", "hash of the key to revoke, as listed by workspace show")
	return &command{
		name: "workspace", short: "create, change, show and list workspaces and manage their keys",
		subs: []*command{
			{name: "create", short: "create a workspace", args: "NAME", flags: changeFlags(from, values), action: createWorkspace},
			{name: "set", short: "change a workspace's parameters", args: "NAME", flags: changeFlags(from, values), action: setWorkspace},
			{name: "show", short: "show a workspace", args: "NAME", flags: operatorFlags(), action: showDocumentNamed("workspace", func(d operator.Documents) map[string]workspace.Workspace { return d.Workspaces })},
			{name: "list", short: "list workspaces", flags: operatorFlags(), action: listWorkspaces},
			{name: "key", short: "create or revoke a key for a workspace's callers", args: "NAME", flags: changeFlags(key, revoke), action: manageWorkspaceKey},
		},
	}
}

func createWorkspace(ctx context.Context, c *cli.Command) error {
	if c.String("expect") == "" {
		if err := c.Set("expect", "0"); err != nil {
			return errors.Trace(err)
		}
	}
	return setWorkspace(ctx, c)
}

func setWorkspace(ctx context.Context, c *cli.Command) error {
	s := newSettings(c)
	w := workspace.Workspace{
		Name: s.argument(0, "NAME"), Template: s.required("template"), Values: s.values("values"),
	}
	return s.change(ctx, change.PutWorkspace, w.Name, w)
}

func listWorkspaces(ctx context.Context, c *cli.Command) error {
	s := newSettings(c)
	docs, err := s.documents(ctx)
	if err != nil {
		return err
	}
	out := newTable("WORKSPACE", "TEMPLATE", "KEYS", "CLOSED", "REVISION", "VERSIONS PERMITTED NOW")
	permissions := catalog.New(docs.Catalog())
	for _, name := range slices.Sorted(maps.Keys(docs.Workspaces)) {
		w := docs.Workspaces[name]
		versions := strings.Join(permissions.Permissions(name).Versions, ", ")
		out.addRow(name, w.Template, len(w.KeyHashes), w.Closed, w.Revision, versions)
	}
	return s.show(docs.Workspaces, out)
}

func manageWorkspaceKey(ctx context.Context, c *cli.Command) error {
	s := newSettings(c)
	name := s.argument(0, "NAME")
	if hash := s.optional("revoke"); hash != "" {
		return s.change(ctx, change.RemoveKey, name, change.Key{Hash: hash})
	}
	return s.makeKey("caller-key", func(text string) error {
		return s.change(ctx, change.AddKey, name, change.Key{Hash: workspace.HashKey(text)})
	})
}

// values parses parameters given as NAME=JSON, separated by semicolons.
func (s *settings) values(name string) template.Values {
	values := make(template.Values)
	for _, text := range strings.Split(s.optional(name), ";") {
		if strings.TrimSpace(text) == "" {
			continue
		}
		parameter, value, ok := strings.Cut(text, "=")
		if !ok || !json.Valid([]byte(value)) {
			s.findings.Add("--"+name, "bad parameter "+text, "NAME=JSON, more than one with semicolons")
			continue
		}
		values[strings.TrimSpace(parameter)] = json.RawMessage(value)
	}
	return values
}
