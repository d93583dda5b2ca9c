package limit

import (
	"math"
	"time"
)

// throughputDecayTime is the time constant with which the weight of finished
// tickets decays.
const throughputDecayTime = 5 * time.Second

// throughput estimates service times and the throughput of the slots. The estimates
// use sums over finished tickets, which decay with time.
type throughput struct {
	updated       time.Time // when the sums were last updated
	runSeconds    float64   // running time, in seconds
	finishedCost  float64   // cost
	finishedCount float64   // number of tickets
}

// record records a finished ticket.
func (p *throughput) record(now time.Time, cost float64, took time.Duration) {
	decay := math.Exp(-now.Sub(p.updated).Seconds() / throughputDecayTime.Seconds())
	p.runSeconds = p.runSeconds*decay + took.Seconds()
	p.finishedCost = p.finishedCost*decay + cost
	p.finishedCount = p.finishedCount*decay + 1
	p.updated = now
}

// perSecond returns the cost that the slots finish per second, or 0 while no
// ticket has finished.
func (p *throughput) perSecond(slots int) float64 {
	if p.runSeconds == 0 {
		return 0
	}
	return float64(slots) * p.finishedCost / p.runSeconds
}

// serviceTime returns how long a ticket of the given cost runs.
func (p *throughput) serviceTime(cost float64) time.Duration {
	if p.finishedCost == 0 {
		return 0
	}
	return time.Duration(p.runSeconds / p.finishedCost * cost * float64(time.Second))
}

// meanServiceTime returns how long a ticket runs on average.
func (p *throughput) meanServiceTime() time.Duration {
	if p.finishedCount == 0 {
		return 0
	}
	return time.Duration(p.runSeconds / p.finishedCount * float64(time.Second))
}
