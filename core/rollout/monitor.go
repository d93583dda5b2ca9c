package rollout

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// healthLogLikelihood is the log-likelihood ratio from which a release counts as
	// healthy: a bad one, see badDifference, reaches it with a probability of at most
	// e^-4.1, 2%. At a busy service it takes 18 answers without a failure.
	healthLogLikelihood = 4.1

	// routeLogLikelihood is the same on one route. A fault of one route reaches it with
	// at most 10%, and has to hide from the other tests as well.
	routeLogLikelihood = 2.3

	// leaningLogLikelihood is the ratio from which the target may take all requests
	// within the operator's bound, while the old servers still run: seven answers
	// without a failure.
	leaningLogLikelihood = 1.6

	// visibleFraction is the part of a service's requests that has to show its health
	// if there are too few for the other bounds.
	visibleFraction = 0.5

	// busyRouteShare is the share of a service's requests from which the health of a
	// route has to be shown by itself.
	busyRouteShare = 0.15

	// badAnswers is the number of bad answers after which operators want a release to get
	// no more requests. A release that needs longer than harmTime for them is harmless
	// enough to be completed on less evidence: a quiet service has no more.
	badAnswers = 50
	harmTime   = time.Minute

	// noisyDifference is the smallest difference in failure rate that showsHealth tests
	// against, in failure rates of the old release: a fault that is smaller than that does
	// not show among the usual failures of so few requests.
	noisyDifference = 2

	// maxBadDifference is the largest difference in failure rate that showsHealth tests
	// against, however quiet the service is.
	maxBadDifference = 0.8

	// changeLogLikelihood is the value of the cumulative sum from which a release counts
	// as bad, whatever it did before. A good release that fails 3% of its requests
	// reaches it about once in 7,000.
	changeLogLikelihood = 7.0

	// badSlowLogRatio is the mean log ratio of a release that is bad because it is slow:
	// 30% of its answers take eight times as long.
	badSlowLogRatio = 0.6

	// slowBoundSigmas is the number of standard errors within which the time of a healthy
	// release has to stay below badSlowLogRatio: 5% of the bad ones are taken for healthy.
	slowBoundSigmas = 1.64

	// slowAnswersDoubt is the log-likelihood ratio of the number of slow answers above
	// which the mean times alone do not show that a release is healthy.
	slowAnswersDoubt = 1.0
)

type (
	// Monitor accumulates the attempts that entries report during one roll-out. Counts of
	// an entry that has restarted or is gone still count. The zero value is ready to use.
	Monitor struct {
		latest map[reporter]map[attemptGroup]Tally
		sums   map[attemptGroup]Tally
		// changes are the cumulative sums of the log-likelihood ratios that never fall
		// below 0, by route, and over all routes under "". They show a fault that begins
		// after many good answers.
		changes map[string]float64
		// fullSince is the time after the order at which the target was to take all
		// requests, 0 if this control did not decide it.
		fullSince time.Duration
		// hasNoOthers is set while the target has servers and no other release has any.
		hasNoOthers bool
	}

	reporter struct {
		entry       string
		incarnation uint64
	}

	attemptGroup struct{ release, route, model string }

	// releases are the attempts at the target and at the other releases.
	releases struct{ next, old Tally }
)

// Report is what one start of an entry has counted since the order of a roll-out.
type Report struct {
	Entry       string
	Incarnation uint64
	Tallies     []Tally
}

// Observe adds what the reports have counted since the last call. Tallies of other
// services and of other orders are ignored.
func (m *Monitor) Observe(o Order, reports []Report) {
	if m.sums == nil {
		m.latest, m.sums, m.changes = make(map[reporter]map[attemptGroup]Tally), make(map[attemptGroup]Tally), make(map[string]float64)
	}
	recent := make(map[string]Tally)
	for _, r := range reports {
		key := reporter{r.Entry, r.Incarnation}
		for _, t := range r.Tallies {
			if !t.countsFor(o) {
				continue
			}
			group := attemptGroup{t.Release, t.Route, t.Model}
			if m.latest[key] == nil {
				m.latest[key] = make(map[attemptGroup]Tally)
			}
			added := t.since(m.latest[key][group])
			m.latest[key][group] = t
			m.sums[group] = m.sums[group].add(added)
			if t.Release == o.Target {
				recent[t.Route], recent[""] = recent[t.Route].add(added), recent[""].add(added)
			}
		}
	}
	all, byRoute := m.compare(o.Target)
	for route, t := range recent {
		old := byRoute[route].old
		if route == "" {
			old = all.old
		}
		added := releases{next: t, old: old}.failures().logLikelihoodRatio(badFailureDifference)
		m.changes[route] = max(m.changes[route]+added, 0)
	}
}

