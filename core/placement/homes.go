package placement

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// RankHomes ranks servers for a shared part of a prompt by weighted rendezvous hashing
// and returns the indices of the best n, the part's home first. All entries compute
// the same homes without communication, and a server that is added or removed, or
// whose weight changes, moves only its own parts. A server is the home of parts in
// proportion to its weight, 1 for an average server.
func RankHomes(key uint64, ids []string, weights []float64, n int) []int {
	order := make([]int, len(ids))
	scores := make([]float64, len(ids))
	for i, id := range ids {
		order[i] = i
		// A hash of 2^64-1 must not count as 1, whose logarithm is 0.
		drawn := (float64(homeHash(key, id)>>11) + 0.5) / (1 << 53)
		scores[i] = -weights[i] / math.Log(drawn)
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(scores[b], scores[a]) })
	return order[:min(n, len(order))]
}

// homeHash returns the rendezvous hash of a prompt part and a server.
func homeHash(key uint64, id string) uint64 {
	d := xxhash.New()
	d.Write(binary.LittleEndian.AppendUint64(nil, key)) //nolint:errcheck // a hash takes all bytes
	d.WriteString(id)                                   //nolint:errcheck // a hash takes all bytes
	return d.Sum64()
}

// LateRisk returns the probability, 0 to 1, that an answer misses the objective
// for its first byte, given the expected time to it. It is 0 without an objective.
func LateRisk(expected, objective time.Duration) float64 {
	if objective <= 0 {
		return 0
	}
	return lateRisk(expected.Seconds(), objective.Seconds())
}

// lateRisk is LateRisk in seconds. Actual times scatter around the expected ones by
// a factor, and nine of ten are below twice the expected time. The probability is
// therefore modeled as logistic in the logarithm of the time: small up to a third
// of the objective, and one half at three quarters of it. Without an objective it
// returns the expected time; LateRisk does not call it then.
func lateRisk(expected, objective float64) float64 {
	if objective <= 0 {
		return expected
	}
	const half, spread = 0.75, 0.22
	return 1 / (1 + math.Exp(-math.Log(max(expected, 1e-3)/(half*objective))/spread))
}
