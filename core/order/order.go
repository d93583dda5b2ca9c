// Package order decides which versions the engines load and unload, against a
// weight store of limited rate.
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
	// Kind says what an engine has to do.
	Kind string

	// Engine is what is known of an engine: what it has loaded, what it loads
	// now, and how many versions fit.
	Engine struct {
		ID      string
		Zone    string
		Fits    int
		Loaded  []version.Ref
		Loading []version.Ref
	}

	// Target is how many engines of each availability zone have to serve a
	// version.
	Target struct {
		Ref     version.Ref
		PerZone int
	}

	// Order is one order to an engine. It states what is wanted, so that the
	// same order given twice does no harm.
	Order struct {
		Engine string
		Kind   Kind
		Ref    version.Ref
	}

	// plan collects orders; engines hold what will be after them. Room counts
	// the engines that were told to make room for a need.
	plan struct {
		engines []Engine
		targets []Target
		good    []version.Ref
		loads   int
		orders  []Order
		room    map[need]int
	}

	// need is a version that a zone has on fewer engines than it wants.
	need struct {
		ref         version.Ref
		zone        string
		have, wants int
	}
)

// Next returns the orders to give now. At most loads engines load at the same
// time, so that each gets its weights soon; the version that is missing in most
// zones goes first, one engine in each zone before a second one. A good version
// is never unloaded where it would leave its zone, or the fleet, without it.
func Next(engines []Engine, targets []Target, good []version.Ref, loads int) []Order {
	p := plan{targets: targets, good: good, loads: loads, room: make(map[need]int)}
	for _, e := range engines {
		e.Loaded, e.Loading = slices.Clone(e.Loaded), slices.Clone(e.Loading)
		p.engines = append(p.engines, e)
		p.loads -= len(e.Loading)
	}
	for p.loads > 0 && p.loadOne() {
		p.loads--
	}
	return p.orders
}

// loadOne orders the most urgent load, and reports whether there was one. An
// engine without room is told to unload first and gets the load next time.
func (p *plan) loadOne() bool {
	for _, n := range p.needs() {
		if e := p.place(n); e != nil {
			e.Loading = append(e.Loading, n.ref)
			p.orders = append(p.orders, Order{Engine: e.ID, Kind: Load, Ref: n.ref})
			return true
		}
	}
	return false
}

// needs returns what is missing in the zones, the zone with the fewest engines
// for its version first.
func (p *plan) needs() []need {
	var needs []need
	for _, t := range p.targets {
		for _, zone := range p.zones() {
			if have := p.count(t.Ref, zone, true); have < t.PerZone {
				needs = append(needs, need{t.Ref, zone, have, t.PerZone})
			}
		}
	}
	slices.SortStableFunc(needs, func(a, b need) int { return cmp.Compare(a.have, b.have) })
	return needs
}

// place returns an engine of the zone with room for the version, the emptiest
// first. When there is none it orders an unload to make room.
func (p *plan) place(n need) *Engine {
	var best *Engine
	for i := range p.engines {
		e := &p.engines[i]
		if e.Zone != n.zone || e.has(n.ref) || len(e.Loading) > 0 || e.used() >= e.Fits {
			continue
		}
		if best == nil || e.used() < best.used() {
			best = e
		}
	}
	if best == nil {
		p.makeRoom(n)
	}
	return best
}

// makeRoom orders one engine of the zone to unload a version that may go. The
// engine counts as busy until the next decision.
func (p *plan) makeRoom(n need) {
	if p.room[n] >= n.wants-n.have {
		return
	}
	for i := range p.engines {
		e := &p.engines[i]
		if e.Zone != n.zone || e.has(n.ref) || len(e.Loading) > 0 {
			continue
		}
		for at, old := range e.Loaded {
			if p.mayGo(old, n.zone) {
				e.Loaded = slices.Delete(e.Loaded, at, at+1)
				p.orders = append(p.orders, Order{Engine: e.ID, Kind: Unload, Ref: old})
				e.Loading = append(e.Loading, old)
				p.room[n]++
				return
			}
		}
	}
}

// mayGo reports whether the version may leave one engine of the zone: it is
// above its target there, and a good one stays on another engine of the zone.
func (p *plan) mayGo(ref version.Ref, zone string) bool {
	here := p.count(ref, zone, false)
	if here <= p.target(ref) {
		return false
	}
	return !slices.Contains(p.good, ref) || here > 1
}

func (p *plan) target(ref version.Ref) int {
	for _, t := range p.targets {
		if t.Ref == ref {
			return t.PerZone
		}
	}
	return 0
}

// count returns the engines of the zone that have the version, with those
// that load it now when these are wanted too.
func (p *plan) count(ref version.Ref, zone string, loading bool) int {
	n := 0
	for _, e := range p.engines {
		if e.Zone != zone {
			continue
		}
		if slices.Contains(e.Loaded, ref) || loading && slices.Contains(e.Loading, ref) {
			n++
		}
	}
	return n
}

func (p *plan) zones() []string {
	var zones []string
	for _, e := range p.engines {
		zones = append(zones, e.Zone)
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

func (e Engine) has(ref version.Ref) bool {
	return slices.Contains(e.Loaded, ref) || slices.Contains(e.Loading, ref)
}

func (e Engine) used() int { return len(e.Loaded) + len(e.Loading) }
