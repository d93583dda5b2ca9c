package experiment

import (
	"context"
	"math/rand/v2"
	"time"

	"rosereach/core/rollout"
	"rosereach/core/version"
	"rosereach/internal/model"
)

const (
	// exposureRate is the traffic in requests per second. The share ratedShare of
	// the old version's answers is rated, and the same share of the new version's
	// once it has full traffic; during the roll-out all its answers are rated.
	exposureRate = 20.0
	baseRated    = 0.05

	// The mean and standard deviation of the answers' quality, and how much lower
	// the mean of a bad version is.
	exposureQuality = 0.8
	exposureSpread  = 0.12
	exposureWorse   = 0.2

	// exposureStep is the time between two decisions on a roll-out.
	exposureStep = 5 * time.Second

	// The number of healthy roll-outs for each seed, and the time that each has.
	healthyRuns = 100
	healthyTime = 2 * time.Hour

	// guardedSteps is the number of attempts in which an entry must not hold a
	// version of which 1% fail.
	guardedSteps = 100_000
)

var (
	newVersion = version.Ref{Model: "small", Version: "v2"}
	oldVersion = version.Ref{Model: "small", Version: "v1"}
)

type (
	// exposureWorld simulates one roll-out with its traffic and delayed
	// ratings. With failover set, the leader changes before each decision;
	// PastRatings then keeps all ratings, as the new leader receives some of
	// them again.
	exposureWorld struct {
		clock    *model.Clock
		random   *rand.Rand
		rollout  rollout.Rollout
		inbox    []rollout.Rating
		sequence uint64
		worse    float64
		exposed  float64
		doneAt   time.Time
		heldAt   time.Time
		actions  []rollout.Kind
		failover bool
		log      []rollout.Rating
	}
)

func exposureExperiment() Experiment {
	return newSeeded("exposure", "hold bad versions early, and let healthy ones through", decisionSeeds, measureExposure)
}

// measureExposure simulates roll-outs of healthy versions and of bad ones.
func measureExposure(ctx context.Context, opts Options) (Result, error) {
	seeds, err := overSeeds(ctx, opts.Seeds, opts.Progress, func(seed uint64) samples {
		var s samples
		s = append(s, badCanary(seed)...)
		s = append(s, healthyRollouts(seed)...)
		s = append(s, turnsBad(seed)...)
		s = append(s, guarded(seed)...)
		s = append(s, failovers(seed)...)
		return s
	})
	return Result{Experiment: "exposure", Seeds: opts.Seeds, Rows: rowsOf(seeds)}, err
}

func newExposureWorld(seed, stream uint64, worse float64) *exposureWorld {
	clock := model.NewClock()
	return &exposureWorld{
		clock: clock, random: rand.New(rand.NewPCG(seed, stream)), worse: worse,
		rollout: rollout.Start(clock.Now(), rollout.DefaultPlan(newVersion, oldVersion)),
	}
}

// step simulates the traffic of one step, then decides on the roll-out.
func (w *exposureWorld) step() {
	share := w.rollout.Share()
	requests := exposureRate * exposureStep.Seconds()
	w.exposed += requests * share
	rated := share
	if w.rollout.State == rollout.Done {
		rated *= baseRated
	}
	w.rate(newVersion, requests*rated, exposureQuality-w.worse)
	w.rate(oldVersion, requests*(1-share)*baseRated, exposureQuality)
	w.clock.Run(exposureStep)
	w.decide()
}

// rate schedules the delayed ratings of n answers on average.
func (w *exposureWorld) rate(ref version.Ref, n, quality float64) {
	count := int(n)
	if w.random.Float64() < n-float64(count) {
		count++
	}
	for range count {
		answerQuality := min(max(quality+w.random.NormFloat64()*exposureSpread, 0), 1)
		rating, delay, _ := model.Rate(answerQuality, true, w.random)
		w.clock.After(delay, func() {
			w.sequence++
			w.inbox = append(w.inbox, rollout.Rating{Sequence: w.sequence, Ref: ref, Quality: rating})
		})
	}
}

// decide advances the roll-out by the new ratings. With failover set, the leader
// also receives the last 200 ratings again that were counted before.
func (w *exposureWorld) decide() {
	const resent = 200
	evidence := w.inbox
	if w.failover {
		w.log = append(w.log, w.inbox...)
		evidence = w.log[max(len(w.log)-len(w.inbox)-resent, 0):]
	}
	w.inbox = nil
	next, action := rollout.Next(w.clock.Now(), w.rollout, rollout.Evidence{Ratings: evidence})
	w.rollout = next
	if action.Kind != rollout.Keep {
		w.actions = append(w.actions, action.Kind)
	}
	switch action.Kind {
	case rollout.Finish:
		w.doneAt = w.clock.Now()
	case rollout.Hold:
		w.heldAt = w.clock.Now()
	}
}

