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
	ratedShare   = 0.05

	// The mean and standard deviation of the answers' quality, and how much lower
	// the mean of a bad version is.
	baseQuality    = 0.8
	qualitySpread  = 0.12
	badQualityDrop = 0.2

	// exposureStep is the time between two decisions on a roll-out.
	exposureStep = 5 * time.Second

	// The number of healthy roll-outs for each seed, and the time that each has.
	healthyRuns = 100
	healthyTime = 2 * time.Hour

	// guardAttempts is the number of attempts in which an entry must not hold a
	// version of which 1% fail.
	guardAttempts = 100_000
)

var (
	newVersion = version.Ref{Model: "small", Version: "v2"}
	oldVersion = version.Ref{Model: "small", Version: "v1"}
)

type (
	// rolloutSimulation simulates one roll-out with its traffic and delayed
	// ratings. With failover set, the leader changes before each decision;
	// PastRatings then keeps all ratings, as the new leader receives some of
	// them again.
	rolloutSimulation struct {
		clock           *model.Clock
		random          *rand.Rand
		rollout         rollout.Rollout
		newRatings      []rollout.Rating
		sequence        uint64
		qualityDrop     float64
		exposedRequests float64
		doneAt          time.Time
		heldAt          time.Time
		actions         []rollout.Kind
		failover        bool
		pastRatings     []rollout.Rating
	}
)

func exposureExperiment() Experiment {
	return newWithSeeds("exposure", "hold bad versions early, and let healthy ones through", simulationSeeds, measureExposure)
}

// measureExposure simulates roll-outs of healthy versions and of bad ones.
func measureExposure(ctx context.Context, opts Options) (Result, error) {
	seeds, err := measureSeeds(ctx, opts.Seeds, opts.Progress, func(seed uint64) samples {
		var s samples
		s = append(s, measureBadCanary(seed)...)
		s = append(s, measureHealthyRollouts(seed)...)
		s = append(s, measureLateRegression(seed)...)
		s = append(s, measureGuard(seed)...)
		s = append(s, measureFailovers(seed)...)
		return s
	})
	return Result{Experiment: "exposure", Seeds: opts.Seeds, Rows: rowsOf(seeds)}, err
}

func newRolloutSimulation(seed, stream uint64, worse float64) *rolloutSimulation {
	clock := model.NewClock()
	return &rolloutSimulation{
		clock: clock, random: rand.New(rand.NewPCG(seed, stream)), qualityDrop: worse,
		rollout: rollout.Start(clock.Now(), rollout.DefaultPlan(newVersion, oldVersion)),
	}
}

// step simulates the traffic of one step, then decides on the roll-out.
func (s *rolloutSimulation) step() {
	share := s.rollout.Share()
	requests := exposureRate * exposureStep.Seconds()
	s.exposedRequests += requests * share
	rated := share
	if s.rollout.State == rollout.Done {
		rated *= ratedShare
	}
	s.rate(newVersion, requests*rated, baseQuality-s.qualityDrop)
	s.rate(oldVersion, requests*(1-share)*ratedShare, baseQuality)
	s.clock.Advance(exposureStep)
	s.decide()
}

// rate schedules the delayed ratings of n answers on average.
func (s *rolloutSimulation) rate(ref version.Ref, n, quality float64) {
	count := int(n)
	if s.random.Float64() < n-float64(count) {
		count++
	}
	for range count {
		answerQuality := min(max(quality+s.random.NormFloat64()*qualitySpread, 0), 1)
		rating, delay, _ := model.Rate(answerQuality, true, s.random)
		s.clock.After(delay, func() {
			s.sequence++
			s.newRatings = append(s.newRatings, rollout.Rating{Sequence: s.sequence, Ref: ref, Quality: rating})
		})
	}
}

