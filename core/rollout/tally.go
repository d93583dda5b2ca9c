package rollout

import (
	"math"
	"time"
)

const (
	// canaryFraction is the canary's part of the share of all requests that the
	// operator allows. The canary runs for two fifths of the time; the rest of the
	// allowed share is for the end, when the target takes all requests.
	canaryFraction = 0.4

	// badFailureDifference is the difference in failure rate from which a release is bad:
	// operators consider a release bad that fails 20% more of its requests.
	badFailureDifference = 0.2

	// minFailureRate is the minimum failure rate assumed for a good release, so that
	// a single failure is not decisive.
	minFailureRate = 0.03

	// badLogLikelihood is the log-likelihood ratio from which a release counts as bad:
	// e^4 is about 55 to 1.
	badLogLikelihood = 4.0

	// minTimedAnswers is the minimum number of timed answers of each release for a
	// comparison of their times.
	minTimedAnswers = 6

	// slowLogRatio is the difference of the mean logarithms from which a release
	// counts as slow: e^0.25 is 28% longer than expected. In tests, good releases
	// with cold caches reached at most 0.15 after 16 answers and mostly stayed
	// below 0; slow releases had 0.1 to 1.
	slowLogRatio = 0.25

	// slowSigmas is the minimum number of standard errors by which the mean
	// logarithm of a slow release is above that of the old one. It is high
	// because the test is repeated about fifty times.
	slowSigmas = 2.5

	// unsupportedSlowSigmas applies instead if the number of slow answers speaks against a
	// slow release. With slowSigmas, one good release in ten was rolled back in
	// simulations, mostly after six to ten answers.
	unsupportedSlowSigmas = 4

	// slowAnswerLogRatio is the log ratio from which an answer counts as slow: three times
	// the expected time.
	slowAnswerLogRatio = 1.1

	// slowPaceLogRatio is the difference of the mean logarithms of the time between
	// events from which a release counts as slow: e^0.5 is 65% longer. Servers whose
	// caches are empty read whole prompts between the events of others.
	slowPaceLogRatio = 0.5

	// minPaceVariance is the minimum variance assumed for the logarithms of a release's
	// paces, as a few streams may be equal by chance.
	minPaceVariance = 0.04

	// minPacedAnswers is the minimum number of paced answers of the old release on a
	// route and model for a comparison there.
	minPacedAnswers = 3
)

// Tally counts the attempts on one route and model at one release, since the start of the
// entry that reports it.
type Tally struct {
	Service string `json:"service"`
	Release string `json:"release"`
	Route   string `json:"route"`
	// Model is the model that was asked, empty on routes without one.
	Model string `json:"model,omitempty"`
	// OrderedMS identifies the roll-out by the time of its order, in Unix milliseconds.
	OrderedMS int64  `json:"ordered_ms,omitempty"`
	Requests  uint64 `json:"requests"`
	Failures  uint64 `json:"failures"`
	// Timed is the number of answers that began. LogSum and LogSq are the sum and
	// the sum of squares of ln(actual/expected), for their time to the first byte.
	Timed  uint64  `json:"timed"`
	LogSum float64 `json:"log_sum"`
	LogSq  float64 `json:"log_sq"`
	// Slow is the number of answers that took several times as long as expected.
	Slow uint64 `json:"slow,omitempty"`
	// Paced is the number of streams whose pace was measured. PaceLogSum and PaceLogSq
	// are the sum and the sum of squares of the logarithm of the seconds between two of
	// their events.
	Paced      uint64  `json:"paced,omitempty"`
	PaceLogSum float64 `json:"pace_log_sum,omitempty"`
	PaceLogSq  float64 `json:"pace_log_sq,omitempty"`
}

// WithAttempt returns the tally with one more attempt. FirstByte is the time to the
// first byte, 0 when no answer began; expected is that time at a server of the old
// release with the same part of the prompt in its cache.
func (t Tally) WithAttempt(failed bool, firstByte, expected time.Duration) Tally {
	t.Requests++
	if failed {
		t.Failures++
	}
	return t.WithTime(firstByte, expected)
}

