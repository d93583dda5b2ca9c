package catalog

import (
	"maps"
	"reflect"
	"slices"

	"rosereach/core/change"
	"rosereach/core/template"
)

type (
	// Permissions are what a workspace's traffic may do under one catalog.
	// Versions are those that take new work now, as model@version. They are
	// empty, and Reason is set, when nothing is permitted.
	Permissions struct {
		Policy   template.Policy `json:"policy"`
		Versions []string        `json:"versions"`
		Services []string        `json:"services"`
		Reason   string          `json:"reason,omitempty"`
	}

	// Effect is what a change does to one workspace.
	Effect struct {
		Workspace string      `json:"workspace"`
		Before    Permissions `json:"before"`
		After     Permissions `json:"after"`
	}

	// Preview is what a change would do. Effects hold only the workspaces
	// whose permissions would differ, ordered by name.
	Preview struct {
		Result  change.Result `json:"result"`
		Effects []Effect      `json:"effects"`
	}
)

// Permissions returns what the workspace's traffic may do.
func (c *Catalog) Permissions(name string) Permissions {
	policy, err := c.Policy(name)
	if err != nil {
		return Permissions{Reason: err.Error()}
	}
	p := Permissions{Policy: policy}
	for _, v := range c.Permitted(name) {
		p.Versions = append(p.Versions, v.Ref.String())
	}
	for _, s := range policy.Services {
		if _, err := c.PermitService(name, s); err == nil {
			p.Services = append(p.Services, s)
		}
	}
	return p
}

// Preview returns what the change would answer and do, without making it.
func (d Documents) Preview(c change.Change) Preview {
	after, result := d.Apply(c, d.Revision+1)
	p := Preview{Result: result, Effects: []Effect{}}
	if result.Status != change.Accepted {
		return p
	}
	old, next := New(d), New(after)
	names := slices.Collect(maps.Keys(after.Workspaces))
	slices.Sort(names)
	for _, name := range names {
		e := Effect{Workspace: name, Before: old.Permissions(name), After: next.Permissions(name)}
		if !reflect.DeepEqual(e.Before, e.After) {
			p.Effects = append(p.Effects, e)
		}
	}
	return p
}
