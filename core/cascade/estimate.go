package cascade

import (
	"math"
	"time"
)

type (
	// estimate is a discounted mean of values, such as ratings: each new one
	// reduces the weight of the older ones.
	estimate struct {
		n, sum, sumSquares float64
	}

	// tokenTimes is a discounted mean of the times to the first token and between
	// tokens, in seconds.
	tokenTimes struct {
		n, firstToken, interval float64
	}

	// changeDetector is a CUSUM detector for ratings below their expected value.
	changeDetector struct{ sum, n float64 }
)

// add adds a value. Memory is the number of values after which an older one has
// lost most of its weight.
func (e *estimate) add(x, memory float64) {
	discount := 1 - 1/memory
	e.n = e.n*discount + 1
	e.sum = e.sum*discount + x
	e.sumSquares = e.sumSquares*discount + x*x
}

// discount reduces the weight of all values to the given share.
func (e *estimate) discount(keep float64) {
	e.n *= keep
	e.sum *= keep
	e.sumSquares *= keep
}

// shift adds d to every value.
func (e *estimate) shift(d float64) {
	e.sumSquares += 2*d*e.sum + d*d*e.n
	e.sum += d * e.n
}

// mean combines the values with a prior of the given weight.
func (e *estimate) mean(prior, weight float64) float64 {
	return (e.sum + prior*weight) / (e.n + weight)
}

// deviation returns the standard deviation of single ratings, shrunk toward a
// default while there are few.
func (e *estimate) deviation() float64 {
	const prior, weight = 0.15, 5
	if e.n < 1 {
		return prior
	}
	mean := e.sum / e.n
	variance := max(e.sumSquares/e.n-mean*mean, 0)
	return math.Sqrt((variance*e.n + prior*prior*weight) / (e.n + weight))
}

// add adds the times of one request.
func (t *tokenTimes) add(first, interval time.Duration, memory float64) {
	discount := 1 - 1/memory
	t.n = t.n*discount + 1
	t.firstToken = t.firstToken*discount + first.Seconds()
	t.interval = t.interval*discount + interval.Seconds()
}

// mean returns the mean time to the first token, in seconds, combined with a prior
// of weight 1.
func (t *tokenTimes) mean(prior float64) float64 { return (t.firstToken + prior) / (t.n + 1) }

// add adds the shortfall of a rating. When the sum of shortfalls beyond the slack
// exceeds the limit, it returns their mean since the sum last was 0, which is then 0
// again. Otherwise it returns 0.
func (d *changeDetector) add(shortfall, slack, limit float64) float64 {
	d.sum += shortfall - slack
	d.n++
	if d.sum <= 0 {
		*d = changeDetector{}
	}
	if d.sum <= limit {
		return 0
	}
	mean := d.sum / d.n
	*d = changeDetector{}
	return mean
}
