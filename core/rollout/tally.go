package rollout

import "math"

const (
	// canaryOfAllowed keeps the canary below the share that the operator
	// allows, as entries draw at random and repeats add to it.
	canaryOfAllowed = 0.6

	// leastSamples is how many answers of the target have to be known before
	// its times are compared.
	leastSamples = 6

	// badDifference is the failure rate of a bad release above that of the
	// others: operators call one bad that fails a fifth more of its requests.
	badDifference = 0.2

	// usualFailures is the least rate of failures that a good release is
	// expected to show, so that a single failure decides nothing.
	leastFailures = 0.03

	// badLikelihood is the logarithm of how much likelier a bad release has to
	// be than a good one: e^4, about 55 to 1.
	badLikelihood = 4.0

	// slowRatio is the ratio of mean times, as a logarithm, from which a
	// release counts as slow; the cold prompt cache of new backend servers
	// costs less. slowSigmas is how far it has to be outside chance.
	slowRatio  = 0.6
	slowSigmas = 3.0
)

// Tally counts how the attempts of one route went at one release, since the
// start of the entry that counted. Times are the natural logarithms of
// milliseconds until the first byte: their sum, and the sum of their squares.
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

// WithAttempt returns the tally with one more attempt. Milliseconds are 0 when
// no answer began.
func (t Tally) WithAttempt(failed bool, milliseconds float64) Tally {
	t.Requests++
	if failed {
		t.Failures++
	}
	if milliseconds > 0 {
		l := math.Log(milliseconds)
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
	if fails(newAll, oldAll) {
		return "requests fail"
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
