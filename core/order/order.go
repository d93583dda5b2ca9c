// Package order plans which versions the engines load and unload. It limits
// concurrent loads, because the weight store has a limited rate.
package order

import (
	"cmp"
	"slices"

	"rosereach/core/version"
)

// The kinds of order.
const (
	Load   Kind = "load"
	Unload Kind = "unload"
)

type (
	// Kind is the operation that an engine has to carry out.
	Kind string

	// Engine is the observed state of an engine.
	Engine struct {
		ID   string
		Zone string
		// Capacity is the number of versions that the engine can hold.
		Capacity int
		// Loaded and Loading are the versions that the engine has loaded and is
		// loading.
		Loaded  []version.Ref
		Loading []version.Ref
	}

	// Target is the required number of engines with a version in each
	// availability zone.
	Target struct {
		Ref     version.Ref
		PerZone int
	}

	// Order is one order to an engine. It states the desired result, so that
	// orders are idempotent.
	Order struct {
		Engine string
		Kind   Kind
		Ref    version.Ref
	}

	// planner collects the orders of one call of Next.
	planner struct {
		// engines is the expected state after the orders.
		engines  []Engine
		targets  []Target
		lastGood []version.Ref
		// freeLoads is the number of further loads that may run concurrently.
		freeLoads int
		orders    []Order
		// pendingUnloads counts the engines that were ordered to unload a version, by the
		// shortfall that they make room for.
		pendingUnloads map[shortfall]int
	}

	// shortfall is a version that too few engines of a zone have.
	shortfall struct {
		ref  version.Ref
		zone string
		// have and want are the current and the target number of engines.
		have, want int
	}
)

// Next returns the orders to send now. At most maxLoads engines load at the same
// time, so that each load completes soon. The zone with the fewest engines for a
// version is served first: one engine in each zone before a second one. A version
// in lastGood is never unloaded from the last engine of a zone that has it, so
// neither the zone nor the fleet is left without it.
func Next(engines []Engine, targets []Target, lastGood []version.Ref, maxLoads int) []Order {
	p := planner{targets: targets, lastGood: lastGood, freeLoads: maxLoads, pendingUnloads: make(map[shortfall]int)}
	for _, e := range engines {
		e.Loaded, e.Loading = slices.Clone(e.Loaded), slices.Clone(e.Loading)
		p.engines = append(p.engines, e)
		p.freeLoads -= len(e.Loading)
	}
	for p.freeLoads > 0 && p.orderLoad() {
		p.freeLoads--
	}
	return p.orders
}

// orderLoad orders the most urgent load that is possible, and reports whether there
// was one. When no engine has room, one is ordered to unload a version; it gets
// the load in a later call of Next.
func (p *planner) orderLoad() bool {
	for _, s := range p.shortfalls() {
		if e := p.pickEngine(s); e != nil {
			e.Loading = append(e.Loading, s.ref)
			p.orders = append(p.orders, Order{Engine: e.ID, Kind: Load, Ref: s.ref})
			return true
		}
	}
	return false
}

// shortfalls returns the shortfalls of all zones, sorted by the number of engines that
// have the version, fewest first.
func (p *planner) shortfalls() []shortfall {
	var list []shortfall
	for _, t := range p.targets {
		for _, zone := range p.zones() {
			if have := p.countEngines(t.Ref, zone, true); have < t.PerZone {
				list = append(list, shortfall{t.Ref, zone, have, t.PerZone})
			}
		}
	}
	slices.SortStableFunc(list, func(a, b shortfall) int { return cmp.Compare(a.have, b.have) })
	return list
}

// pickEngine returns the engine of the zone that has room for the version and holds
// the fewest versions. When there is none, it orders an unload to make room and
// returns nil.
func (p *planner) pickEngine(s shortfall) *Engine {
	var best *Engine
	for i := range p.engines {
		e := &p.engines[i]
		if e.Zone != s.zone || e.hasOrLoads(s.ref) || len(e.Loading) > 0 || e.versionCount() >= e.Capacity {
			continue
		}
		if best == nil || e.versionCount() < best.versionCount() {
			best = e
		}
	}
	if best == nil {
		p.orderUnload(s)
	}
	return best
}

// orderUnload makes room for the shortfall's version: it orders one engine of the
// zone to unload another version, one for which mayUnload returns true. It does
// nothing if enough unloads for this shortfall are pending. The engine counts as
// busy until the next call of Next.
func (p *planner) orderUnload(s shortfall) {
	if p.pendingUnloads[s] >= s.want-s.have {
		return
	}
	for i := range p.engines {
		e := &p.engines[i]
		if e.Zone != s.zone || e.hasOrLoads(s.ref) || len(e.Loading) > 0 {
			continue
		}
		for i, loaded := range e.Loaded {
			if p.mayUnload(loaded, s.zone) {
				e.Loaded = slices.Delete(e.Loaded, i, i+1)
				p.orders = append(p.orders, Order{Engine: e.ID, Kind: Unload, Ref: loaded})
				e.Loading = append(e.Loading, loaded)
				p.pendingUnloads[s]++
				return
			}
		}
	}
}

// mayUnload reports whether one engine of the zone may unload the version: the zone
// has more engines with it than the target, and a last good version stays loaded
// on another engine of the zone.
func (p *planner) mayUnload(ref version.Ref, zone string) bool {
	count := p.countEngines(ref, zone, false)
	if count <= p.targetCount(ref) {
		return false
	}
	return !slices.Contains(p.lastGood, ref) || count > 1
}

// targetCount returns the number of engines of each zone that have to serve the
// version.
func (p *planner) targetCount(ref version.Ref) int {
	for _, t := range p.targets {
		if t.Ref == ref {
			return t.PerZone
		}
	}
	return 0
}

// countEngines returns the number of engines of the zone that have the version loaded.
// With includeLoading it also counts those that are loading it.
func (p *planner) countEngines(ref version.Ref, zone string, includeLoading bool) int {
	n := 0
	for _, e := range p.engines {
		if e.Zone != zone {
			continue
		}
		if slices.Contains(e.Loaded, ref) || includeLoading && slices.Contains(e.Loading, ref) {
			n++
		}
	}
	return n
}

func (p *planner) zones() []string {
	var zones []string
	for _, e := range p.engines {
		zones = append(zones, e.Zone)
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

func (e Engine) hasOrLoads(ref version.Ref) bool {
	return slices.Contains(e.Loaded, ref) || slices.Contains(e.Loading, ref)
}

func (e Engine) versionCount() int { return len(e.Loaded) + len(e.Loading) }
