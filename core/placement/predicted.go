package placement

import (
	"math"
	"math/rand/v2"
	"time"
)

type (
	// Costs is the cost model from which finish times are predicted.
	Costs struct {
		// PrefillPerToken is the time to read one prompt token.
		PrefillPerToken time.Duration
		// StepTime is the base time of a decoding step, and StepPerSequence what
		// each running request adds to it.
		StepTime        time.Duration
		StepPerSequence time.Duration
		// LinkPerKTokens is the penalty for 1,000 tokens sent over the link between
		// regions.
		LinkPerKTokens time.Duration
		// DecodeWeight is the weight of the time after the first token. The time to
		// the first token has weight 1.
		DecodeWeight float64
		// LoadDecayTime is the time constant with which a load report loses weight.
		LoadDecayTime time.Duration
	}

	// Predicted picks the candidate with the earliest predicted finish among
	// RandomChoices random ones and the one with the most of the prompt in its
	// cache.
	// Random choices keep entries with the same outdated load reports from all
	// picking the same server.
	Predicted struct {
		Costs         Costs
		RandomChoices int
	}
)

// DefaultCosts returns the costs for engines without measurements.
func DefaultCosts() Costs {
	return Costs{
		PrefillPerToken: 100 * time.Microsecond, StepTime: 12 * time.Millisecond, StepPerSequence: 300 * time.Microsecond,
		LinkPerKTokens: 5 * time.Millisecond, DecodeWeight: 0.5, LoadDecayTime: 2 * time.Second,
	}
}

// NewPredicted returns the policy with default costs and two random choices.
func NewPredicted() Predicted { return Predicted{Costs: DefaultCosts(), RandomChoices: 2} }

// Name returns the policy's name.
func (Predicted) Name() string { return "predicted_finish" }

// Pick returns the index of the candidate with the earliest predicted finish.
func (p Predicted) Pick(now time.Time, d Demand, candidates []Candidate, random *rand.Rand) int {
	others := p.meanOthers(candidates)
	best := mostCached(candidates)
	bestScore := math.Inf(1)
	if best >= 0 {
		bestScore = p.score(now, d, candidates[best], others)
	}
	for range p.RandomChoices {
		i := random.IntN(len(candidates))
		if s := p.score(now, d, candidates[i], others); s < bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

// score returns the predicted time in seconds until the request finishes at the
// candidate, with the time after the first token weighted by Costs.DecodeWeight.
func (p Predicted) score(now time.Time, d Demand, c Candidate, meanOthers float64) float64 {
	occupied := float64(c.InFlight) + p.others(now, c, meanOthers)
	capacity := float64(max(c.Server.Capacity, 1))
	interval := p.Costs.StepTime.Seconds() + min(occupied, capacity)*p.Costs.StepPerSequence.Seconds()
	decode := float64(d.OutputTokens) * interval
	own := (1 - c.CachedShare) * float64(d.InputTokens)
	first := (own + float64(c.BacklogTokens)) * p.Costs.PrefillPerToken.Seconds()
	first += 2 * c.NetworkLatency.Seconds()
	if excess := occupied + 1 - capacity; excess > 0 {
		first += excess / capacity * decode
	}
	if !c.SameRegion {
		first += float64(d.InputTokens+d.OutputTokens) / 1000 * p.Costs.LinkPerKTokens.Seconds()
	}
	return first + p.Costs.DecodeWeight*decode
}

// others estimates the number of requests of other entries at the candidate: the
// reported count less this entry's own, weighted toward the mean with the age of
// the report.
func (p Predicted) others(now time.Time, c Candidate, mean float64) float64 {
	if c.Server.Load.MeasuredAt.IsZero() {
		return mean
	}
	age := max(now.Sub(c.Server.Load.MeasuredAt), 0)
	weight := math.Exp(-age.Seconds() / max(p.Costs.LoadDecayTime.Seconds(), 1e-3))
	return weight*c.reportedOthers() + (1-weight)*mean
}

// meanOthers returns the average number of requests of other entries at the
// candidates with a load report.
func (p Predicted) meanOthers(candidates []Candidate) float64 {
	var sum, n float64
	for _, c := range candidates {
		if c.Server.Load.MeasuredAt.IsZero() {
			continue
		}
		sum += c.reportedOthers()
		n++
	}
	return sum / max(n, 1)
}

// reportedOthers returns the number of requests of other entries in the load
// report.
func (c Candidate) reportedOthers() float64 {
	return float64(max(c.Server.Load.Queued+c.Server.Load.Running-c.InFlightAtReport, 0))
}

// mostCached returns the index of the candidate with the most of the prompt in its
// cache, or -1 when no cache holds any of it.
func mostCached(candidates []Candidate) int {
	best := -1
	for i, c := range candidates {
		if c.CachedShare <= 0 {
			continue
		}
		if best < 0 || c.CachedShare > candidates[best].CachedShare ||
			c.CachedShare == candidates[best].CachedShare && c.utilization() < candidates[best].utilization() {
			best = i
		}
	}
	return best
}
