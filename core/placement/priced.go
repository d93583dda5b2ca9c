package placement

import (
	"math"
	"math/rand/v2"
	"time"
)

type (
	// Prices weigh what a request costs elsewhere than in time, as shares of
	// the worth of an answer that comes in time.
	Prices struct {
		ZoneKB      float64
		RegionKB    float64
		ReadKTokens float64
	}

	// Priced picks the candidate with the least sum of the risk to be late and
	// the price of the bytes that cross zones or regions and of the shared
	// parts that have to be read again. As long as the answer is in time
	// anywhere, the price decides; under load the time does. It looks at the
	// homes of the prompt's shared parts, at those whose cache is known to hold
	// it, and at Choices more drawn at random, more for long prompts, so that
	// entries with the same late reports do not all go to one server.
	Priced struct {
		Costs   Costs
		Prices  Prices
		Choices int
	}
)

// tokensPerChoice is how many tokens to read of a request's own are worth
// looking at one more candidate: what delays a long prompt most is other long
// ones.
const tokensPerChoice = 1000

// waitWeight is the price of a second of waiting beside the risk to be late; it
// only decides between servers that are alike otherwise.
const waitWeight = 0.05

// DefaultPrices are for links between regions that are billed by volume and
// narrow, links between zones that are billed, and engines that are busy with
// prompts for a good part of their time.
func DefaultPrices() Prices { return Prices{ZoneKB: 0.0025, RegionKB: 0.005, ReadKTokens: 0.01} }

// NewPriced returns the policy with default costs and prices.
func NewPriced() Priced { return Priced{Costs: DefaultCosts(), Prices: DefaultPrices(), Choices: 3} }

// Name returns the policy's name.
func (Priced) Name() string { return "priced" }

// Pick returns the index with the least price.
func (p Priced) Pick(now time.Time, d Demand, candidates []Candidate, random *rand.Rand) int {
	others := Predicted{Costs: p.Costs}.meanOthers(candidates)
	best, bestScore := -1, math.Inf(1)
	look := func(i int) {
		if s := p.score(now, d, candidates[i], others); s < bestScore {
			best, bestScore = i, s
		}
	}
	for i, c := range candidates {
		if c.Home > 0 || c.Prefix > 0 || len(candidates) <= p.Choices {
			look(i)
		}
	}
	for range p.Choices + int(d.Own/tokensPerChoice) {
		look(random.IntN(len(candidates)))
	}
	return best
}

// Predict returns the time until the first byte of an answer at the candidate.
func (p Priced) Predict(now time.Time, d Demand, c Candidate, meanOthers float64) time.Duration {
	return time.Duration(p.first(now, d, c, meanOthers) * float64(time.Second))
}

func (p Priced) score(now time.Time, d Demand, c Candidate, meanOthers float64) float64 {
	first := p.first(now, d, c, meanOthers)
	if c.Expect != nil {
		first = c.Expect(time.Duration(first * float64(time.Second))).Seconds()
	}
	price := lateRisk(first, d.Objective.Seconds()) + waitWeight*first
	price += p.Prices.ReadKTokens * float64(c.Missing(d)-d.Own) / 1000
	switch kb := float64(d.Bytes) / 1024; {
	case !c.SameRegion:
		price += p.Prices.RegionKB * kb
	case !c.SameZone:
		price += p.Prices.ZoneKB * kb
	}
	return price
}

// first predicts the seconds until the first byte at a server of usual speed.
func (p Priced) first(now time.Time, d Demand, c Candidate, meanOthers float64) float64 {
	occupied := float64(c.InFlight) + Predicted{Costs: p.Costs}.others(now, c, meanOthers)
	capacity := float64(max(c.Server.Capacity, 1))
	interval := p.Costs.StepTime.Seconds() + min(occupied, capacity)*p.Costs.StepPerSequence.Seconds()
	first := interval + (float64(c.Missing(d))+float64(c.Backlog))*p.Costs.PrefillPerToken.Seconds() + 2*c.Distance.Seconds()
	if excess := occupied + 1 - capacity; excess > 0 {
		first += excess / capacity * max(float64(d.OutputTokens)*interval, d.Service.Seconds())
	}
	return first
}
