package rollout

import "rosereach/core/version"

// Guard detects failing versions at one entry by a sequential test and holds them
// at once, without waiting for a decision by control. A version stays held until
// control has decided on it. It is not safe for concurrent use.
type Guard struct {
	versions map[version.Ref]float64
}

const (
	// goodFailureRate and badFailureRate are the failure rates of a good version and
	// of one to hold.
	goodFailureRate = 0.02
	badFailureRate  = 0.5

	// guardLimit is a lower bound of the average number of attempts of a good
	// version between two wrong holds.
	guardLimit = 1e6
)

// NewGuard returns a guard that holds no version.
func NewGuard() *Guard { return &Guard{versions: make(map[version.Ref]float64)} }

// Observe records an attempt and reports whether the version is held.
func (g *Guard) Observe(ref version.Ref, failed bool) bool {
	if g.Holds(ref) {
		return true
	}
	ratio := (1 - badFailureRate) / (1 - goodFailureRate)
	if failed {
		ratio = badFailureRate / goodFailureRate
	}
	g.versions[ref] = (g.versions[ref] + 1) * ratio
	return g.Holds(ref)
}

// Holds reports whether the version is held, so that the entry sends it no new
// requests.
func (g *Guard) Holds(ref version.Ref) bool { return g.versions[ref] >= guardLimit }

// Release resets the version, after control has decided on it.
func (g *Guard) Release(ref version.Ref) { delete(g.versions, ref) }
