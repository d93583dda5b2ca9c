package cascade

import (
	"math/rand/v2"
	"time"

	"rosereach/core/version"
)

type (
	// Cheapest always takes the permitted version with the lowest price whose
	// declared quality meets the target, or that of the highest quality when none
	// does.
	Cheapest struct{}

	// Strongest always takes the permitted version of the highest declared
	// quality.
	Strongest struct{}

	// LowestPrice always takes the permitted version of the lowest price.
	LowestPrice struct{}

	// Uniform takes permitted versions with equal probability.
	Uniform struct{}
)

// Name returns the policy's name.
func (Cheapest) Name() string { return "cheapest_declared" }

// Observe does nothing: the policy uses the declared quality only.
func (Cheapest) Observe(Observation) {}

// Choose returns a plan of one step.
func (Cheapest) Choose(_ time.Time, d Demand, _ *rand.Rand) (Plan, bool) {
	if len(d.Permitted) == 0 {
		return Plan{}, false
	}
	best := d.Permitted[0]
	for _, v := range d.Permitted[1:] {
		if isBetter(v, best, d.Policy.QualityTarget) {
			best = v
		}
	}
	return Plan{Steps: []version.Ref{best.Ref}, Reason: "lowest declared price at the quality target"}, true
}

// isBetter reports whether a is preferred to b at the quality target.
func isBetter(a, b version.Version, target float64) bool {
	aMeets, bMeets := a.Quality >= target, b.Quality >= target
	if aMeets != bMeets {
		return aMeets
	}
	if !aMeets {
		return a.Quality > b.Quality
	}
	return a.OutputPrice < b.OutputPrice
}

// Name returns the policy's name.
func (Strongest) Name() string { return "always_strongest" }

// Observe does nothing.
func (Strongest) Observe(Observation) {}

// Choose returns a plan of one step.
func (Strongest) Choose(_ time.Time, d Demand, _ *rand.Rand) (Plan, bool) {
	return pickBest(d, "highest declared quality", func(a, b version.Version) bool { return a.Quality > b.Quality })
}

// Name returns the policy's name.
func (LowestPrice) Name() string { return "always_cheapest" }

// Observe does nothing.
func (LowestPrice) Observe(Observation) {}

// Choose returns a plan of one step.
func (LowestPrice) Choose(_ time.Time, d Demand, _ *rand.Rand) (Plan, bool) {
	return pickBest(d, "lowest price", func(a, b version.Version) bool { return a.OutputPrice < b.OutputPrice })
}

// Name returns the policy's name.
func (Uniform) Name() string { return "uniform_random" }

// Observe does nothing.
func (Uniform) Observe(Observation) {}

// Choose returns a plan of one step.
func (Uniform) Choose(_ time.Time, d Demand, random *rand.Rand) (Plan, bool) {
	if len(d.Permitted) == 0 {
		return Plan{}, false
	}
	v := d.Permitted[random.IntN(len(d.Permitted))]
	return Plan{Steps: []version.Ref{v.Ref}, Reason: "drawn at random"}, true
}

// pickBest returns a plan of one step with the best permitted version.
func pickBest(d Demand, reason string, better func(a, b version.Version) bool) (Plan, bool) {
	if len(d.Permitted) == 0 {
		return Plan{}, false
	}
	best := d.Permitted[0]
	for _, v := range d.Permitted[1:] {
		if better(v, best) {
			best = v
		}
	}
	return Plan{Steps: []version.Ref{best.Ref}, Reason: reason}, true
}
