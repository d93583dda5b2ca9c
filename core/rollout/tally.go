package rollout

import (
	"math"
	"time"
)

const (
	// canaryOfAllowed keeps the canary, for two fifths of the time, far below the
	// share that the operator allows of the whole: the rest is for the end, when
	// the target takes everything.
	canaryOfAllowed = 0.4

	// badDifference is the failure rate of a bad release above that of the
	// others: operators call one bad that fails a fifth more of its requests.
	badDifference = 0.2

	// leastFailures is the least rate of failures that a good release is
	// expected to show, so that a single failure decides nothing.
	leastFailures = 0.03

	// badLikelihood is the logarithm of how much likelier a bad release has to
	// be than a good one: e^4, about 55 to 1.
	badLikelihood = 4.0

	// leastSamples is how many answers of the target have to be known before
	// its times are compared.
	leastSamples = 6

	// slowRatio is the difference of the mean logarithms from which a release
	// counts as slow: e^0.25, 28% longer than expected. Of good releases on the
	// bench, whose caches begin empty, it was 0.15 at most once 16 answers were
	// known and mostly below 0; of slow ones 0.1 to 1. SlowSigmas is how far it
	// has to be outside chance: it is looked at some fifty times.
	slowRatio  = 0.25
	slowSigmas = 2.5
)

// Tally counts how the attempts of one route went at one release, since the
// start of the entry that counted. Of the answers that began, Timed, it holds
// the natural logarithms of the time to the first byte over the expected one:
// their sum, and the sum of their squares.
type Tally struct {
	Service  string  `json:"service"`
	Release  string  `json:"release"`
	Route    string  `json:"route"`
	Requests uint64  `json:"requests"`
	Failures uint64  `json:"failures"`
	Timed    uint64  `json:"timed"`
	LogSum   float64 `json:"log_sum"`
	LogSq    float64 `json:"log_sq"`
}

// WithAttempt returns the tally with one more attempt. Took is the time to the
// first byte, 0 when no answer began; expected is what it takes at a server of
// the old release with such a cache.
func (t Tally) WithAttempt(failed bool, took, expected time.Duration) Tally {
	t.Requests++
	if failed {
		t.Failures++
	}
	if took > 0 && expected > 0 {
		l := math.Log(took.Seconds() / expected.Seconds())
		t.Timed++
		t.LogSum += l
		t.LogSq += l * l
	}
	return t
}

// plus returns the sum of two tallies of the same release.
func (t Tally) plus(other Tally) Tally {
	t.Requests += other.Requests
	t.Failures += other.Failures
	t.Timed += other.Timed
	t.LogSum += other.LogSum
	t.LogSq += other.LogSq
	return t
}

// judge returns why the target is bad, or nothing. It looks at each route by
// itself, as a release may be bad for one only, and at all together.
func judge(service, target string, tallies []Tally) string {
	var newAll, oldAll Tally
	newBy, oldBy := make(map[string]Tally), make(map[string]Tally)
	for _, t := range tallies {
		if t.Service != service {
			continue
		}
		if t.Release == target {
			newAll, newBy[t.Route] = newAll.plus(t), newBy[t.Route].plus(t)
		} else {
			oldAll, oldBy[t.Route] = oldAll.plus(t), oldBy[t.Route].plus(t)
		}
	}
	switch {
	case fails(newAll, oldAll):
		return "requests fail"
	case isSlow(newAll, oldAll):
		return "requests are slow"
	}
	for name, t := range newBy {
		switch {
		case fails(t, oldBy[name]):
			return "requests fail on route " + name
		case isSlow(t, oldBy[name]):
			return "requests are slow on route " + name
		}
	}
	return ""
}

// fails compares the likelihood of the failures at a bad release with that at
// a good one, which fails as often as the old release.
func fails(next, old Tally) bool {
	good := leastFailures
	if old.Requests > 0 {
		good = max(good, (float64(old.Failures)+1)/(float64(old.Requests)+2))
	}
	good = min(good, 1-badDifference-0.05)
	bad := good + badDifference
	failed, ok := float64(next.Failures), float64(next.Requests-next.Failures)
	return failed*math.Log(bad/good)+ok*math.Log((1-bad)/(1-good)) > badLikelihood
}

func isSlow(next, old Tally) bool {
	if next.Timed < leastSamples || old.Timed < leastSamples {
		return false
	}
	nextMean, nextVar := next.moments()
	oldMean, oldVar := old.moments()
	gap := nextMean - oldMean
	spread := math.Sqrt(nextVar/float64(next.Timed) + oldVar/float64(old.Timed))
	return gap > slowRatio && gap > slowSigmas*spread
}

// moments returns mean and variance of the logarithms.
func (t Tally) moments() (mean, variance float64) {
	n := float64(t.Timed)
	mean = t.LogSum / n
	return mean, max(t.LogSq/n-mean*mean, 0.01)
}

// requestsOf returns the requests of one release of a service and of all.
func requestsOf(service string, tallies []Tally, release string) (one, all uint64) {
	for _, t := range tallies {
		if t.Service != service {
			continue
		}
		all += t.Requests
		if t.Release == release {
			one += t.Requests
		}
	}
	return one, all
}
