package rollout

import "math"

type (
	// Bet is a sequential test of the hypothesis that the mean of values between
	// -2 and 2 is at most 0. It is a test martingale (testing by betting): while
	// the hypothesis is true, the probability that the martingale ever exceeds 1/p
	// is at most p, however often it is checked.
	Bet struct {
		// Log is the natural logarithm of the martingale.
		Log    float64 `json:"log"`
		N      float64 `json:"n"`
		Sum    float64 `json:"sum"`
		Square float64 `json:"square"`
	}

	// Detector detects that the mean of values has risen above 0 at an unknown
	// time (Shiryaev-Roberts procedure). Sum is the sum of the martingales that
	// start at each value.
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
	// largestStake bounds the stake so that the martingale stays positive for any
	// value.
	largestStake = 0.45

	// firstVariance is the prior variance of ratings, and priorWeight the weight
	// of the priors in ratings.
	firstVariance = 0.04
	firstWeight   = 5

	// poolMemory is the number of ratings after which an older one has lost most
	// of its weight.
	poolMemory = 200

	// detectorPatience is the factor by which a false alarm for one value at full
	// traffic is less likely than a wrong hold during the roll-out.
	detectorPatience = 100
)

// With returns the test after one more value. The stake depends only on the values
// before it, as the bound on false rejections requires.
func (b Bet) With(x float64) Bet {
	x = min(max(x, -2), 2)
	b.Log += math.Log1p(b.stake() * x)
	b.N++
	b.Sum += x
	b.Square += x * x
	return b
}

// stake returns the approximately growth-optimal stake for the mean and variance
// of the values so far.
func (b Bet) stake() float64 {
	const priorMean = 0.1
	mean := (b.Sum + firstWeight*priorMean) / (b.N + firstWeight)
	square := (b.Square + firstWeight*firstVariance) / (b.N + firstWeight)
	return min(max(mean/max(square, 1e-4), 0), largestStake)
}

// Rejects reports whether the hypothesis is rejected at the significance level.
func (b Bet) Rejects(level float64) bool { return b.Log >= -math.Log(level) }

// With returns the detector after one more value. Step is the smallest rise of the
// mean that matters.
func (d Detector) With(x, step float64) Detector {
	stake := min(step/firstVariance, largestStake)
	d.Sum = (d.Sum + 1) * (1 + stake*min(max(x, -2), 2))
	return d
}

// Alarm reports whether a change is detected. Without a change there is on average
// at most one alarm in falseAlarmFactor/level values.
func (d Detector) Alarm(level float64) bool { return d.Sum >= detectorPatience/level }

// With returns the mean with one more rating.
func (p Pool) With(x float64) Pool {
	const keep = 1 - 1.0/poolMemory
	return Pool{N: p.N*keep + 1, Sum: p.Sum*keep + x}
}

// Mean returns the mean of the ratings.
func (p Pool) Mean() float64 { return p.Sum / p.N }
