package placement

import (
	"math"
	"math/rand/v2"
	"time"
)

type (
	// Prices are the costs of a request besides latency. An answer in time is
	// worth 1.
	Prices struct {
		// CrossZonePerKB and CrossRegionPerKB are the prices of 1 KiB sent to
		// another zone or region.
		CrossZonePerKB   float64
		CrossRegionPerKB float64
		// PrefillPerKTokens is the price of 1,000 shared prompt tokens that are not in
		// the server's cache.
		PrefillPerKTokens float64
	}

	// Priced picks the candidate with the lowest cost: the risk of a late answer,
	// the price of bytes that cross zones or regions, and the price of reading
	// shared parts of the prompt again. While every candidate would answer in
	// time, the prices decide; under load the latency does.
	//
	// It considers the homes of the prompt's shared parts, the candidates with a
	// cached prefix, and random ones. Random choices keep entries with the same
	// outdated load reports from all picking the same server.
	Priced struct {
		Costs  Costs
		Prices Prices
		// RandomChoices is the number of random candidates; long prompts get more.
		RandomChoices int
		// DelayPerQueued is the delay that each request queued at a server adds, as its
		// prompt has to be read first.
		DelayPerQueued time.Duration
		// LoadDecayTime is the time constant with which a reported queue length loses
		// weight.
		LoadDecayTime time.Duration
	}

	// Choice is the result of Priced.Choose.
	Choice struct {
		// Index is that of the picked candidate, -1 for none.
		Index int
		// Predicted is the estimate for the picked candidate if its speed is
		// average.
		Predicted Estimate
		// MeanQueued is the average queue length of the candidates.
		MeanQueued float64
	}

	// Estimate is a predicted time to the first byte: Own is the time that the
	// request itself takes, Wait the time that it is queued before.
	Estimate struct{ Own, Wait time.Duration }
)

const (
	// defaultDelayPerQueued is the time to read a typical prompt. Each request queued at an
	// engine delays the first byte by 75 to 100 ms.
	defaultDelayPerQueued = 80 * time.Millisecond

	// defaultLoadDecayTime reflects how fast queues change: after a second a report has
	// about a third of its weight.
	defaultLoadDecayTime = time.Second
)

// tokensPerChoice is the number of unshared prompt tokens for which one more
// random candidate is considered. Long prompts are delayed most by other long
// ones, so that a wider choice pays for them.
const tokensPerChoice = 1000

// maxExtraChoices bounds these candidates: callers state the tokens, and the choice is made
// under a lock.
const maxExtraChoices = 256

// latencyPrice is the price of a second of latency in addition to the risk of a
// late answer. It is low, so that it mainly decides between servers that are
// otherwise equal.
const latencyPrice = 0.05

// DefaultPrices returns prices for narrow links between regions that are billed by
// volume, billed links between zones, and engines that spend much of their time
// reading prompts.
func DefaultPrices() Prices {
	return Prices{CrossZonePerKB: 0.0025, CrossRegionPerKB: 0.005, PrefillPerKTokens: 0.01}
}

// NewPriced returns the policy with default costs, prices and delays.
func NewPriced() Priced {
	return Priced{Costs: DefaultCosts(), Prices: DefaultPrices(), RandomChoices: 3, DelayPerQueued: defaultDelayPerQueued, LoadDecayTime: defaultLoadDecayTime}
}

// Name returns the policy's name.
func (Priced) Name() string { return "priced" }

// Pick returns the index of the candidate with the lowest cost.
func (p Priced) Pick(now time.Time, d Demand, candidates []Candidate, random *rand.Rand) int {
	return p.Choose(now, d, candidates, random).Index
}

// Choose returns the candidate with the lowest cost and its predicted latency.
func (p Priced) Choose(now time.Time, d Demand, candidates []Candidate, random *rand.Rand) Choice {
	best, bestScore := Choice{Index: -1, MeanQueued: p.meanQueued(now, candidates)}, math.Inf(1)
	consider := func(i int) {
		e := p.predict(now, d, candidates[i], best.MeanQueued)
		if s := p.score(d, candidates[i], e); s < bestScore {
			best.Index, best.Predicted, bestScore = i, e, s
		}
	}
	for i, c := range candidates {
		if c.HomeRank > 0 || c.CachedShare > 0 || len(candidates) <= p.RandomChoices {
			consider(i)
		}
	}
	for range p.RandomChoices + int(min(max(d.UnsharedTokens, 0)/tokensPerChoice, maxExtraChoices)) {
		consider(random.IntN(len(candidates)))
	}
	return best
}

// score returns the cost of the request at the candidate.
func (p Priced) score(d Demand, c Candidate, e Estimate) float64 {
	expected := e.Own + e.Wait
	if c.ExpectedTime != nil {
		expected = c.ExpectedTime(e)
	}
	cost := LateRisk(expected, d.Objective) + latencyPrice*expected.Seconds()
	cost += p.Prices.PrefillPerKTokens * float64(c.UncachedTokens(d)-d.UnsharedTokens) / 1000
	switch kb := float64(d.Bytes) / 1024; {
	case !c.SameRegion:
		cost += p.Prices.CrossRegionPerKB * kb
	case !c.SameZone:
		cost += p.Prices.CrossZonePerKB * kb
	}
	return cost
}

// predict estimates the time to the first byte at the candidate, as if it had
// average speed. MeanQueued is the queue length assumed for a server without a
// recent report.
func (p Priced) predict(now time.Time, d Demand, c Candidate, meanQueued float64) Estimate {
	interval := p.Costs.StepTime + time.Duration(float64(min(c.InFlight, c.capacity()))*float64(p.Costs.StepPerSequence))
	e := Estimate{Own: interval + time.Duration(c.UncachedTokens(d))*p.Costs.PrefillPerToken + 2*c.NetworkLatency}
	weight := p.reportWeight(now, c)
	queued := weight*float64(c.Server.Load.Queued) + (1-weight)*meanQueued
	e.Wait = time.Duration(c.BacklogTokens)*p.Costs.PrefillPerToken + time.Duration(queued*float64(p.DelayPerQueued))
	if excess := c.InFlight + 1 - c.capacity(); excess > 0 {
		e.Wait += time.Duration(float64(excess) / float64(c.capacity()) * float64(max(time.Duration(d.OutputTokens)*interval, d.ServiceTime)))
	}
	return e
}

// meanQueued returns the average queue length, weighted by the age of the reports.
func (p Priced) meanQueued(now time.Time, candidates []Candidate) float64 {
	var sum, n float64
	for _, c := range candidates {
		weight := p.reportWeight(now, c)
		sum += weight * float64(c.Server.Load.Queued)
		n += weight
	}
	return sum / max(n, 1)
}

// reportWeight returns the weight of a server's load report by its age, 0 to 1.
func (p Priced) reportWeight(now time.Time, c Candidate) float64 {
	if c.Server.Load.MeasuredAt.IsZero() {
		return 0
	}
	return math.Exp(-max(now.Sub(c.Server.Load.MeasuredAt), 0).Seconds() / p.LoadDecayTime.Seconds())
}
