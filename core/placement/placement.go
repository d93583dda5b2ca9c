// Package placement chooses the backend server for one attempt of a request.
package placement

import (
	"math/rand/v2"
	"time"

	"rosereach/core/backend"
)

type (
	// Candidate is a backend server from the view of one entry.
	Candidate struct {
		Server backend.Announcement
		// InFlight is the number of the entry's own requests on the server.
		InFlight int
		// InFlightAtReport is InFlight at the time of the server's load report.
		InFlightAtReport int
		// BacklogTokens is the number of prompt tokens sent by this entry that the
		// server has not read yet.
		BacklogTokens int64
		// CachedShare is the estimated share of the prompt in the server's cache, 0
		// to 1.
		CachedShare float64
		// HomeRank is the server's rank among the homes of the prompt's shared parts,
		// 1 for the first, 0 for none.
		HomeRank int
		// ExpectedTime corrects a predicted time by the server's observed latency; nil
		// for no correction.
		ExpectedTime func(Estimate) time.Duration
		// NetworkLatency is the one-way network latency.
		NetworkLatency time.Duration
		// SameRegion is false when requests cross the link between regions.
		SameRegion bool
		SameZone   bool
	}

	// Demand is the expected resource use of a request.
	Demand struct {
		InputTokens int64
		// UnsharedTokens is the number of input tokens that no other request shares.
		UnsharedTokens int64
		OutputTokens   int64
		Priority       int
		// Objective is the latency objective for the first byte, 0 for none.
		Objective time.Duration
		// ServiceTime is the time that a call takes once it runs.
		ServiceTime time.Duration
		// Bytes is the length of the request.
		Bytes int64
	}

	// Policy picks the backend server for a request.
	Policy interface {
		// Name returns the policy's name in settings and reports.
		Name() string
		// Pick returns the index of the chosen candidate, or -1 when none should
		// get the request. Candidates are ordered by id and not empty.
		Pick(now time.Time, d Demand, candidates []Candidate, random *rand.Rand) int
	}

	// LeastInFlight picks the candidate with the fewest of the entry's own
	// requests per unit of capacity. Ties are broken at random.
	LeastInFlight struct{}

	// RoundRobin picks each candidate in turn.
	RoundRobin struct{ last int }

	// Random picks candidates with equal probability.
	Random struct{}
)

// Name returns the policy's name.
func (LeastInFlight) Name() string { return "least_in_flight" }

// Pick returns the index of the candidate with the lowest utilization.
func (LeastInFlight) Pick(_ time.Time, _ Demand, candidates []Candidate, random *rand.Rand) int {
	best, ties := -1, 0
	for i, c := range candidates {
		switch {
		case best < 0 || c.utilization() < candidates[best].utilization():
			best, ties = i, 1
		case c.utilization() == candidates[best].utilization():
			ties++
			if random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// Name returns the policy's name.
func (*RoundRobin) Name() string { return "round_robin" }

// Pick returns the index after that of the previous pick.
func (p *RoundRobin) Pick(_ time.Time, _ Demand, candidates []Candidate, _ *rand.Rand) int {
	p.last++
	return p.last % len(candidates)
}

// Name returns the policy's name.
func (Random) Name() string { return "uniform_random" }

// Pick returns a random index.
func (Random) Pick(_ time.Time, _ Demand, candidates []Candidate, random *rand.Rand) int {
	return random.IntN(len(candidates))
}

// UncachedTokens returns the number of prompt tokens that are not in the server's cache.
func (c Candidate) UncachedTokens(d Demand) int64 {
	return int64((1 - c.CachedShare) * float64(d.InputTokens))
}

// utilization returns the entry's own requests per unit of the server's capacity.
func (c Candidate) utilization() float64 { return float64(c.InFlight) / float64(c.capacity()) }

func (c Candidate) capacity() int { return max(c.Server.Capacity, 1) }
