package route

import (
	"math/rand/v2"
	"slices"
	"strings"

	"rosereach/core/key"
)

// Table answers questions about one plan. It is immutable.
type Table struct {
	config   Config
	hosts    map[string][]Route
	services map[string]Service
	owners   map[string]Workspace
}

// NewTable returns the table of a valid plan.
func NewTable(c Config) *Table {
	t := &Table{
		config: c, hosts: make(map[string][]Route), services: make(map[string]Service), owners: make(map[string]Workspace),
	}
	for _, r := range c.Routes {
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, s := range c.Services {
		t.services[s.Name] = s
	}
	for _, w := range c.Workspaces {
		for _, hash := range w.KeyHashes {
			t.owners[hash] = w
		}
	}
	return t
}

// Version returns the plan's version, 0 when there is none.
func (t *Table) Version() uint64 { return t.config.Version }

// Limits returns the bounds on what callers send.
func (t *Table) Limits() Limits { return t.config.Limits }

// Match returns the route with the longest prefix that begins the path.
func (t *Table) Match(host, path string) (Route, bool) {
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// NeedsKey reports whether requests of the route carry a key.
func (t *Table) NeedsKey(r Route) bool { return len(t.config.Workspaces) > 0 && !r.Public }

// Owner returns the workspace that a key belongs to.
func (t *Table) Owner(text string) (Workspace, bool) {
	if text == "" {
		return Workspace{}, false
	}
	w, ok := t.owners[key.Hash(text)]
	return w, ok
}

// KeyChanges returns how many keys the plan has that the one before had not,
// and how many it no longer has. A key that went to another workspace counts as
// both. A plan of nil has none.
func (t *Table) KeyChanges(before *Table) (added, removed int) {
	return t.keysBeyond(before), before.keysBeyond(t)
}

func (t *Table) keysBeyond(other *Table) int {
	if t == nil {
		return 0
	}
	n := 0
	for hash, w := range t.owners {
		if other == nil || other.owners[hash].Name != w.Name {
			n++
		}
	}
	return n
}

// Service returns a service of the plan.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Pick draws one of the route's services by weight.
func (r Route) Pick(random *rand.Rand) string {
	sum := 0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	if sum <= 0 {
		return ""
	}
	at := random.IntN(sum)
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Service
		}
		at -= t.Weight
	}
	return ""
}
