package rollout

import (
	"math"
	"time"
)

const (
	// evidenceRequests is the number of requests that the target of a quiet service gets
	// before it takes all, if the bound allows them: about twice what showsHealth needs
	// without a failure.
	evidenceRequests = 40

	// usualEvidence is the number of requests from which the usual share of the canary is
	// enough. A larger share overloads the canary of an engine service, whose caches are
	// empty: its good releases looked slow in 5 of 8 roll-outs, and in none of 8 with
	// the usual share.
	usualEvidence = 20

	// canaryBudgetFraction is the part of the bound, less what the end of the roll-out
	// needs, that the canary is planned to use. The rest is for the scatter of both.
	canaryBudgetFraction = 0.85

	// boundSigmas is the number of standard deviations by which the requests of the rest
	// of a roll-out may exceed their expectation.
	boundSigmas = 2

	// quietRequests is the number of requests within a roll-out below which a service is
	// quiet: its second half alone has too few to show that the target is healthy.
	quietRequests = 80

	// safeShare is the part of the operator's share that a release may use before its health
	// is shown. The rest is for an end that is busier still, and for requests that the leader
	// does not know of yet.
	safeShare = 0.95

	// busierEnd is how much busier the end of a roll-out may be than its mean.
	busierEnd = 1.1

	// repeatedEnd is the same for the time in which the target takes all requests. A release
	// that fails half of them under load gets each of those once more: 1.43 times the average
	// on a day with such a release. What is above it has to fit into safeShare and
	// boundSigmas.
	repeatedEnd = 1.25
)

// Budget is the operator's bound on the requests that a bad release may get between the
// order of its roll-out and the end of the duration.
type Budget struct {
	// Share is the share, 0 to 1, of the service's requests in that time.
	Share float64
	// Slack is the number of requests beyond the share. A quiet service shows a fault
	// within its roll-out only if the canary uses it.
	Slack float64
}

// canaryShare returns the share of the requests that the target gets during the next
// stages. Without slack it is CanaryShare. With slack it is as much as evidenceRequests
// call for and the bound allows.
func (b Budget) canaryShare(p progress, length time.Duration) float64 {
	return b.shareOf(b.planned(p)-float64(p.seen), p.rate, length)
}

// routeShares returns the shares of the busy routes' requests, given the rate of each,
// nil if the usual share is enough. A request without a session may go to the target by
// its route's share, so that the quieter of the routes shows its health as well. Once the
// planned number has been reached, it is 0; the sessions at the target stay there.
func (b Budget) routeShares(p progress, length time.Duration, rates map[string]float64) map[string]float64 {
	planned := b.planned(p)
	if planned <= 0 {
		return nil
	}
	shares := make(map[string]float64, len(rates))
	for route, rate := range rates {
		shares[route] = 0
		if planned > float64(p.seen) {
			shares[route] = b.shareOf((planned-float64(p.seen))/float64(len(rates)), rate, length)
		}
	}
	return shares
}

// planned returns the number of requests that the target is planned to get before it
// takes all, or 0 if the usual share is enough.
func (b Budget) planned(p progress) float64 {
	usual := CanaryShare(b.Share) * p.rate * fractionOf(p.duration, fullStart-canaryStart).Seconds()
	if b.Slack <= 0 || usual >= usualEvidence {
		return 0
	}
	end := p.rate * (p.duration - p.completion).Seconds() * busierEnd
	bound := b.Share*p.rate*p.duration.Seconds() + b.Slack
	return min(canaryBudgetFraction*(bound-end), evidenceRequests)
}

func (b Budget) shareOf(planned, rate float64, length time.Duration) float64 {
	usual := CanaryShare(b.Share)
	expected := rate * length.Seconds()
	if expected <= 0 {
		return usual
	}
	return min(max(usual, planned/expected), 1)
}

// progress is how far a roll-out has come.
type progress struct {
	// seen is the number of requests at the target so far, rate that of all requests per
	// second.
	seen uint64
	rate float64
	// completion is the time from the order to the completion, and duration to the end.
	completion, duration time.Duration
}

// highRate returns the highest rate of requests per second that the number of requests in
// a time makes likely: the rate of a quiet service is not known well.
func highRate(requests uint64, over time.Duration) float64 {
	return rate(requests, over) * (1 + boundSigmas/math.Sqrt(float64(max(requests, 1))))
}

// allowsAll reports whether the target may take all requests for the rest of the
// roll-out, given the numbers of requests at the target and at all releases in the time
// so far.
func (b Budget) allowsAll(seen, all uint64, elapsed, rest time.Duration) bool {
	expected := highRate(all, elapsed) * rest.Seconds()
	most := float64(seen) + repeatedEnd*expected + boundSigmas*math.Sqrt(expected)
	return most <= safeShare*b.Share*(float64(all)+expected)+b.Slack
}

// allowsHealthy is allowsAll for a release that is shown healthy: one that is not would have
// to hide its fault until it has all requests, and the whole bound may be used.
func (b Budget) allowsHealthy(seen, all uint64, elapsed, rest time.Duration) bool {
	expected := rate(all, elapsed) * rest.Seconds()
	most := float64(seen) + busierEnd*expected + boundSigmas*math.Sqrt(expected)
	return most <= b.Share*(float64(all)+expected)+b.Slack
}
