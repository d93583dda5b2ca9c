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
	//
	// What waits at a server are requests whose prompts are still to be read; each
	// delays the next by Queued. A report of them loses its worth within Memory.
	Priced struct {
		Costs   Costs
		Prices  Prices
		Choices int
		Queued  time.Duration
		Memory  time.Duration
	}

	// Choice is what was picked: the candidate's index, -1 for none, and what is
	// predicted there for a server of usual speed. Queued is how many requests
	// wait at a server on average.
	Choice struct {
		Index     int
		Predicted Estimate
		Queued    float64
	}

	// Estimate is a predicted time to the first byte: Own is what the request
	// takes by itself, Wait what is before it.
	Estimate struct{ Own, Wait time.Duration }
)

const (
	// queuedTime is the time of reading a usual prompt: on measured engines each
	// waiting request delayed the first byte by 75 to 100 ms.
	queuedTime = 80 * time.Millisecond

	// queuedMemory is how fast what waits changes: after a second a report
	// tells a third as much.
	queuedMemory = time.Second
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
func NewPriced() Priced {
	return Priced{Costs: DefaultCosts(), Prices: DefaultPrices(), Choices: 3, Queued: queuedTime, Memory: queuedMemory}
}

// Name returns the policy's name.
func (Priced) Name() string { return "priced" }

// Pick returns the index with the least price.
func (p Priced) Pick(now time.Time, d Demand, candidates []Candidate, random *rand.Rand) int {
	return p.Choose(now, d, candidates, random).Index
}

// Choose returns the candidate with the least price.
func (p Priced) Choose(now time.Time, d Demand, candidates []Candidate, random *rand.Rand) Choice {
	best, bestScore := Choice{Index: -1, Queued: p.meanQueued(now, candidates)}, math.Inf(1)
	look := func(i int) {
		e := p.predict(now, d, candidates[i], best.Queued)
		if s := p.score(d, candidates[i], e); s < bestScore {
			best.Index, best.Predicted, bestScore = i, e, s
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

func (p Priced) score(d Demand, c Candidate, e Estimate) float64 {
	expected := e.Own + e.Wait
	if c.Expect != nil {
		expected = c.Expect(e)
	}
	price := LateRisk(expected, d.Objective) + waitWeight*expected.Seconds()
	price += p.Prices.ReadKTokens * float64(c.Missing(d)-d.Own) / 1000
	switch kb := float64(d.Bytes) / 1024; {
	case !c.SameRegion:
		price += p.Prices.RegionKB * kb
	case !c.SameZone:
		price += p.Prices.ZoneKB * kb
	}
	return price
}

// predict returns the time until the first byte of an answer at the candidate,
// if it is of usual speed. MeanQueued is what waits at a server of which
// nothing is known.
func (p Priced) predict(now time.Time, d Demand, c Candidate, meanQueued float64) Estimate {
	interval := p.Costs.StepTime + time.Duration(float64(min(c.InFlight, c.capacity()))*float64(p.Costs.StepPerSequence))
	e := Estimate{Own: interval + time.Duration(c.Missing(d))*p.Costs.PrefillPerToken + 2*c.Distance}
	trust := p.trust(now, c)
	queued := trust*float64(c.Server.Load.Queued) + (1-trust)*meanQueued
	e.Wait = time.Duration(c.Backlog)*p.Costs.PrefillPerToken + time.Duration(queued*float64(p.Queued))
	if excess := c.InFlight + 1 - c.capacity(); excess > 0 {
		e.Wait += time.Duration(float64(excess) / float64(c.capacity()) * float64(max(time.Duration(d.OutputTokens)*interval, d.Service)))
	}
	return e
}

// meanQueued returns what waits at a server on average, by the newest reports.
func (p Priced) meanQueued(now time.Time, candidates []Candidate) float64 {
	var sum, n float64
	for _, c := range candidates {
		trust := p.trust(now, c)
		sum += trust * float64(c.Server.Load.Queued)
		n += trust
	}
	return sum / max(n, 1)
}

// trust returns how much a server's report is still worth, 0 to 1.
func (p Priced) trust(now time.Time, c Candidate) float64 {
	if c.Server.Load.At.IsZero() {
		return 0
	}
	return math.Exp(-max(now.Sub(c.Server.Load.At), 0).Seconds() / p.Memory.Seconds())
}
