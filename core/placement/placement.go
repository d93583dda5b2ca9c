// Package placement chooses the backend server for one attempt of a request.
package placement

import (
	"math/rand/v2"
	"time"

	"rosereach/core/backend"
)

type (
	// Candidate is a backend server as one entry sees it. InFlight counts the
	// entry's own requests on it, and InFlightAtReport those that it had there
	// when the server's load report was measured. Backlog is the entry's own
	// prompt tokens that the server has still to read. Prefix is the share of
	// the prompt that its cache is thought to hold, 0 to 1. Home is its rank
	// among the homes of the prompt's shared parts, 1 for the first, 0 for none.
	// Expect corrects a predicted time by what the server showed, nil for not at
	// all. Distance is the time one way; SameRegion is false when the link
	// between regions lies between.
	Candidate struct {
		Server           backend.Announcement
		InFlight         int
		InFlightAtReport int
		Backlog          int64
		Prefix           float64
		Home             int
		Expect           func(Estimate) time.Duration
		Distance         time.Duration
		SameRegion       bool
		SameZone         bool
	}

	// Demand is what a request asks of a backend server. Own are the input
	// tokens that no other request shares. Objective is the time to the first
	// byte, Service what a call takes once it runs, Bytes the length of the
	// request.
	Demand struct {
		InputTokens  int64
		Own          int64
		OutputTokens int64
		Priority     int
		Objective    time.Duration
		Service      time.Duration
		Bytes        int64
	}

	// Policy picks one of the candidates; it returns its index, or -1 when none
	// should get the request. Candidates are ordered by id and not empty.
	Policy interface {
		Name() string
		Pick(now time.Time, d Demand, candidates []Candidate, random *rand.Rand) int
	}

	// LeastInFlight picks the candidate with the fewest of the entry's own
	// requests per unit of capacity, ties broken at random.
	LeastInFlight struct{}

	// RoundRobin picks the candidates in turn.
	RoundRobin struct{ last int }

	// Random picks each candidate with the same chance.
	Random struct{}
)

// Name returns the policy's name.
func (LeastInFlight) Name() string { return "least_in_flight" }

// Pick returns the index of the least used candidate.
func (LeastInFlight) Pick(_ time.Time, _ Demand, candidates []Candidate, random *rand.Rand) int {
	best, ties := -1, 0
	for i, c := range candidates {
		switch {
		case best < 0 || c.use() < candidates[best].use():
			best, ties = i, 1
		case c.use() == candidates[best].use():
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

// Pick returns the index after the last one.
func (p *RoundRobin) Pick(_ time.Time, _ Demand, candidates []Candidate, _ *rand.Rand) int {
	p.last++
	return p.last % len(candidates)
}

// Name returns the policy's name.
func (Random) Name() string { return "uniform_random" }

// Pick returns any index.
func (Random) Pick(_ time.Time, _ Demand, candidates []Candidate, random *rand.Rand) int {
	return random.IntN(len(candidates))
}

// Missing returns the tokens of the prompt that the server has to read.
func (c Candidate) Missing(d Demand) int64 { return int64((1 - c.Prefix) * float64(d.InputTokens)) }

func (c Candidate) use() float64 { return float64(c.InFlight) / float64(c.capacity()) }

func (c Candidate) capacity() int { return max(c.Server.Capacity, 1) }