// WithTime returns the tally with the time to one more first byte, or with the time that
// one has been waited for.
func (t Tally) WithTime(firstByte, expected time.Duration) Tally {
	if firstByte > 0 && expected > 0 {
		l := math.Log(firstByte.Seconds() / expected.Seconds())
		t.Timed++
		if l > slowAnswerLogRatio {
			t.Slow++
		}
		t.LogSum += l
		t.LogSq += l * l
	}
	return t
}

// WithPace returns the tally with the pace of one more stream, as the mean time between
// its events.
func (t Tally) WithPace(gap time.Duration) Tally {
	if gap <= 0 {
		return t
	}
	l := math.Log(gap.Seconds())
	t.Paced++
	t.PaceLogSum += l
	t.PaceLogSq += l * l
	return t
}

// add returns the sum of two tallies of the same release.
func (t Tally) add(other Tally) Tally {
	t.Requests += other.Requests
	t.Failures += other.Failures
	t.Timed += other.Timed
	t.Slow += other.Slow
	t.LogSum += other.LogSum
	t.LogSq += other.LogSq
	t.Paced += other.Paced
	t.PaceLogSum += other.PaceLogSum
	t.PaceLogSq += other.PaceLogSq
	return t
}

// Comparison is what a roll-out is judged by, for logs.
type Comparison struct {
	// Requests and Failures are the target's attempts, Others and OtherFailures those of
	// the other releases.
	Requests      uint64
	Failures      uint64
	Others        uint64
	OtherFailures uint64
	// Slow and OtherSlow are the answers that took several times as long as expected.
	Slow      uint64
	OtherSlow uint64
	// LogLikelihood is the logarithm of how much likelier the failures are for a bad
	// release than for a good one, and Healthy whether the release counts as healthy.
	LogLikelihood float64
	Healthy       bool
	// Timed and Paced are the numbers of answers of the target whose time to the first
	// byte and whose pace are compared; TimeGap and PaceGap are the mean differences of
	// the logarithms to the old release.
	Timed   uint64
	TimeGap float64
	Paced   uint64
	PaceGap float64
}

// Compare returns what the target of a roll-out is judged by.
func (m *Monitor) Compare(target string, elapsed time.Duration) Comparison {
	all, _ := m.compare(target)
	e := Comparison{Requests: all.next.Requests, Failures: all.next.Failures, Timed: all.next.Timed, Others: all.old.Requests, OtherFailures: all.old.Failures}
	e.LogLikelihood, e.Healthy = all.failures().logLikelihoodRatio(badFailureDifference), m.isShownHealthy(target, elapsed)
	e.Slow, e.OtherSlow = all.next.Slow, all.old.Slow
	if all.next.Timed > 0 && all.old.Timed > 0 {
		e.TimeGap, _ = timeGap(all.next, all.old)
	}
	n, mean, _ := m.paces(target).gap()
	e.Paced, e.PaceGap = uint64(n), mean
	return e
}

// isFailing reports whether the failures of the next release indicate a bad one, by a
// likelihood ratio test.
func (r releases) isFailing() bool {
	return r.failures().logLikelihoodRatio(badFailureDifference) > badLogLikelihood
}

// isSlow reports whether the next release is slower than the old one: the
// difference of their mean logarithms is above slowLogRatio and above slowSigmas
// standard errors.
func isSlow(next, old Tally) bool {
	if next.Timed < minTimedAnswers || old.Timed < minTimedAnswers {
		return false
	}
	gap, spread := timeGap(next, old)
	sigmas := slowSigmas
	if (releases{next: next, old: old}).slowAnswers().logLikelihoodRatio(badFailureDifference) < 0 {
		sigmas = unsupportedSlowSigmas
	}
	return gap > slowLogRatio && gap > sigmas*spread
}

// timeGap returns the difference of the mean logarithms of two releases, and its standard
// error.
func timeGap(next, old Tally) (gap, spread float64) {
	nextMean, nextVar := next.moments()
	oldMean, oldVar := old.moments()
	return nextMean - oldMean, math.Sqrt(nextVar/float64(next.Timed) + oldVar/float64(old.Timed))
}

// moments returns the mean and the variance of the logarithms.
func (t Tally) moments() (mean, variance float64) {
	n := float64(t.Timed)
	mean = t.LogSum / n
	return mean, max(t.LogSq/n-mean*mean, 0.01)
}
