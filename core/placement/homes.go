package placement

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Home returns the index of the candidate that is the home of a shared part of
// a prompt, and those that come next, at most n. All entries agree on it without
// talking, and a server that comes or goes moves only its own parts.
func Home(key uint64, ids []string, n int) []int {
	order := make([]int, len(ids))
	weights := make([]uint64, len(ids))
	for i, id := range ids {
		order[i] = i
		weights[i] = weightOf(key, id)
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(weights[b], weights[a]) })
	return order[:min(n, len(order))]
}

func weightOf(key uint64, id string) uint64 {
	d := xxhash.New()
	d.Write(binary.LittleEndian.AppendUint64(nil, key)) //nolint:errcheck // a hash takes all bytes
	d.WriteString(id)                                   //nolint:errcheck // a hash takes all bytes
	return d.Sum64()
}

// LateRisk returns the chance, 0 to 1, that an answer whose first byte is
// expected after the time misses the objective, 0 when there is none.
func LateRisk(expected, objective time.Duration) float64 {
	if objective <= 0 {
		return 0
	}
	return lateRisk(expected.Seconds(), objective.Seconds())
}

// lateRisk returns the chance, 0 to 1, that an answer whose first byte is
// expected after the given time misses the objective. Measured times spread
// around the expected ones by factors: nine of ten are below twice, so the
// chance is small up to a third of the objective and even at three quarters.
func lateRisk(expected, objective float64) float64 {
	if objective <= 0 {
		return expected
	}
	const even, spread = 0.75, 0.22
	return 1 / (1 + math.Exp(-math.Log(max(expected, 1e-3)/(even*objective))/spread))
}
