package catalog

import (
	"slices"
	"time"

	"rosereach/core/change"
	"rosereach/core/evacuation"
	"rosereach/core/shape"
)

// WarmupAfter returns how long a server counts as cold once the evacuation of its zone has
// ended: it may have lost its caches meanwhile, and the announcement that says so may be a
// second old. It is 0 unless the zone was among the evacuated ones and is not any more.
func (c *Catalog) WarmupAfter(evacuatedBefore []string, service, zone string) time.Duration {
	if c.IsEvacuated(zone) || !slices.Contains(evacuatedBefore, zone) {
		return 0
	}
	s, _ := c.Routes().Service(service)
	return s.WarmupTime
}

// putEvacuation begins or ends the evacuation of an availability zone. An order that was
// overtaken by another one is a conflict, so that its sender asks again.
func (d *Documents) putEvacuation(c change.Change, accepted change.Result) change.Result {
	next, found := shape.Decode[evacuation.Order](c.Document)
	if len(found) > 0 {
		return change.Refuse(found)
	}
	if next.Zone != c.Name || next.Zone == "" {
		return change.RefuseFor("zone", "differs from the change's name or is missing", c.Name)
	}
	current := d.Evacuations[c.Name]
	switch next.Judge(current) {
	case evacuation.Repeat:
		accepted.Revision = current.Revision
		return accepted
	case evacuation.Overtaken:
		return change.Result{Status: change.Conflict, Revision: current.Revision}
	}
	next.At, next.Revision = c.At, accepted.Revision
	d.Evacuations[c.Name] = next
	return accepted
}
