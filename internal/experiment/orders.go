package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"rosereach/core/order"
	"rosereach/core/version"
)

const (
	// loadTime is how long one load from the weight store takes; concurrent loads
	// share the store's rate.
	loadTime = 50 * time.Second

	// ordersStep is the time between two decisions, ordersDuration the limit of a
	// run.
	ordersStep     = time.Second
	ordersDuration = time.Hour

	// The probabilities that an order is lost and that a load fails.
	orderLossRate   = 0.1
	loadFailureRate = 0.02

	// The engines in each zone, all of which are to load the new version, and the
	// number of loads at a time.
	enginesPerZone     = 3
	maxConcurrentLoads = 1
)

type (
	// loadingFleet simulates engines that load versions from one weight store.
	// Requests counts the loads started, lastCopyLost the steps in which a zone
	// had no copy of the last good version.
	loadingFleet struct {
		random       *rand.Rand
		engines      []order.Engine
		progress     map[string]time.Duration
		requests     int
		lastCopyLost int
	}

	// ordersOutcome is the result of loading one new version: the times until all
	// zones and all engines had it, and the counts of loads. FailedBeforeAllZones
	// counts the failed loads until it served in all zones.
	ordersOutcome struct {
		allZones, allEngines         time.Duration
		requests, lastCopyLost       int
		failed, failedBeforeAllZones int
	}
)

func ordersExperiment() Experiment {
	return newWithSeeds("orders", "load a new version in all zones from a rate-limited store", simulationSeeds, measureOrders)
}

// measureOrders compares ordered loading with loading on all engines at once.
func measureOrders(ctx context.Context, opts Options) (Result, error) {
	zones := []string{"sanjose", "heredia", "puntarenas"}
	seeds, err := measureSeeds(ctx, opts.Seeds, opts.Progress, func(seed uint64) samples {
		planned, atOnce := runOrders(seed, zones, maxConcurrentLoads), runOrders(seed, zones, enginesPerZone*len(zones))
		minSeconds := float64(len(zones)) * loadTime.Seconds()
		var s samples
		s.add("time until the version serves in all zones", "s", planned.allZones.Seconds(), nil)
		s.add("the same to the least that the store allows, with failed loads", "ratio",
			planned.allZones.Seconds()/(minSeconds+float64(planned.failedBeforeAllZones)*loadTime.Seconds()), atMost(1.2))
		s.add("the same to loading everywhere at once", "ratio", planned.allZones.Seconds()/atOnce.allZones.Seconds(), atMost(1))
		s.add("time until all engines have it", "s", planned.allEngines.Seconds(), nil)
		s.add("store requests to the engines and failed loads", "ratio",
			float64(planned.requests)/float64(enginesPerZone*len(zones)+planned.failed), atMost(1))
		s.add("last good version unloaded", "times", float64(planned.lastCopyLost), atMost(0))
		return s
	})
	return Result{Experiment: "orders", Seeds: opts.Seeds, Rows: rowsOf(seeds)}, err
}

func runOrders(seed uint64, zones []string, loads int) ordersOutcome {
	f := &loadingFleet{random: rand.New(rand.NewPCG(seed, 71)), progress: make(map[string]time.Duration)}
	unused := version.Ref{Model: "small", Version: "v0"}
	for i := range 3 * len(zones) {
		f.engines = append(f.engines, order.Engine{
			ID: fmt.Sprintf("engine-%d", i), Zone: zones[i%len(zones)], Capacity: 2, Loaded: []version.Ref{unused, oldVersion},
		})
	}
	var outcome ordersOutcome
	targets := []order.Target{{Ref: newVersion, PerZone: enginesPerZone}, {Ref: oldVersion, PerZone: 1}}
	for now := time.Duration(0); now < ordersDuration && outcome.allEngines == 0; now += ordersStep {
		for _, o := range order.Next(f.engines, targets, []version.Ref{oldVersion}, loads) {
			f.apply(o)
		}
		outcome.failed += f.step()
		f.checkLastCopies(zones)
		zonesServing := f.zonesWith(newVersion)
		if outcome.allZones == 0 && len(zonesServing) == len(zones) {
			outcome.allZones, outcome.failedBeforeAllZones = now+ordersStep, outcome.failed
		}
		if f.countOf(newVersion) == len(f.engines) {
			outcome.allEngines = now + ordersStep
		}
	}
	outcome.requests, outcome.lastCopyLost = f.requests, f.lastCopyLost
	return outcome
}

// apply carries out an order, or loses it at random; a lost order is repeated by
// the next decision.
func (f *loadingFleet) apply(o order.Order) {
	if f.random.Float64() < orderLossRate {
		return
	}
	index := slices.IndexFunc(f.engines, func(e order.Engine) bool { return e.ID == o.Engine })
	e := &f.engines[index]
	if o.Kind == order.Unload {
		e.Loaded = slices.DeleteFunc(e.Loaded, func(ref version.Ref) bool { return ref == o.Ref })
		return
	}
	e.Loading = append(e.Loading, o.Ref)
	f.progress[e.ID] = 0
	f.requests++
}

// step advances all loads by ordersStep and returns the number that failed.
func (f *loadingFleet) step() int {
	loading := 0
	for _, e := range f.engines {
		loading += len(e.Loading)
	}
	failed := 0
	for i := range f.engines {
		e := &f.engines[i]
		if len(e.Loading) == 0 {
			continue
		}
		f.progress[e.ID] += ordersStep / time.Duration(loading)
		if f.progress[e.ID] < loadTime {
			continue
		}
		if f.random.Float64() < loadFailureRate {
			failed++
		} else {
			e.Loaded = append(e.Loaded, e.Loading[0])
		}
		e.Loading = nil
	}
	return failed
}

// checkLastCopies counts the step if a zone has no copy of the last good version.
func (f *loadingFleet) checkLastCopies(zones []string) {
	if len(f.zonesWith(oldVersion)) < len(zones) {
		f.lastCopyLost++
	}
}

// zonesWith returns the zones in which an engine has the version loaded.
func (f *loadingFleet) zonesWith(ref version.Ref) map[string]bool {
	found := make(map[string]bool)
	for _, e := range f.engines {
		if slices.Contains(e.Loaded, ref) {
			found[e.Zone] = true
		}
	}
	return found
}

// countOf returns the number of engines that have the version loaded.
func (f *loadingFleet) countOf(ref version.Ref) int {
	count := 0
	for _, e := range f.engines {
		if slices.Contains(e.Loaded, ref) {
			count++
		}
	}
	return count
}
