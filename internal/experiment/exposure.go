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
	// exposureRate is the traffic in requests a second, of which baseRated of
	// the old version's answers are rated, and at full traffic of the new one's.
	// During a roll-out all answers of the new version are rated.
	exposureRate = 20.0
	baseRated    = 0.05

	exposureQuality = 0.8
	exposureSpread  = 0.12
	exposureWorse   = 0.2
	exposureStep    = 5 * time.Second

	// healthyRuns is the number of healthy roll-outs for each seed.
	healthyRuns  = 100
	healthyTime  = 2 * time.Hour
	guardedSteps = 100_000
)

var (
	newVersion = version.Ref{Model: "small", Version: "v2"}
	oldVersion = version.Ref{Model: "small", Version: "v1"}
)

type (
	// exposureWorld is one roll-out with its traffic and its late ratings.
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

// measureExposure rolls out healthy and bad versions.
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

// step lets traffic flow for a while and then decides.
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

// rate lets the ratings of about n answers come in late.
func (w *exposureWorld) rate(ref version.Ref, n, quality float64) {
	count := int(n)
	if w.random.Float64() < n-float64(count) {
		count++
	}
	for range count {
		q := min(max(quality+w.random.NormFloat64()*exposureSpread, 0), 1)
		rating, delay, _ := model.Rate(q, true, w.random)
		w.clock.After(delay, func() {
			w.sequence++
			w.inbox = append(w.inbox, rollout.Rating{Sequence: w.sequence, Ref: ref, Quality: rating})
		})
	}
}

// decide drives the roll-out. After a failover the new leader gets evidence
// again that was counted before.
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

func (w *exposureWorld) runUntilHeld(d time.Duration) bool {
	for w.clock.Since() < d && w.heldAt.IsZero() {
		w.step()
	}
	return !w.heldAt.IsZero()
}

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

func turnsBad(seed uint64) samples {
	w := newExposureWorld(seed, 41, 0)
	for w.clock.Since() < 3*time.Hour && w.doneAt.IsZero() {
		w.step()
	}
	turned, seen := w.clock.Now(), w.exposed
	w.worse = exposureWorse
	w.runUntilHeld(w.clock.Since() + time.Hour)
	var s samples
	s.add("turns bad at full traffic: time until held", "min", w.heldAt.Sub(turned).Minutes(), nil)
	s.add("turns bad at full traffic: share of the hour's traffic", "share", (w.exposed-seen)/(exposureRate*3600), nil)
	return s
}

// guarded counts the requests of one entry until it holds a failing version.
func guarded(seed uint64) samples {
	random := rand.New(rand.NewPCG(seed, 51))
	until := func(g *rollout.Guard, failing float64, limit int) int {
		for i := 1; i <= limit; i++ {
			if g.Observe(newVersion, random.Float64() < failing) {
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
			until(g, 0.01, 500)
			worst = max(worst, until(g, failing.share, 1000))
		}
		s.add("entry holds when "+failing.name+" attempts fail, most of 100", "requests", float64(worst), atMost(20))
	}
	wrong := 0.0
	if until(rollout.NewGuard(), 0.01, guardedSteps) <= guardedSteps {
		wrong = 1
	}
	s.add("entry's wrong holds in 100,000 attempts with 1% failing", "holds", wrong, atMost(0))
	return s
}

// failovers compares the actions with and without changes of the leader, who
// sees some evidence again.
func failovers(seed uint64) samples {
	var differ float64
	for _, worse := range []float64{0, exposureWorse} {
		calm, moved := newExposureWorld(seed, 61, worse), newExposureWorld(seed, 61, worse)
		moved.failover = true
		calm.runUntilHeld(time.Hour)
		moved.runUntilHeld(time.Hour)
		if len(calm.actions) != len(moved.actions) || calm.exposed != moved.exposed {
			differ++
		}
	}
	var s samples
	s.add("roll-outs that jump or stall under failovers", "of 2", differ, atMost(0))
	return s
}

func boolean(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
