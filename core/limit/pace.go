package limit

import (
	"math"
	"time"
)

// paceMemory is how far back the time of finished work is averaged.
const paceMemory = 5 * time.Second

// pace estimates how long a unit of work takes once it runs, and from that how
// much work a number of slots finishes in a second.
type pace struct {
	at   time.Time
	busy float64
	done float64
	ends float64
}

func (p *pace) finished(now time.Time, cost float64, took time.Duration) {
	fade := math.Exp(-now.Sub(p.at).Seconds() / paceMemory.Seconds())
	p.busy = p.busy*fade + took.Seconds()
	p.done = p.done*fade + cost
	p.ends = p.ends*fade + 1
	p.at = now
}

// perSecond returns the work that the slots finish in a second, or 0 while
// nothing has finished.
func (p *pace) perSecond(slots int) float64 {
	if p.busy == 0 {
		return 0
	}
	return float64(slots) * p.done / p.busy
}

// service returns how long work of the given cost takes.
func (p *pace) service(cost float64) time.Duration {
	if p.done == 0 {
		return 0
	}
	return time.Duration(p.busy / p.done * cost * float64(time.Second))
}

// mean returns how long a piece of work takes on the average.
func (p *pace) mean() time.Duration {
	if p.ends == 0 {
		return 0
	}
	return time.Duration(p.busy / p.ends * float64(time.Second))
}
