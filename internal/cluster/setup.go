package cluster

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"time"

	"github.com/juju/clock"
	"github.com/juju/errors"

	"rosereach/core/change"
	"rosereach/core/service"
	"rosereach/core/template"
	"rosereach/core/version"
	"rosereach/core/workspace"
	"rosereach/internal/load"
)

// draftingTemplate is the template of all workspaces.
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

// Customer is a workspace, the API key of its callers and the plain service that
// it may call.
type Customer struct {
	Name, Key, Service string
}

// SetUp creates the documents: a template, versions, services and workspaces. It
// returns the customers, one for each workspace.
func (c *Cluster) SetUp(ctx context.Context) ([]Customer, error) {
	if err := c.Change(ctx, change.PutTemplate, "drafting", json.RawMessage(draftingTemplate)); err != nil {
		return nil, err
	}
	versions := []version.Version{
		{Ref: Small1, Quality: 0.72, InputPrice: 100, OutputPrice: 400},
		{Ref: Small2, Quality: 0.75, InputPrice: 90, OutputPrice: 360},
		{Ref: Large1, Quality: 0.92, InputPrice: 900, OutputPrice: 3600},
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
		if err := c.Change(ctx, change.PutService, s.Name, s); err != nil {
			return nil, err
		}
	}
	return c.addCustomers(ctx)
}

// addVersion creates a version and moves it to serving.
func (c *Cluster) addVersion(ctx context.Context, v version.Version) error {
	if err := c.Change(ctx, change.PutVersion, v.Ref.String(), v); err != nil {
		return err
	}
	return c.Change(ctx, change.MoveVersion, v.Ref.String(), change.Move{Trigger: string(version.ToServe)})
}

// addCustomers creates the workspaces and adds a key to each.
func (c *Cluster) addCustomers(ctx context.Context) ([]Customer, error) {
	customers := []Customer{
		{Name: "vitrina", Key: rand.Text(), Service: "register"},
		{Name: "terminalna", Key: rand.Text(), Service: "ledger"},
	}
	for _, customer := range customers {
		w := workspace.Workspace{Name: customer.Name, Template: "drafting", Values: template.Values{
			"models":   json.RawMessage(`["small@*", "large@*"]`),
			"services": json.RawMessage(`["` + customer.Service + `"]`),
		}}
		if err := c.Change(ctx, change.PutWorkspace, w.Name, w); err != nil {
			return nil, err
		}
		if err := c.Change(ctx, change.AddKey, w.Name, change.Key{Hash: workspace.HashKey(customer.Key)}); err != nil {
			return nil, err
		}
	}
	return customers, nil
}

// Change makes a change and waits until it is in force everywhere. On an error it
// sends the change again with the same id until the context ends. A change that
// isn't accepted or not in force is an error.
func (c *Cluster) Change(ctx context.Context, kind change.Kind, name string, document any) error {
	data, err := json.Marshal(document)
	if err != nil {
		return errors.Trace(err)
	}
	ch := change.Change{ID: rand.Text(), Kind: kind, Name: name, Document: data, Actor: "cluster"}
	result, err := c.Operator.Change(ctx, ch, true)
	for err != nil && ctx.Err() == nil {
		if waitErr := sleep(ctx, resendDelay); waitErr != nil {
			break
		}
		result, err = c.Operator.Change(ctx, ch, true)
	}
	if err != nil {
		return errors.Trace(err)
	}
	if result.Status != change.Accepted || !result.InForce {
		return errors.Errorf("%s %s: %s, in force %t: %v", kind, name, result.Status, result.InForce, result.Findings)
	}
	return nil
}

// Withdraw withdraws a version, and returns the time at which the withdrawal was
// in force everywhere.
func (c *Cluster) Withdraw(ctx context.Context, ref version.Ref) (time.Time, error) {
	err := c.Change(ctx, change.MoveVersion, ref.String(), change.Move{Trigger: string(version.ToWithdraw)})
	return clock.WallClock.Now(), err
}

// Sources returns a load source for each customer in each of the two regions. The
// sources share the rate, requests a second, evenly.
func Sources(customers []Customer, rate float64) ([]load.Source, error) {
	sources := make([]load.Source, 0, len(customers))
	for _, customer := range customers {
		profile, err := load.ProfileOf(customer.Name)
		if err != nil {
			return nil, err
		}
		for _, location := range callerLocations {
			sources = append(sources, load.Source{
				Profile: profile, Key: customer.Key, Rate: rate / float64(len(customers)*len(callerLocations)), Region: location.Region, Zone: location.Zone,
			})
		}
	}
	return sources, nil
}