// runUntilHeld runs until the roll-out is held or the clock reaches the limit, and
// reports whether it is held.
func (w *exposureWorld) runUntilHeld(limit time.Duration) bool {
	for w.clock.Since() < limit && w.heldAt.IsZero() {
		w.step()
	}
	return !w.heldAt.IsZero()
}

// badCanary rolls out a version that is worse from the start.
func badCanary(seed uint64) samples {
	w := newExposureWorld(seed, 31, exposureWorse)
	held := w.runUntilHeld(time.Hour)
	var s samples
	s.add("canary worse by 0.2: held within the hour", "share", boolean(held), atLeast(1))
	s.add("canary worse by 0.2: share of the hour's traffic", "share", w.exposed/(exposureRate*3600), atMost(0.01))
	s.add("canary worse by 0.2: time until held", "min", w.heldAt.Sub(model.Epoch).Minutes(), nil)
	return s
}

func healthyRollouts(seed uint64) samples {
	var held, done, minutes float64
	for i := range uint64(healthyRuns) {
		w := newExposureWorld(seed, 1000+i, 0)
		if w.runUntilHeld(healthyTime) {
			held++
		}
		if !w.doneAt.IsZero() {
			done++
			minutes += w.doneAt.Sub(model.Epoch).Minutes()
		}
	}
	var s samples
	s.add("healthy: falsely held", "share", held/healthyRuns, atMost(0.01))
	s.add("healthy: at full traffic within two hours", "share", done/healthyRuns, nil)
	s.add("healthy: mean time to full traffic", "min", minutes/max(done, 1), nil)
	return s
}

// turnsBad rolls out a version whose quality falls once it has
// full traffic.
func turnsBad(seed uint64) samples {
	w := newExposureWorld(seed, 41, 0)
	for w.clock.Since() < 3*time.Hour && w.doneAt.IsZero() {
		w.step()
	}
	turnedAt, exposedBefore := w.clock.Now(), w.exposed
	w.worse = exposureWorse
	w.runUntilHeld(w.clock.Since() + time.Hour)
	var s samples
	s.add("turns bad at full traffic: time until held", "min", w.heldAt.Sub(turnedAt).Minutes(), nil)
	s.add("turns bad at full traffic: share of the hour's traffic", "share", (w.exposed-exposedBefore)/(exposureRate*3600), nil)
	return s
}

// guarded counts the attempts at one entry until its guard holds a failing
// version, and its wrong holds of a version of which 1% fail.
func guarded(seed uint64) samples {
	random := rand.New(rand.NewPCG(seed, 51))
	attemptsUntilHeld := func(g *rollout.Guard, failureRate float64, limit int) int {
		for i := 1; i <= limit; i++ {
			if g.Observe(newVersion, random.Float64() < failureRate) {
				return i
			}
		}
		return limit + 1
	}
	var s samples
	for _, failing := range []struct {
		name  string
		share float64
	}{{"all", 1}, {"three quarters of", 0.75}} {
		worst := 0
		for range 100 {
			g := rollout.NewGuard()
			attemptsUntilHeld(g, 0.01, 500)
			worst = max(worst, attemptsUntilHeld(g, failing.share, 1000))
		}
		s.add("entry holds when "+failing.name+" attempts fail, most of 100", "requests", float64(worst), atMost(20))
	}
	wrongHolds := 0.0
	if attemptsUntilHeld(rollout.NewGuard(), 0.01, guardedSteps) <= guardedSteps {
		wrongHolds = 1
	}
	s.add("entry's wrong holds in 100,000 attempts with 1% failing", "holds", wrongHolds, atMost(0))
	return s
}

// failovers compares the actions and the exposure of a roll-out with and
// without changes of the leader, after which some ratings arrive again.
func failovers(seed uint64) samples {
	var differing float64
	for _, worse := range []float64{0, exposureWorse} {
		stable, failedOver := newExposureWorld(seed, 61, worse), newExposureWorld(seed, 61, worse)
		failedOver.failover = true
		stable.runUntilHeld(time.Hour)
		failedOver.runUntilHeld(time.Hour)
		if len(stable.actions) != len(failedOver.actions) || stable.exposed != failedOver.exposed {
			differing++
		}
	}
	var s samples
	s.add("roll-outs that jump or stall under failovers", "of 2", differing, atMost(0))
	return s
}

func boolean(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