// ObserveServers takes the releases of all servers of the order's service that take
// requests.
func (m *Monitor) ObserveServers(o Order, releases []string) {
	m.hasNoOthers = slices.Contains(releases, o.Target) && !slices.ContainsFunc(releases, o.MayServe)
}

// compare returns the attempts at the target and at the others, in all and by route.
func (m *Monitor) compare(target string) (releases, map[string]releases) {
	var all releases
	byRoute := make(map[string]releases)
	for group, t := range m.sums {
		r := byRoute[group.route]
		if group.release == target {
			all.next, r.next = all.next.add(t), r.next.add(t)
		} else {
			all.old, r.old = all.old.add(t), r.old.add(t)
		}
		byRoute[group.route] = r
	}
	return all, byRoute
}

func (m *Monitor) paces(target string) *paceComparison {
	var paces paceComparison
	for group, t := range m.sums {
		t.Release, t.Route, t.Model = group.release, group.route, group.model
		paces.add(t, target)
	}
	return &paces
}

// counts returns the number of requests at the target and at all releases.
func (m *Monitor) counts(target string) (seen, all uint64) {
	r, _ := m.compare(target)
	return r.next.Requests, r.next.Requests + r.old.Requests
}

// isOnlyRelease reports whether the target has been the only release since the order. A
// release that has lost all of its servers meanwhile may still be the one to go back to.
func (m *Monitor) isOnlyRelease(target string) bool {
	seen, all := m.counts(target)
	return m.hasNoOthers && seen == all
}

// rollbackReason returns the reason to roll the target back, or "". It compares the
// releases over all routes and on each route, as a release can be bad on a single
// one.
func (m *Monitor) rollbackReason(target string) string {
	all, byRoute := m.compare(target)
	switch {
	case all.isFailing():
		return "requests fail"
	case m.changes[""] > changeLogLikelihood:
		return "requests fail now"
	case isSlow(all.next, all.old):
		return "requests are slow"
	case m.paces(target).isSlow():
		return "events are slow"
	}
	for _, name := range slices.Sorted(maps.Keys(byRoute)) {
		r := byRoute[name]
		switch {
		case r.isFailing():
			return "requests fail on route " + name
		case m.changes[name] > changeLogLikelihood:
			return "requests fail now on route " + name
		case isSlow(r.next, r.old):
			return "requests are slow on route " + name
		}
	}
	return ""
}

// isLeaningGood reports whether the target may take all requests for a while.
func (m *Monitor) isLeaningGood(target string, elapsed time.Duration) bool {
	all, _ := m.compare(target)
	return all.failures().showsHealth(leaningLogLikelihood, elapsed)
}

// isShownHealthy reports whether the answers in the time since the order show that the
// target is no worse than the other releases: over all routes, on each busy one, and in
// time.
func (m *Monitor) isShownHealthy(target string, elapsed time.Duration) bool {
	all, byRoute := m.compare(target)
	if !all.failures().showsHealth(healthLogLikelihood, elapsed) || m.changes[""] > leaningLogLikelihood {
		return false
	}
	slow := all.slowAnswers()
	isInTime := all.showsUsualTimes() || m.paces(target).showsUsualPace()
	if !slow.showsHealth(healthLogLikelihood, elapsed) && (!isInTime || slow.logLikelihoodRatio(badFailureDifference) > slowAnswersDoubt) {
		return false
	}
	for _, r := range byRoute {
		isBusy := float64(r.requests()) >= busyRouteShare*float64(all.requests())
		if isBusy && !r.failures().showsHealth(routeLogLikelihood, elapsed) {
			return false
		}
	}
	return true
}

