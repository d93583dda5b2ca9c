package rollout

import "math"

type (
	// paceComparison compares the time between the events of streams at two releases,
	// within groups of streams of the same route and model.
	//
	// It answers a release that is several times slower on a part of its requests and
	// whose caches are empty. Its servers read whole prompts, and engines queue them, so
	// that the time to the first byte varies more than the fault changes it, and the few
	// answers of a canary do not show the difference. The pace of events depends on
	// neither.
	paceComparison struct {
		groups map[paceGroup]releasePaces
	}

	paceGroup struct{ route, model string }

	// releasePaces are the tallies of the new and the old release.
	releasePaces struct{ next, old Tally }
)

func (c *paceComparison) add(t Tally, target string) {
	if c.groups == nil {
		c.groups = make(map[paceGroup]releasePaces)
	}
	key := paceGroup{t.Route, t.Model}
	g := c.groups[key]
	if t.Release == target {
		g.next = g.next.add(t)
	} else {
		g.old = g.old.add(t)
	}
	c.groups[key] = g
}

// gap returns the number of compared streams of the new release, the mean difference of
// the logarithms, and its standard error.
func (c *paceComparison) gap() (n, mean, deviation float64) {
	var groups, squares, oldError float64
	for _, g := range c.groups {
		if g.next.Paced == 0 || g.old.Paced < minPacedAnswers {
			continue
		}
		weight := float64(g.next.Paced)
		nextMean := g.next.PaceLogSum / weight
		oldMean := g.old.PaceLogSum / float64(g.old.Paced)
		n += weight
		groups++
		mean += weight * (nextMean - oldMean)
		squares += g.next.PaceLogSq - weight*nextMean*nextMean
		oldVariance := g.old.PaceLogSq/float64(g.old.Paced) - oldMean*oldMean
		oldError += weight * weight * oldVariance / float64(g.old.Paced)
	}
	if n == 0 {
		return 0, 0, 0
	}
	variance := max(squares/max(n-groups, 1), minPaceVariance)
	return n, mean / n, math.Sqrt(variance/n + oldError/(n*n))
}

// isSlow reports whether the new release is slower: the difference is above
// slowPaceLogRatio and above slowSigmas standard errors.
func (c *paceComparison) isSlow() bool {
	n, mean, deviation := c.gap()
	return n >= minTimedAnswers && mean > slowPaceLogRatio && mean > slowSigmas*deviation
}

// showsUsualPace reports whether enough streams were compared and their pace excludes a
// slow release.
func (c *paceComparison) showsUsualPace() bool {
	n, mean, deviation := c.gap()
	return n >= minTimedAnswers && mean+slowBoundSigmas*deviation < badSlowLogRatio
}
