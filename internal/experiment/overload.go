package experiment

import (
	"context"
	"fmt"
	"time"

	"rosereach/core/limit"
	"rosereach/core/placement"
	"rosereach/core/retry"
	"rosereach/internal/model"
)

const (
	overloadDeadline = 30 * time.Second
	overloadWarmUp   = 40 * time.Second
	overloadRun      = 80 * time.Second
	overloadRetries  = 3
	overloadUrgent   = 0.1

	// Loads as shares of the capacity: normalLoad before and after an overload,
	// floodLoad from all workspaces without a flood, floodTotal with one.
	normalLoad = 0.5
	floodLoad  = 0.8
	floodTotal = 2.0

	// floodingWorkspace is the index of the workspace that floods.
	floodingWorkspace = 2

	// recoveryLimit is the time after the end of the overload within which
	// refusals have to end.
	recoveryLimit = 10 * time.Second
)

// queuePolicy is the policy of each entry's queue, with its retry budget; a nil
// budget does not limit retries.
type queuePolicy struct {
	name      string
	newQueue  func(slots int) limit.Queue
	newBudget func() *retry.Budget
}

var (
	// retryBudgetConfig is the retry budget of an entry.
	retryBudgetConfig = retry.EntryBudgetConfig

	fairQueuePolicy = queuePolicy{
		"fair_share",
		func(slots int) limit.Queue {
			return limit.NewFairQueue(limit.FairQueueConfig{
				Slots: slots, QueueLimit: limit.QueueLimitPerSlot * slots, MaxWait: limit.DefaultMaxWait, Reserve: limit.DefaultReserve,
			})
		},
		func() *retry.Budget { return retry.NewBudget(retryBudgetConfig) },
	}
	fifoQueuePolicy = queuePolicy{"first_come", func(int) limit.Queue { return limit.NewFIFO(256, 256) }, nil}
)

func overloadExperiment() Experiment {
	return newWithSeeds("overload", "twice the capacity, a flood, a pool that runs out, and the time after", simulationSeeds,
		func(ctx context.Context, opts Options) (Result, error) {
			return measureOverload(ctx, opts, []model.Workload{model.VitrinaVacia().SingleRequestSessions(), model.Terminalna().SingleRequestSessions()})
		})
}

// measureOverload offers more load to the entries than the capacity.
func measureOverload(ctx context.Context, opts Options, workloads []model.Workload) (Result, error) {
	seeds, err := measureSeeds(ctx, opts.Seeds, opts.Progress, func(seed uint64) samples {
		var s samples
		for _, w := range workloads {
			capacity := saturatedThroughput(w, seed, func() placement.Policy { return placement.NewPredicted() })
			s.add(w.Name+" capacity", "requests/s", capacity.requests, nil)
			s = append(s, runOverload(w, capacity, seed, fairQueuePolicy)...)
			s = append(s, runOverload(w, capacity, seed, fifoQueuePolicy)...)
			s = append(s, runFlood(w, capacity, seed)...)
			s = append(s, runEmptyPool(w, capacity, seed)...)
		}
		return s
	})
	return Result{Experiment: "overload", Seeds: opts.Seeds, Rows: rowsOf(seeds)}, err
}

// newQueuedFleet returns a simulated fleet whose entries queue by the policy.
func newQueuedFleet(w model.Workload, seed uint64, p queuePolicy) *model.Fleet {
	return model.NewFleet(model.FleetConfig{
		Workload: w, Seed: seed, NewPolicy: func() placement.Policy { return placement.NewPredicted() },
		NewQueue: p.newQueue, NewRetryBudget: p.newBudget, Deadline: overloadDeadline, CallerRetries: overloadRetries, UrgentShare: overloadUrgent,
	})
}

