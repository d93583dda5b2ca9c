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
	// loadTime is how long the weight store needs for one version alone; loads
	// at the same time share its rate.
	loadTime = 50 * time.Second

	ordersStep    = time.Second
	ordersTime    = time.Hour
	ordersLost    = 0.1
	loadFailure   = 0.02
	ordersPerZone = 3
	loadsAtOnce   = 1
)

type (
	// fleetOfWeights is engines that load from one store.
	fleetOfWeights struct {
		random   *rand.Rand
		engines  []order.Engine
		progress map[string]time.Duration
		requests int
		lastGone int
	}

	// ordersOutcome is what became of one new version. FailedSoon counts the
	// loads that failed before it served in all zones.
	ordersOutcome struct {
		allZones, whole    time.Duration
		requests, lastGone int
		failed, failedSoon int
	}
)

func ordersExperiment() Experiment {
	return newSeeded("orders", "load a new version in all zones from a rate-limited store", decisionSeeds, measureOrders)
}

// measureOrders compares the orders with loading everywhere at once.
func measureOrders(ctx context.Context, opts Options) (Result, error) {
	zones := []string{"sanjose", "heredia", "puntarenas"}
	seeds, err := overSeeds(ctx, opts.Seeds, opts.Progress, func(seed uint64) samples {
		planned, atOnce := runOrders(seed, zones, loadsAtOnce), runOrders(seed, zones, ordersPerZone*len(zones))
		least := float64(len(zones)) * loadTime.Seconds()
		var s samples
		s.add("time until the version serves in all zones", "s", planned.allZones.Seconds(), nil)
		s.add("the same to the least that the store allows, with failed loads", "ratio",
			planned.allZones.Seconds()/(least+float64(planned.failedSoon)*loadTime.Seconds()), atMost(1.2))
		s.add("the same to loading everywhere at once", "ratio", planned.allZones.Seconds()/atOnce.allZones.Seconds(), atMost(1))
		s.add("time until all engines have it", "s", planned.whole.Seconds(), nil)
		s.add("store requests to the engines and failed loads", "ratio",
			float64(planned.requests)/float64(ordersPerZone*len(zones)+planned.failed), atMost(1))
		s.add("last good version unloaded", "times", float64(planned.lastGone), atMost(0))
		return s
	})
	return Result{Experiment: "orders", Seeds: opts.Seeds, Rows: rowsOf(seeds)}, err
}

func runOrders(seed uint64, zones []string, loads int) ordersOutcome {
	f := &fleetOfWeights{random: rand.New(rand.NewPCG(seed, 71)), progress: make(map[string]time.Duration)}
	unused := version.Ref{Model: "small", Version: "v0"}
	for i := range 3 * len(zones) {
		f.engines = append(f.engines, order.Engine{
			ID: fmt.Sprintf("engine-%d", i), Zone: zones[i%len(zones)], Capacity: 2, Loaded: []version.Ref{unused, oldVersion},
		})
	}
	var out ordersOutcome
	targets := []order.Target{{Ref: newVersion, PerZone: ordersPerZone}, {Ref: oldVersion, PerZone: 1}}
	for now := time.Duration(0); now < ordersTime && out.whole == 0; now += ordersStep {
		for _, o := range order.Next(f.engines, targets, []version.Ref{oldVersion}, loads) {
			f.give(o)
		}
		out.failed += f.step()
		f.check(zones)
		served := f.zonesWith(newVersion)
		if out.allZones == 0 && len(served) == len(zones) {
			out.allZones, out.failedSoon = now+ordersStep, out.failed
		}
		if f.countOf(newVersion) == len(f.engines) {
			out.whole = now + ordersStep
		}
	}
	out.requests, out.lastGone = f.requests, f.lastGone
	return out
}

// give carries out an order, unless it is lost on its way; then it is given
// again with the next decision.
func (f *fleetOfWeights) give(o order.Order) {
	if f.random.Float64() < ordersLost {
		return
	}
	at := slices.IndexFunc(f.engines, func(e order.Engine) bool { return e.ID == o.Engine })
	e := &f.engines[at]
	if o.Kind == order.Unload {
		e.Loaded = slices.DeleteFunc(e.Loaded, func(ref version.Ref) bool { return ref == o.Ref })
		return
	}
	e.Loading = append(e.Loading, o.Ref)
	f.progress[e.ID] = 0
	f.requests++
}

// step lets the engines load for a while, and returns how many loads failed.
func (f *fleetOfWeights) step() int {
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
		if f.random.Float64() < loadFailure {
			failed++
		} else {
			e.Loaded = append(e.Loaded, e.Loading[0])
		}
		e.Loading = nil
	}
	return failed
}

// check counts the zones that lost their last copy of the good version.
func (f *fleetOfWeights) check(zones []string) {
	if len(f.zonesWith(oldVersion)) < len(zones) {
		f.lastGone++
	}
}

func (f *fleetOfWeights) zonesWith(ref version.Ref) map[string]bool {
	with := make(map[string]bool)
	for _, e := range f.engines {
		if slices.Contains(e.Loaded, ref) {
			with[e.Zone] = true
		}
	}
	return with
}

func (f *fleetOfWeights) countOf(ref version.Ref) int {
	n := 0
	for _, e := range f.engines {
		if slices.Contains(e.Loaded, ref) {
			n++
		}
	}
	return n
}
