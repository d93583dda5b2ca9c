package route

import (
	"math/rand/v2"
	"slices"
	"strings"

	"rosereach/core/key"
	"rosereach/core/residency"
)

// Table indexes a routing plan for lookups. It is immutable.
type Table struct {
	config Config
	// routesByHost maps a host to its routes, the longest prefix first.
	routesByHost map[string][]Route
	services     map[string]Service
	// workspacesByKey maps a key's hash to its workspace.
	workspacesByKey map[string]Workspace
	// hasHomes is set if a route or a workspace has home regions.
	hasHomes bool
}

// NewTable returns the table of a valid plan.
func NewTable(c Config) *Table {
	t := &Table{
		config: c, routesByHost: make(map[string][]Route), services: make(map[string]Service), workspacesByKey: make(map[string]Workspace),
	}
	for _, r := range c.Routes {
		t.routesByHost[r.Host] = append(t.routesByHost[r.Host], r)
		t.hasHomes = t.hasHomes || len(r.Regions) > 0
	}
	for _, routes := range t.routesByHost {
		slices.SortStableFunc(routes, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, s := range c.Services {
		t.services[s.Name] = s
	}
	for _, w := range c.Workspaces {
		t.hasHomes = t.hasHomes || len(w.Regions) > 0
		for _, hash := range w.KeyHashes {
			t.workspacesByKey[hash] = w
		}
	}
	return t
}

// Version returns the version of the plan, or 0 when it has none.
func (t *Table) Version() uint64 { return t.config.Version }

// Limits returns the limits on callers' requests.
func (t *Table) Limits() Limits { return t.config.Limits }

// Match returns the route of the host with the longest prefix of the path.
func (t *Table) Match(host, path string) (Route, bool) {
	for _, r := range t.routesByHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// NeedsKey reports whether requests of the route must carry a key. A plan without
// workspaces needs none.
func (t *Table) NeedsKey(r Route) bool { return len(t.config.Workspaces) > 0 && !r.Public }

// WorkspaceByKey returns the workspace that the caller's key belongs to.
func (t *Table) WorkspaceByKey(callerKey string) (Workspace, bool) {
	if callerKey == "" {
		return Workspace{}, false
	}
	w, ok := t.workspacesByKey[key.Hash(callerKey)]
	return w, ok
}

// KeyChanges returns the number of keys that were added and removed since the
// previous plan. A key that moved to another workspace counts as both. A nil
// table has no keys.
func (t *Table) KeyChanges(previous *Table) (added, removed int) {
	return t.countKeysNotIn(previous), previous.countKeysNotIn(t)
}

// countKeysNotIn returns the number of keys that do not belong to the same workspace
// in the other plan.
func (t *Table) countKeysNotIn(other *Table) int {
	if t == nil {
		return 0
	}
	n := 0
	for hash, w := range t.workspacesByKey {
		if other == nil || other.workspacesByKey[hash].Name != w.Name {
			n++
		}
	}
	return n
}

// Service returns a service of the plan.
func (t *Table) Service(name string) (Service, bool) {
	if t == nil {
		return Service{}, false
	}
	s, ok := t.services[name]
	return s, ok
}

// Homes returns the home regions of a workspace's requests on the route. Public
// routes have the zero workspace.
func Homes(r Route, w Workspace) residency.Homes {
	return residency.Of(r.Regions).And(residency.Of(w.Regions))
}

// HasHomes reports whether a route or a workspace has home regions.
func (t *Table) HasHomes() bool { return t != nil && t.hasHomes }

// HostHomes returns the regions that are homes of all routes of a host. A caller looks up
// addresses by the host alone.
func (t *Table) HostHomes(host string) residency.Homes {
	var homes residency.Homes
	if t == nil {
		return homes
	}
	for _, r := range t.routesByHost[host] {
		homes = homes.And(residency.Of(r.Regions))
	}
	return homes
}

// NamedHomes returns the home regions of the routes and workspaces that have any, as "route
// NAME" and "workspace NAME".
func (t *Table) NamedHomes() map[string][]string {
	if !t.HasHomes() {
		return nil
	}
	homes := make(map[string][]string)
	for _, r := range t.config.Routes {
		if len(r.Regions) > 0 {
			homes["route "+r.Name] = r.Regions
		}
	}
	for _, w := range t.config.Workspaces {
		if len(w.Regions) > 0 {
			homes["workspace "+w.Name] = w.Regions
		}
	}
	return homes
}

// WarmupRate returns the number of requests a second that servers of a service bear while
// they warm up, 0 for any.
func (t *Table) WarmupRate(service string) float64 {
	s, _ := t.Service(service)
	return s.WarmupRate
}

// Pick selects one of the route's services at random by weight. It returns an
// empty name when no weight is above 0.
func (r Route) Pick(random *rand.Rand) string {
	totalWeight := 0
	for _, t := range r.Targets {
		totalWeight += t.Weight
	}
	if totalWeight <= 0 {
		return ""
	}
	offset := random.IntN(totalWeight)
	for _, t := range r.Targets {
		if offset < t.Weight {
			return t.Service
		}
		offset -= t.Weight
	}
	return ""
}
