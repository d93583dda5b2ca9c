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
func (t *throughput) record(now time.Time, cost float64, took time.Duration) {
	decay := math.Exp(-now.Sub(t.updated).Seconds() / throughputDecayTime.Seconds())
	t.runSeconds = t.runSeconds*decay + took.Seconds()
	t.finishedCost = t.finishedCost*decay + cost
	t.finishedCount = t.finishedCount*decay + 1
	t.updated = now
}

// perSecond returns the cost that the slots finish per second, or 0 while no
// ticket has finished.
func (t *throughput) perSecond(slots int) float64 {
	if t.runSeconds == 0 {
		return 0
	}
	return float64(slots) * t.finishedCost / t.runSeconds
}

// serviceTime returns how long a ticket of the given cost runs.
func (t *throughput) serviceTime(cost float64) time.Duration {
	if t.finishedCost == 0 {
		return 0
	}
	return time.Duration(t.runSeconds / t.finishedCost * cost * float64(time.Second))
}

// meanServiceTime returns how long a ticket runs on average.
func (t *throughput) meanServiceTime() time.Duration {
	if t.finishedCount == 0 {
		return 0
	}
	return time.Duration(t.runSeconds / t.finishedCount * float64(time.Second))
}
