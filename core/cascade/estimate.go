package cascade

import (
	"math"
	"time"
)

type (
	// estimate is a discounted mean of ratings; older ones lose their weight
	// as newer ones come.
	estimate struct {
		n, sum, square float64
	}

	// pace is a discounted mean of times.
	pace struct {
		n, first, interval float64
	}

	// alarm tells when ratings fall below what was expected of them, by a
	// cumulative sum.
	alarm struct{ sum float64 }
)

func (e *estimate) add(x, memory float64) {
	keep := 1 - 1/memory
	e.n = e.n*keep + 1
	e.sum = e.sum*keep + x
	e.square = e.square*keep + x*x
}

// forget keeps only a share of the weight of what was seen.
func (e *estimate) forget(keep float64) {
	e.n *= keep
	e.sum *= keep
	e.square *= keep
}

// mean joins what was seen with a prior of the given weight.
func (e *estimate) mean(prior, weight float64) float64 {
	return (e.sum + prior*weight) / (e.n + weight)
}

// deviation is the standard deviation of single ratings, drawn towards a
// usual one while few were seen.
func (e *estimate) deviation() float64 {
	const usual, weight = 0.15, 5
	if e.n < 1 {
		return usual
	}
	mean := e.sum / e.n
	variance := max(e.square/e.n-mean*mean, 0)
	return math.Sqrt((variance*e.n + usual*usual*weight) / (e.n + weight))
}

func (p *pace) add(first, interval time.Duration, memory float64) {
	keep := 1 - 1/memory
	p.n = p.n*keep + 1
	p.first = p.first*keep + first.Seconds()
	p.interval = p.interval*keep + interval.Seconds()
}

func (p *pace) mean(prior float64) float64 { return (p.first + prior) / (p.n + 1) }

// add reports whether the sum of shortfalls beyond the slack passed the limit.
func (a *alarm) add(shortfall, slack, limit float64) bool {
	a.sum = max(a.sum+shortfall-slack, 0)
	if a.sum <= limit {
		return false
	}
	a.sum = 0
	return true
}
