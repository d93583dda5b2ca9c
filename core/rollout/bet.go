package rollout

import "math"

type (
	// Bet is the logarithm of the wealth of a gambler who stakes against the
	// claim that the mean of values between -2 and 2 is at most zero. While the
	// claim is true, the wealth exceeds 1/e with a chance of at most e, however
	// often one looks.
	Bet struct {
		Log    float64 `json:"log"`
		N      float64 `json:"n"`
		Sum    float64 `json:"sum"`
		Square float64 `json:"square"`
	}

	// Detector watches for the mean of values to rise above zero at an unknown
	// time: it sums the wealth of gamblers who begin at each value.
	Detector struct {
		Sum float64 `json:"sum"`
	}

	// Pool is a discounted mean of ratings.
	Pool struct {
		N   float64 `json:"n"`
		Sum float64 `json:"sum"`
	}
)

const (
	// largestStake keeps the wealth positive for any value.
	largestStake = 0.45

	// firstVariance and firstWeight stand in for ratings not seen yet.
	firstVariance = 0.04
	firstWeight   = 5

	// poolMemory is the number of ratings after which one loses its weight.
	poolMemory = 200

	// detectorPatience is how many times rarer than the chance of a wrong hold
	// an alarm is for each value at full traffic.
	detectorPatience = 100
)

// With returns the bet after one more value. The stake is set by the values
// before it.
func (b Bet) With(x float64) Bet {
	x = min(max(x, -2), 2)
	b.Log += math.Log1p(b.stake() * x)
	b.N++
	b.Sum += x
	b.Square += x * x
	return b
}

// stake is about the best one for the mean and variance seen so far.
func (b Bet) stake() float64 {
	const expected = 0.1
	mean := (b.Sum + firstWeight*expected) / (b.N + firstWeight)
	square := (b.Square + firstWeight*firstVariance) / (b.N + firstWeight)
	return min(max(mean/max(square, 1e-4), 0), largestStake)
}

// Rejects reports whether the claim is refuted at the level.
func (b Bet) Rejects(level float64) bool { return b.Log >= -math.Log(level) }

// With returns the detector after one more value; step is the rise of the mean
// that matters.
func (d Detector) With(x, step float64) Detector {
	stake := min(step/firstVariance, largestStake)
	d.Sum = (d.Sum + 1) * (1 + stake*min(max(x, -2), 2))
	return d
}

// Alarm reports whether a change is detected: in steady times there is at most
// one alarm in detectorPatience/level values on the average.
func (d Detector) Alarm(level float64) bool { return d.Sum >= detectorPatience/level }

// With returns the pool with one more rating.
func (p Pool) With(x float64) Pool {
	const keep = 1 - 1.0/poolMemory
	return Pool{N: p.N*keep + 1, Sum: p.Sum*keep + x}
}

// Mean returns the mean of the ratings.
func (p Pool) Mean() float64 { return p.Sum / p.N }