// runOverload offers half the capacity, then twice the capacity, then half again.
func runOverload(w model.Workload, capacity throughput, seed uint64, p queuePolicy) samples {
	f := newQueuedFleet(w, seed, p)
	f.OfferLoad(normalLoad*capacity.requests, overloadWarmUp+3*overloadRun)
	f.Clock.Advance(overloadWarmUp)
	p95Before := runP95(f, overloadRun/2)
	f.OfferLoad((2-normalLoad)*capacity.requests, overloadRun)
	f.Clock.Advance(overloadRun / 4)
	f.ResetStats()
	f.Clock.Advance(overloadRun * 3 / 4)
	during := f.Stats
	end := f.Clock.Now()
	f.ResetStats()
	f.Clock.Advance(recoveryLimit)
	after := f.Stats
	p95After := runP95(f, overloadRun/2)

	var s samples
	isFair := p.name == fairQueuePolicy.name
	add := func(name, unit string, value float64, b *Bound) {
		if !isFair {
			b = nil
		}
		s.add(w.Name+" "+p.name+" "+name, unit, value, b)
	}
	seconds := (overloadRun * 3 / 4).Seconds()
	add("goodput in requests at 2x to capacity", "ratio", float64(during.InTime)/seconds/capacity.requests, atLeast(0.95))
	add("goodput in tokens at 2x to capacity", "ratio", float64(during.Tokens)/seconds/capacity.tokens, atLeast(0.95))
	add("refused at arrival", "share", float64(during.RefusedOnArrival)/float64(max(during.Refused, 1)), atLeast(0.95))
	add("late answers", "share", float64(during.Done-during.InTime)/float64(max(during.Done, 1)), nil)
	add("urgent done in time", "share", urgentInTime(during), atLeast(0.99))
	add("last refusal after the end", "s", lastRefusal(after, f.Stats, end).Seconds(), atMost(recoveryLimit.Seconds()))
	add("p95 after recovery to before", "ratio", p95After/p95Before, atMost(1.2))
	return s
}

// runFlood compares the p95 of the other workspaces with and without one that
// floods.
func runFlood(w model.Workload, capacity throughput, seed uint64) samples {
	run := func(extraLoad float64) float64 {
		f := newQueuedFleet(w, seed, fairQueuePolicy)
		f.CountOnly(func(c *model.Call) bool { return c.Workspace != fmt.Sprintf("w%d", floodingWorkspace) })
		f.OfferLoad(floodLoad*capacity.requests, overloadWarmUp+overloadRun)
		if extraLoad > 0 {
			f.OfferLoadFrom(model.NewSource(w.OnlyWorkspace(floodingWorkspace), seed+1_000_000), extraLoad*capacity.requests, overloadWarmUp+overloadRun)
		}
		f.Clock.Advance(overloadWarmUp)
		return runP95(f, overloadRun)
	}
	p95Without, p95With := run(0), run(floodTotal-floodLoad)
	var s samples
	s.add(w.Name+" p95 of the others without a flood", "s", p95Without, nil)
	s.add(w.Name+" p95 of the others in a flood to without", "ratio", p95With/p95Without, atMost(1.2))
	return s
}

// runEmptyPool counts the attempts per request while all engines refuse.
func runEmptyPool(w model.Workload, capacity throughput, seed uint64) samples {
	var s samples
	for _, g := range []queuePolicy{fairQueuePolicy, fifoQueuePolicy} {
		f := newQueuedFleet(w, seed, g)
		f.OfferLoad(floodLoad*capacity.requests, overloadWarmUp+overloadRun)
		f.Clock.Advance(overloadWarmUp)
		f.SetFailing(true)
		f.ResetStats()
		f.Clock.Advance(overloadRun / 2)
		f.SetFailing(false)
		attempts := float64(f.Stats.Attempts) / float64(max(f.Stats.Sent, 1))
		var b *Bound
		if g.name == fairQueuePolicy.name {
			b = atMost(1.1)
		}
		s.add(w.Name+" "+g.name+" attempts per request, empty pool", "ratio", attempts, b)
	}
	return s
}

// runP95 runs the fleet for the duration and returns the p95 of the time to the
// first token.
func runP95(f *model.Fleet, d time.Duration) float64 {
	f.ResetStats()
	f.Clock.Advance(d)
	return model.Quantile(0.95, f.Stats.FirstToken)
}

// urgentInTime returns the share of the urgent requests that ended in time. All
// requests with a priority other than 0 are urgent.
func urgentInTime(s model.Stats) float64 {
	var total, inTime float64
	for _, e := range s.Ends {
		if e.Priority == 0 {
			continue
		}
		total++
		if e.InTime {
			inTime++
		}
	}
	return inTime / max(total, 1)
}

// lastRefusal returns the time from the end of the overload to the last refusal
// of a request that arrived after it.
func lastRefusal(first, second model.Stats, end time.Time) time.Duration {
	var last time.Duration
	for _, s := range []model.Stats{first, second} {
		for _, e := range s.Ends {
			if e.Refused && e.ArrivedAt.After(end) {
				last = max(last, e.EndedAt.Sub(end))
			}
		}
	}
	return last
}
