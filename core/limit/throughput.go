package limit

import (
	"math"
	"time"
)

// paceMemory is the time constant of the exponential decay of finished tickets.
const paceMemory = 5 * time.Second

// pace estimates service times and the throughput of a number of slots, from
// sums over finished tickets that decay with time.
type pace struct {
	at   time.Time // when the sums were last updated
	busy float64   // running time, in seconds
	done float64   // cost
	ends float64   // number of tickets
}

// finished records a finished ticket.
func (p *pace) finished(now time.Time, cost float64, took time.Duration) {
	decay := math.Exp(-now.Sub(p.at).Seconds() / paceMemory.Seconds())
	p.busy = p.busy*decay + took.Seconds()
	p.done = p.done*decay + cost
	p.ends = p.ends*decay + 1
	p.at = now
}

// perSecond returns the cost that the slots finish per second, or 0 while no
// ticket has finished.
func (p *pace) perSecond(slots int) float64 {
	if p.busy == 0 {
		return 0
	}
	return float64(slots) * p.done / p.busy
}

// service returns how long a ticket of the given cost runs.
func (p *pace) service(cost float64) time.Duration {
	if p.done == 0 {
		return 0
	}
	return time.Duration(p.busy / p.done * cost * float64(time.Second))
}

// mean returns how long a ticket runs on average.
func (p *pace) mean() time.Duration {
	if p.ends == 0 {
		return 0
	}
	return time.Duration(p.busy / p.ends * float64(time.Second))
}
