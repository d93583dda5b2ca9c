package catalog

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"rosereach/core/change"
	"rosereach/core/rollout"
	"rosereach/core/route"
	"rosereach/core/shape"
)

// RoutingName is the name under which changes refer to the routing plan. There is
// only one plan.
const RoutingName = "plan"

// routingSummary describes a routing plan in the audit trail. It has a hash of the
// plan's text instead of the text itself, which contains the hashes of callers'
// keys.
type routingSummary struct {
	Version uint64 `json:"version"`
	// SHA256 is the SHA-256 of the plan's text, in hexadecimal digits.
	SHA256 string `json:"sha256"`
	// Routes and Services are the numbers of routes and services in the plan.
	Routes   int `json:"routes"`
	Services int `json:"services"`
}

// putRouting replaces the routing plan. A plan is acknowledged without a change
// unless its version is higher than that of the plan in force.
func (d *Documents) putRouting(c change.Change, accepted change.Result) change.Result {
	var next route.Document
	if err := json.Unmarshal(c.Document, &next); err != nil {
		return change.RefuseFor("", err.Error(), "a routing plan")
	}
	if found := next.Config.Check(); len(found) > 0 {
		return change.Refuse(found)
	}
	if d.Routing != nil && next.Config.Version <= d.Routing.Config.Version {
		accepted.Revision = d.Routing.Revision
		return accepted
	}
	next.Revision = accepted.Revision
	d.Routing = &next
	return accepted
}

// putRollout starts a roll-out. A repeated order is acknowledged without a
// change.
func (d *Documents) putRollout(c change.Change, accepted change.Result) change.Result {
	next, found := shape.Decode[rollout.Order](c.Document)
	if len(found) > 0 {
		return change.Refuse(found)
	}
	if next.Service != c.Name {
		return change.RefuseFor("service", "differs from the change's name", c.Name)
	}
	if found := next.Check(); len(found) > 0 {
		return change.Refuse(found)
	}
	next.Ordered = c.At
	next.Share, next.RouteShares, next.RolledBack = 0, nil, nil
	if old, ok := d.Rollouts[c.Name]; ok {
		if old.IsSameOrder(next) {
			accepted.Revision = old.Revision
			return accepted
		}
		if _, enabled := d.Features[change.MeasuredRollouts]; enabled {
			next.RolledBack = old.NotCompleted(next.Target)
		}
	}
	next.Stage, next.Revision = rollout.StageOrdered, accepted.Revision
	d.Rollouts[c.Name] = next
	return accepted
}

// moveRollout moves a roll-out to a later stage. The change has to expect the
// revision that the leader's decision is based on, so that a delayed decision
// does not move a newer roll-out.
func (d *Documents) moveRollout(c change.Change, accepted change.Result) change.Result {
	move, found := shape.Decode[rollout.Move](c.Document)
	if len(found) > 0 {
		return change.Refuse(found)
	}
	o, ok := d.Rollouts[c.Name]
	if !ok {
		return change.RefuseFor("name", "no roll-out of "+c.Name, "the name of a service with a roll-out")
	}
	if !o.MayMove(move.Stage) {
		return change.RefuseFor("stage", "cannot move from "+string(o.Stage)+" to "+string(move.Stage), "a later stage")
	}
	o.Stage, o.Reason, o.Share, o.RouteShares, o.Revision = move.Stage, move.Reason, move.Share, move.RouteShares, accepted.Revision
	d.Rollouts[c.Name] = o
	return accepted
}

// summarizeRouting returns the audit record of the routing plan, zero when there is
// none.
func (d Documents) summarizeRouting() routingSummary {
	if d.Routing == nil {
		return routingSummary{}
	}
	sum := sha256.Sum256(d.Routing.Text)
	c := d.Routing.Config
	return routingSummary{
		Version: c.Version, SHA256: hex.EncodeToString(sum[:]), Routes: len(c.Routes), Services: len(c.Services),
	}
}
