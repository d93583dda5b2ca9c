package rollout

import "math"

type (
	// SequentialTest is a sequential test of the hypothesis that the mean of values between
	// -2 and 2 is at most 0. It is a test martingale (testing by betting): while
	// the hypothesis is true, the probability that the martingale ever exceeds 1/p
	// is at most p, however often it is checked.
	SequentialTest struct {
		// LogMartingale is the natural logarithm of the martingale.
		LogMartingale float64 `json:"log"`
		N             float64 `json:"n"`
		Sum           float64 `json:"sum"`
		SumSquares    float64 `json:"square"`
	}

	// ChangeDetector detects that the mean of values has risen above 0 at an unknown
	// time (Shiryaev-Roberts procedure). Sum is the sum of the martingales that
	// start at each value.
	ChangeDetector struct {
		Sum float64 `json:"sum"`
	}

	// DiscountedMean is a mean of ratings in which older ratings have less weight.
	DiscountedMean struct {
		N   float64 `json:"n"`
		Sum float64 `json:"sum"`
	}
)

const (
	// maxStake bounds the stake so that the martingale stays positive for any
	// value.
	maxStake = 0.45

	// priorVariance is the prior variance of ratings, and priorWeight the weight
	// of the priors in ratings.
	priorVariance = 0.04
	priorWeight   = 5

	// meanDecayRatings is the number of ratings after which an older one has lost most
	// of its weight.
	meanDecayRatings = 200

	// falseAlarmFactor makes false alarms at full traffic rare: on average there is
	// at most one in falseAlarmFactor/level values, where level is the probability
	// of a wrong hold during the roll-out.
	falseAlarmFactor = 100
)

// With returns the test after one more value. The stake depends only on the values
// before it, as the bound on false rejections requires.
func (t SequentialTest) With(x float64) SequentialTest {
	x = min(max(x, -2), 2)
	t.LogMartingale += math.Log1p(t.stake() * x)
	t.N++
	t.Sum += x
	t.SumSquares += x * x
	return t
}

// stake returns the approximately growth-optimal stake for the mean and variance
// of the values so far.
func (t SequentialTest) stake() float64 {
	const priorMean = 0.1
	mean := (t.Sum + priorWeight*priorMean) / (t.N + priorWeight)
	square := (t.SumSquares + priorWeight*priorVariance) / (t.N + priorWeight)
	return min(max(mean/max(square, 1e-4), 0), maxStake)
}

// Rejects reports whether the hypothesis is rejected at the significance level.
func (t SequentialTest) Rejects(level float64) bool { return t.LogMartingale >= -math.Log(level) }

// With returns the detector after one more value. Step is the smallest rise of the
// mean that matters.
func (d ChangeDetector) With(x, step float64) ChangeDetector {
	stake := min(step/priorVariance, maxStake)
	d.Sum = (d.Sum + 1) * (1 + stake*min(max(x, -2), 2))
	return d
}

// Alarm reports whether a change is detected. Without a change there is on average
// at most one alarm in falseAlarmFactor/level values.
func (d ChangeDetector) Alarm(level float64) bool { return d.Sum >= falseAlarmFactor/level }

// With returns the mean with one more rating.
func (m DiscountedMean) With(x float64) DiscountedMean {
	const keep = 1 - 1.0/meanDecayRatings
	return DiscountedMean{N: m.N*keep + 1, Sum: m.Sum*keep + x}
}

// Mean returns the mean of the ratings.
func (m DiscountedMean) Mean() float64 { return m.Sum / m.N }
