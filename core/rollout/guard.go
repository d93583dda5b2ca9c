package rollout

import "rosereach/core/version"

// Guard holds versions at one entry, at once and without asking, when their
// attempts fail. A held version stays so until control has decided on it. It is
// not safe for concurrent use.
type Guard struct {
	versions map[version.Ref]float64
}

const (
	// usualFailures and badFailures are the shares of failed attempts of a good
	// version and of one to hold.
	usualFailures = 0.02
	badFailures   = 0.5

	// guardLimit is the mean number of attempts of a good version between two
	// wrong holds.
	guardLimit = 1e6
)

// NewGuard returns a guard that holds nothing.
func NewGuard() *Guard { return &Guard{versions: make(map[version.Ref]float64)} }

// Observe counts an attempt, and reports whether the version is to be held.
func (g *Guard) Observe(ref version.Ref, failed bool) bool {
	if g.Holds(ref) {
		return true
	}
	ratio := (1 - badFailures) / (1 - usualFailures)
	if failed {
		ratio = badFailures / usualFailures
	}
	g.versions[ref] = (g.versions[ref] + 1) * ratio
	return g.Holds(ref)
}

// Holds reports whether the entry gives the version no new work.
func (g *Guard) Holds(ref version.Ref) bool { return g.versions[ref] >= guardLimit }

// Release forgets what was seen of the version, when control decided on it.
func (g *Guard) Release(ref version.Ref) { delete(g.versions, ref) }
