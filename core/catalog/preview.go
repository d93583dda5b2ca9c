package catalog

import (
	"maps"
	"reflect"
	"slices"

	"rosereach/core/change"
	"rosereach/core/template"
)

type (
	// Permissions are the permissions of a workspace under one catalog.
	Permissions struct {
		Policy template.Policy `json:"policy"`
		// Versions are the permitted versions that accept new requests, as
		// model@version.
		Versions []string `json:"versions"`
		Services []string `json:"services"`
		// Reason says why nothing is permitted. The other fields are empty then.
		Reason string `json:"reason,omitempty"`
	}

	// Effect is the effect of a change on the permissions of one workspace.
	Effect struct {
		Workspace string      `json:"workspace"`
		Before    Permissions `json:"before"`
		After     Permissions `json:"after"`
	}

	// Preview is the outcome of a change that was not made.
	Preview struct {
		Result change.Result `json:"result"`
		// Effects lists the workspaces whose permissions would differ, sorted by
		// name.
		Effects []Effect `json:"effects"`
	}
)

// Permissions returns the permissions of the workspace.
func (c *Catalog) Permissions(name string) Permissions {
	policy, err := c.Policy(name)
	if err != nil {
		return Permissions{Reason: err.Error()}
	}
	p := Permissions{Policy: policy}
	for _, v := range c.PermittedVersions(name) {
		p.Versions = append(p.Versions, v.Ref.String())
	}
	for _, s := range policy.Services {
		if _, err := c.PermitService(name, s); err == nil {
			p.Services = append(p.Services, s)
		}
	}
	return p
}

// Preview computes the result and the effects of a change without making it.
func (d Documents) Preview(c change.Change) Preview {
	after, result := d.Apply(c, d.Revision+1)
	p := Preview{Result: result, Effects: []Effect{}}
	if result.Status != change.Accepted {
		return p
	}
	oldCatalog, newCatalog := New(d), New(after)
	names := slices.Collect(maps.Keys(after.Workspaces))
	slices.Sort(names)
	for _, name := range names {
		e := Effect{Workspace: name, Before: oldCatalog.Permissions(name), After: newCatalog.Permissions(name)}
		if !reflect.DeepEqual(e.Before, e.After) {
			p.Effects = append(p.Effects, e)
		}
	}
	return p
}
