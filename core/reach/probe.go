package reach

import (
	"math/rand/v2"
	"slices"
)

// maxProbes bounds the servers that are probed at once.
const maxProbes = 3

// Probes chooses at random the servers of a service to probe, other than one that failed.
func Probes(addresses []string, failed string, r *rand.Rand) []string {
	others := slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return a == failed })
	r.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(len(others), maxProbes)]
}
