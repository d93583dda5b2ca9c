package placement

import (
	"math"
	"math/rand/v2"
	"time"
)

type (
	// Costs are the times from which a finish is predicted. Link is what
	// sending 1,000 tokens over the link between regions is worth. Decode is
	// the weight of a second spent on later tokens against one before the
	// first. Memory is how fast a load report loses its worth with age.
	Costs struct {
		PrefillPerToken time.Duration
		StepTime        time.Duration
		StepPerSequence time.Duration
		Link            time.Duration
		Decode          float64
		Memory          time.Duration
	}

	// Predicted picks the candidate with the earliest predicted finish among
	// Choices drawn at random and the one whose cache holds the most of the
	// prompt. Drawing keeps entries with the same late reports apart.
	Predicted struct {
		Costs   Costs
		Choices int
	}
)

// DefaultCosts returns costs for engines of which nothing is known yet.
func DefaultCosts() Costs {
	return Costs{
		PrefillPerToken: 100 * time.Microsecond, StepTime: 12 * time.Millisecond, StepPerSequence: 300 * time.Microsecond,
		Link: 5 * time.Millisecond, Decode: 0.5, Memory: 2 * time.Second,
	}
}

// NewPredicted returns the policy with default costs.
func NewPredicted() Predicted { return Predicted{Costs: DefaultCosts(), Choices: 2} }

// Name returns the policy's name.
func (Predicted) Name() string { return "predicted_finish" }

// Pick returns the index with the earliest predicted finish.
func (p Predicted) Pick(now time.Time, d Demand, candidates []Candidate, random *rand.Rand) int {
	others := p.meanOthers(candidates)
	best := holder(candidates)
	bestScore := math.Inf(1)
	if best >= 0 {
		bestScore = p.score(now, d, candidates[best], others)
	}
	for range p.Choices {
		i := random.IntN(len(candidates))
		if s := p.score(now, d, candidates[i], others); s < bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

// score predicts the weighted seconds until the request finishes there.
func (p Predicted) score(now time.Time, d Demand, c Candidate, meanOthers float64) float64 {
	occupied := float64(c.InFlight) + p.others(now, c, meanOthers)
	capacity := float64(max(c.Server.Capacity, 1))
	interval := p.Costs.StepTime.Seconds() + min(occupied, capacity)*p.Costs.StepPerSequence.Seconds()
	decode := float64(d.OutputTokens) * interval
	own := (1 - c.Prefix) * float64(d.InputTokens)
	first := (own + float64(c.Backlog)) * p.Costs.PrefillPerToken.Seconds()
	first += 2 * c.Distance.Seconds()
	if excess := occupied + 1 - capacity; excess > 0 {
		first += excess / capacity * decode
	}
	if !c.SameRegion {
		first += float64(d.InputTokens+d.OutputTokens) / 1000 * p.Costs.Link.Seconds()
	}
	return first + p.Costs.Decode*decode
}

// others estimates the requests of other entries: the report's count less the
// own ones in it, drawn towards the mean as the report grows old.
func (p Predicted) others(now time.Time, c Candidate, mean float64) float64 {
	if c.Server.Load.At.IsZero() {
		return mean
	}
	age := max(now.Sub(c.Server.Load.At), 0)
	trust := math.Exp(-age.Seconds() / max(p.Costs.Memory.Seconds(), 1e-3))
	return trust*c.reportedOthers() + (1-trust)*mean
}

func (p Predicted) meanOthers(candidates []Candidate) float64 {
	var sum, n float64
	for _, c := range candidates {
		if c.Server.Load.At.IsZero() {
			continue
		}
		sum += c.reportedOthers()
		n++
	}
	return sum / max(n, 1)
}

func (c Candidate) reportedOthers() float64 {
	return float64(max(c.Server.Load.Queued+c.Server.Load.Running-c.InFlightAtReport, 0))
}

// holder returns the index of the candidate whose cache holds the most of the
// prompt, or -1 when none holds any of it.
func holder(candidates []Candidate) int {
	best := -1
	for i, c := range candidates {
		if c.Prefix <= 0 {
			continue
		}
		if best < 0 || c.Prefix > candidates[best].Prefix ||
			c.Prefix == candidates[best].Prefix && c.use() < candidates[best].use() {
			best = i
		}
	}
	return best
}