// decide advances the roll-out by the new ratings. With failover set, the leader
// also receives the last 200 of the ratings that were already counted.
func (s *rolloutSimulation) decide() {
	const resent = 200
	evidence := s.newRatings
	if s.failover {
		s.pastRatings = append(s.pastRatings, s.newRatings...)
		evidence = s.pastRatings[max(len(s.pastRatings)-len(s.newRatings)-resent, 0):]
	}
	s.newRatings = nil
	next, action := rollout.Next(s.clock.Now(), s.rollout, rollout.Evidence{Ratings: evidence})
	s.rollout = next
	if action.Kind != rollout.Keep {
		s.actions = append(s.actions, action.Kind)
	}
	switch action.Kind {
	case rollout.Finish:
		s.doneAt = s.clock.Now()
	case rollout.Hold:
		s.heldAt = s.clock.Now()
	}
}

// runUntilHeld runs until the roll-out is held or the clock reaches the limit, and
// reports whether it is held.
func (s *rolloutSimulation) runUntilHeld(limit time.Duration) bool {
	for s.clock.Elapsed() < limit && s.heldAt.IsZero() {
		s.step()
	}
	return !s.heldAt.IsZero()
}

// measureBadCanary rolls out a version that is worse from the start.
func measureBadCanary(seed uint64) samples {
	sim := newRolloutSimulation(seed, 31, badQualityDrop)
	held := sim.runUntilHeld(time.Hour)
	var s samples
	s.add("canary worse by 0.2: held within the hour", "share", boolToFloat(held), atLeast(1))
	s.add("canary worse by 0.2: share of the hour's traffic", "share", sim.exposedRequests/(exposureRate*3600), atMost(0.01))
	s.add("canary worse by 0.2: time until held", "min", sim.heldAt.Sub(model.Epoch).Minutes(), nil)
	return s
}

func measureHealthyRollouts(seed uint64) samples {
	var held, done, minutes float64
	for i := range uint64(healthyRuns) {
		sim := newRolloutSimulation(seed, 1000+i, 0)
		if sim.runUntilHeld(healthyTime) {
			held++
		}
		if !sim.doneAt.IsZero() {
			done++
			minutes += sim.doneAt.Sub(model.Epoch).Minutes()
		}
	}
	var s samples
	s.add("healthy: falsely held", "share", held/healthyRuns, atMost(0.01))
	s.add("healthy: at full traffic within two hours", "share", done/healthyRuns, nil)
	s.add("healthy: mean time to full traffic", "min", minutes/max(done, 1), nil)
	return s
}

// measureLateRegression rolls out a version whose quality falls once it has
// full traffic.
func measureLateRegression(seed uint64) samples {
	sim := newRolloutSimulation(seed, 41, 0)
	for sim.clock.Elapsed() < 3*time.Hour && sim.doneAt.IsZero() {
		sim.step()
	}
	turnedAt, exposedBefore := sim.clock.Now(), sim.exposedRequests
	sim.qualityDrop = badQualityDrop
	sim.runUntilHeld(sim.clock.Elapsed() + time.Hour)
	var s samples
	s.add("turns bad at full traffic: time until held", "min", sim.heldAt.Sub(turnedAt).Minutes(), nil)
	s.add("turns bad at full traffic: share of the hour's traffic", "share", (sim.exposedRequests-exposedBefore)/(exposureRate*3600), nil)
	return s
}

// measureGuard counts the attempts until the guard of an entry holds a version that
// fails, and checks that it does not hold one that fails in 1% of the attempts.
func measureGuard(seed uint64) samples {
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
	if attemptsUntilHeld(rollout.NewGuard(), 0.01, guardAttempts) <= guardAttempts {
		wrongHolds = 1
	}
	s.add("entry's wrong holds in 100,000 attempts with 1% failing", "holds", wrongHolds, atMost(0))
	return s
}

// measureFailovers compares the actions and the exposure of a roll-out with and
// without changes of the leader, after which some ratings arrive again.
func measureFailovers(seed uint64) samples {
	var differing float64
	for _, worse := range []float64{0, badQualityDrop} {
		stable, failedOver := newRolloutSimulation(seed, 61, worse), newRolloutSimulation(seed, 61, worse)
		failedOver.failover = true
		stable.runUntilHeld(time.Hour)
		failedOver.runUntilHeld(time.Hour)
		if len(stable.actions) != len(failedOver.actions) || stable.exposedRequests != failedOver.exposedRequests {
			differing++
		}
	}
	var s samples
	s.add("roll-outs that jump or stall under failovers", "of 2", differing, atMost(0))
	return s
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