// busyRoutes returns the requests per second of each busy route.
func (m *Monitor) busyRoutes(elapsed time.Duration) map[string]float64 {
	var all uint64
	byRoute := make(map[string]uint64)
	for group, t := range m.sums {
		all += t.Requests
		byRoute[group.route] += t.Requests
	}
	rates := make(map[string]float64)
	for route, n := range byRoute {
		if float64(n) >= busyRouteShare*float64(all) {
			rates[route] = rate(n, elapsed)
		}
	}
	return rates
}

func (r releases) requests() uint64 { return r.next.Requests + r.old.Requests }

// showsUsualTimes reports whether the times to the first byte exclude a slow release.
func (r releases) showsUsualTimes() bool {
	if r.next.Timed < minTimedAnswers || r.old.Timed < minTimedAnswers {
		return false
	}
	gap, spread := timeGap(r.next, r.old)
	return gap+slowBoundSigmas*spread < badSlowLogRatio
}

func (r releases) failures() binary {
	return binary{r.next.Failures, r.next.Requests, r.old.Failures, r.old.Requests}
}

func (r releases) slowAnswers() binary {
	return binary{r.next.Slow, r.next.Timed, r.old.Slow, r.old.Timed}
}

// binary compares how many of the answers of the next and of the old release are bad in
// one respect.
type binary struct{ nextBad, next, oldBad, old uint64 }

// usualRate returns the assumed share of bad answers of a good release.
func (b binary) usualRate() float64 {
	rate := minFailureRate
	if b.old > 0 {
		rate = max(rate, (float64(b.oldBad)+1)/(float64(b.old)+2))
	}
	return rate
}

// logLikelihoodRatio returns the logarithm of how much likelier the answers are for a bad
// release than for a good one. A good release has bad answers as often as the old one, a
// bad one more often by the difference.
func (b binary) logLikelihoodRatio(difference float64) float64 {
	usual := min(b.usualRate(), 1-difference-0.05)
	return float64(b.nextBad)*math.Log((usual+difference)/usual) + float64(b.next-b.nextBad)*math.Log((1-usual-difference)/(1-usual))
}

// showsHealth reports whether the log-likelihood ratio is below minus the bound, or below
// what a part of the few requests of a quiet service could show.
func (b binary) showsHealth(bound float64, elapsed time.Duration) bool {
	all := b.next + b.old
	difference := min(max(badDifference(highRate(all, elapsed)), noisyDifference*b.usualRate()), maxBadDifference)
	possible := binary{next: uint64(visibleFraction * float64(all)), oldBad: b.oldBad, old: b.old}
	return b.logLikelihoodRatio(difference) <= max(-bound, possible.logLikelihoodRatio(difference))
}

// badDifference returns the difference in failure rate of a release that does harm at a
// service with the given requests per second: it has badAnswers within harmTime.
func badDifference(rate float64) float64 {
	expected := rate * harmTime.Seconds()
	if expected <= 0 {
		return maxBadDifference
	}
	return min(max(badAnswers/expected, badFailureDifference), maxBadDifference)
}

// countsFor reports whether the tally is of the order's roll-out. Entries of earlier
// builds don't say of which.
func (t Tally) countsFor(o Order) bool {
	return t.Service == o.Service && (t.OrderedMS == 0 || o.Ordered.IsZero() || t.OrderedMS == o.Ordered.UnixMilli()) && !slices.Contains(o.RolledBack, t.Release)
}

// since returns what was counted after an earlier tally of the same group.
func (t Tally) since(earlier Tally) Tally {
	if t.Requests < earlier.Requests || t.Failures < earlier.Failures || t.Timed < earlier.Timed || t.Slow < earlier.Slow || t.Paced < earlier.Paced {
		return t // the entry has begun to count anew
	}
	t.Requests -= earlier.Requests
	t.Failures -= earlier.Failures
	t.Timed -= earlier.Timed
	t.Slow -= earlier.Slow
	t.LogSum -= earlier.LogSum
	t.LogSq -= earlier.LogSq
	t.Paced -= earlier.Paced
	t.PaceLogSum -= earlier.PaceLogSum
	t.PaceLogSq -= earlier.PaceLogSq
	return t
}

// rate returns the requests per second over a time, 0 if it is unknown.
func rate(requests uint64, over time.Duration) float64 {
	if over <= 0 {
		return 0
	}
	return float64(requests) / over.Seconds()
}
