package demo

import (
	"context"
	"crypto/rand"
	"encoding/json"

	"github.com/juju/errors"

	"rosereach/core/change"
	"rosereach/core/service"
	"rosereach/core/template"
	"rosereach/core/version"
	"rosereach/core/workspace"
)

// draftingTemplate is the template of the demo's workspaces.
const draftingTemplate = `{
  "name": "drafting",
  "parameters": [
    {"name": "models", "type": "list", "allowed": ["small@*", "large@*"], "default": ["small@*"]},
    {"name": "services", "type": "list", "default": []},
    {"name": "quality_target", "type": "number", "min": 0, "max": 1, "default": 0.7}
  ],
  "policy": {
    "allow": {"parameter": "models"},
    "services": {"parameter": "services"},
    "quality_target": {"parameter": "quality_target"},
    "priorities": {"cost": 1, "latency": 1, "exposure": 1},
    "weight": 1,
    "retention_days": 30
  }
}`

// customer is a workspace of the demo and the key of its callers.
type customer struct {
	name, key, service, method string
}

// setUp writes the documents: a template, versions, services and workspaces.
func setUp(ctx context.Context, c *cluster) ([]customer, error) {
	if err := c.change(ctx, change.PutTemplate, "drafting", json.RawMessage(draftingTemplate)); err != nil {
		return nil, err
	}
	versions := []version.Version{
		{Ref: small1, Quality: 0.72, InputPrice: 100, OutputPrice: 400},
		{Ref: small2, Quality: 0.75, InputPrice: 90, OutputPrice: 360},
		{Ref: large1, Quality: 0.92, InputPrice: 900, OutputPrice: 3600},
	}
	for _, v := range versions {
		if err := c.addVersion(ctx, v); err != nil {
			return nil, err
		}
	}
	services := []service.Service{
		{Name: "register", Unrepeatable: []string{"DELETE", "PUT"}},
		{Name: "ledger"},
	}
	for _, s := range services {
		if err := c.change(ctx, change.PutService, s.Name, s); err != nil {
			return nil, err
		}
	}
	return c.addCustomers(ctx)
}

func (c *cluster) addVersion(ctx context.Context, v version.Version) error {
	if err := c.change(ctx, change.PutVersion, v.Ref.String(), v); err != nil {
		return err
	}
	return c.change(ctx, change.MoveVersion, v.Ref.String(), change.Move{Trigger: string(version.ToServe)})
}

func (c *cluster) addCustomers(ctx context.Context) ([]customer, error) {
	customers := []customer{
		{name: "vitrina", key: rand.Text(), service: "register", method: "DELETE"},
		{name: "terminalna", key: rand.Text(), service: "ledger", method: "POST"},
	}
	for _, cu := range customers {
		w := workspace.Workspace{Name: cu.name, Template: "drafting", Values: template.Values{
			"models":   json.RawMessage(`["small@*", "large@*"]`),
			"services": json.RawMessage(`["` + cu.service + `"]`),
		}}
		if err := c.change(ctx, change.PutWorkspace, w.Name, w); err != nil {
			return nil, err
		}
		if err := c.change(ctx, change.AddKey, w.Name, change.Key{Hash: workspace.HashKey(cu.key)}); err != nil {
			return nil, err
		}
	}
	return customers, nil
}

// change makes a change and waits until it is in force everywhere.
func (c *cluster) change(ctx context.Context, kind change.Kind, name string, document any) error {
	data, err := json.Marshal(document)
	if err != nil {
		return errors.Trace(err)
	}
	ch := change.Change{ID: rand.Text(), Kind: kind, Name: name, Document: data, Actor: "demo"}
	answer, err := c.operator.Change(ctx, ch, true)
	if err != nil {
		return errors.Trace(err)
	}
	if answer.Status != change.Accepted || !answer.InForce {
		return errors.Errorf("%s %s: %s, in force %t: %v", kind, name, answer.Status, answer.InForce, answer.Findings)
	}
	return nil
}
