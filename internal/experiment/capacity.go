package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/juju/clock"
	"github.com/juju/errors"
	"gonum.org/v1/gonum/stat"

	"rosereach/core/change"
	"rosereach/core/version"
	"rosereach/internal/cluster"
	"rosereach/internal/fake"
	iobackend "rosereach/io/backend"
	"rosereach/io/bounded"
)

const (
	// capacityWindow is how long an idle fleet is measured, after as long a time
	// in which its entries connect.
	capacityWindow = 4 * time.Second

	// The number of changes and announcements to average over.
	measuredChanges       = 20
	measuredAnnouncements = 2000

	// The size of the system expected in two years, and the limits for each node:
	// processor in percent of a core, memory in MB and the link in KB/s.
	// reservedLeaderCores is the number of cores reserved for the control that
	// leads.
	futureNodes          = 360
	futureWorkers        = 5200
	changesPerDay        = 14_000
	secondsPerDay        = 86_400
	maxNodeCorePercent   = 1.5
	maxNodeMegabytes     = 64
	maxNodeLinkKilobytes = 21
	reservedLeaderCores  = 17
)

// fleetSizes are the numbers of entries at which the cost of a node is measured. A
// node is one entry with an equal part of the control. Each entry connects to every
// other one, and each connection takes four file descriptors with the proxy in
// between. The limit of open files thus bounds the fleet that fits into one
// process.
var fleetSizes = []int{10, 25, 50}

type (
	// fleetCost is the cost of an idle fleet, control and entries together.
	// Kilobytes are those sent over the links to the control per second.
	fleetCost struct {
		entries       float64
		cores         float64
		megabytes     float64
		linkKilobytes float64
	}

	// nodeCost is the cost of one node as a linear function of the fleet's size:
	// a base, and the growth for each node of the fleet.
	nodeCost struct{ base, growth float64 }

	// capacitySample holds the fitted costs of one seed. Those of a node count
	// control and entry together, those of a change are for each entry.
	capacitySample struct {
		cores, megabytes, linkKilobytes nodeCost
		changeKilobytes, changeMillis   float64
		announceBytes, announceMicros   float64
	}
)

// capacityExperiment measures the cost of nodes, changes and announcements, and
// extrapolates it to the size expected in two years.
func capacityExperiment() Experiment {
	return New("capacity", "measure what a node costs, and work out the size of two years", runCapacity)
}

func runCapacity(ctx context.Context, opts Options) (Result, error) {
	var seedSamples []capacitySample
	var costs []fleetCost
	for seed := range opts.Seeds {
		costs = nil
		for _, n := range fleetSizes {
			cost, err := idleCost(ctx, n)
			if err != nil {
				return Result{}, errors.Annotatef(err, "%d entries", n)
			}
			fmt.Fprintf(opts.Progress, "seed %d, %d entries: %.4f cores, %.1f MB, %.2f KB/s\n", seed+1, n, cost.cores, cost.megabytes, cost.linkKilobytes) //nolint:errcheck // progress output is optional
			costs = append(costs, cost)
		}
		s := fitCosts(costs)
		if err := s.measureChanges(ctx); err != nil {
			return Result{}, errors.Annotate(err, "changes")
		}
		if err := s.measureAnnouncements(ctx); err != nil {
			return Result{}, errors.Annotate(err, "announcements")
		}
		seedSamples = append(seedSamples, s)
	}
	r := capacityResult(seedSamples)
	r.Plots = []Plot{{Name: "fleet", Title: "Idle fleet, control and entries together", X: "entries", Y: "KB/s", Lines: []Line{linkLine(costs)}}}
	return r, nil
}

// withFleet starts a fleet of one control and the given number of entries
// without backend servers, and runs the measurement on it. Direct leaves out the
// proxies.
func withFleet(ctx context.Context, entries int, direct bool, measure func(context.Context, *cluster.Cluster) error) error {
	folder, err := os.MkdirTemp("", "rosereach-capacity-")
	if err != nil {
		return errors.Trace(err)
	}
	defer os.RemoveAll(folder) //nolint:errcheck // a leftover temporary folder is harmless
	running, stop := context.WithCancel(ctx)
	defer stop()
	opts := cluster.DefaultOptions(folder)
	opts.Direct, opts.Engines = direct, nil
	location := opts.Locations[0]
	opts.Locations = nil
	for range entries {
		opts.Locations = append(opts.Locations, location)
	}
	c, err := cluster.Start(running, opts)
	if err != nil {
		return err
	}
	if _, err := c.SetUp(ctx); err != nil {
		return err
	}
	// Entries connect to each other at start, which is no cost of an idle fleet.
	if err := pause(ctx, capacityWindow); err != nil {
		return err
	}
	err = measure(ctx, c)
	stop()
	c.Wait() //nolint:errcheck // the measurement is complete
	return err
}

// idleCost measures CPU time and memory in a fleet without proxies, so that those
// do not count, and link bytes in a second one with proxies.
func idleCost(ctx context.Context, entries int) (fleetCost, error) {
	cost := fleetCost{entries: float64(entries)}
	bytesBefore := liveBytes()
	err := withFleet(ctx, entries, true, func(ctx context.Context, _ *cluster.Cluster) error {
		cpuBefore := processCPUTime()
		if err := pause(ctx, capacityWindow); err != nil {
			return err
		}
		cost.cores = (processCPUTime() - cpuBefore).Seconds() / capacityWindow.Seconds()
		cost.megabytes = (liveBytes() - bytesBefore) / 1e6
		return nil
	})
	if err != nil {
		return cost, err
	}
	return cost, withFleet(ctx, entries, false, func(ctx context.Context, c *cluster.Cluster) error {
		linkBefore := linkBytes(c)
		if err := pause(ctx, capacityWindow); err != nil {
			return err
		}
		cost.linkKilobytes = float64(linkBytes(c)-linkBefore) / 1e3 / capacityWindow.Seconds()
		if cost.linkKilobytes == 0 {
			return errors.New("no bytes were sent on the links to control; raise the limit of open files or measure a smaller fleet")
		}
		return nil
	})
}

// linkBytes returns the bytes sent between entries and controls so far, both
// ways.
func linkBytes(c *cluster.Cluster) (sum int64) {
	for _, e := range c.Entries {
		for _, link := range e.ControlProxies {
			sum += link.Bytes()
		}
	}
	return sum
}

// fitCosts fits a line through the cost of a node at the measured fleet sizes. A
// cost that falls as the fleet grows can't be extrapolated to a larger fleet; the
// highest measured value is used as constant cost instead.
func fitCosts(costs []fleetCost) capacitySample {
	fit := func(value func(fleetCost) float64) nodeCost {
		var x, y []float64
		for _, c := range costs {
			x = append(x, c.entries)
			y = append(y, value(c)/c.entries)
		}
		base, growth := stat.LinearRegression(x, y, nil, false)
		if growth < 0 {
			return nodeCost{base: slices.Max(y)}
		}
		return nodeCost{base: base, growth: growth}
	}
	return capacitySample{
		cores:         fit(func(c fleetCost) float64 { return c.cores }),
		megabytes:     fit(func(c fleetCost) float64 { return c.megabytes }),
		linkKilobytes: fit(func(c fleetCost) float64 { return c.linkKilobytes }),
	}
}

// inFleetOf returns the cost of one node in a fleet of n nodes.
func (c nodeCost) inFleetOf(n int) float64 { return c.base + c.growth*float64(n) }

// measureChanges makes changes and measures their cost for each entry, less the
// cost of the idle fleet in that time.
func (s *capacitySample) measureChanges(ctx context.Context) error {
	entries := fleetSizes[1]
	return withFleet(ctx, entries, false, func(ctx context.Context, c *cluster.Cluster) error {
		start, linkBefore, cpuBefore := time.Now(), linkBytes(c), processCPUTime()
		for i := range measuredChanges {
			v := version.Version{Ref: cluster.Small1, Quality: 0.72, InputPrice: int64(100 + i), OutputPrice: 400}
			data, err := json.Marshal(v)
			if err != nil {
				return errors.Trace(err)
			}
			if err := c.Change(ctx, change.PutVersion, v.Ref.String(), json.RawMessage(data)); err != nil {
				return err
			}
		}
		seconds := time.Since(start).Seconds()
		deliveries := float64(measuredChanges * entries)
		s.changeKilobytes = float64(linkBytes(c)-linkBefore)/1e3/deliveries - s.linkKilobytes.inFleetOf(entries)*seconds/measuredChanges
		s.changeMillis = (processCPUTime()-cpuBefore).Seconds()*1e3/deliveries - s.cores.inFleetOf(entries)*seconds*1e3/measuredChanges
		return nil
	})
}

// measureAnnouncements measures the bytes and CPU time of one announcement, sent
// by one backend server to one entry.
func (s *capacitySample) measureAnnouncements(ctx context.Context) error {
	return withFleet(ctx, 1, false, func(ctx context.Context, c *cluster.Cluster) error {
		engine := fake.NewEngine(fake.EngineConfig{
			ID: "engine-1", Incarnation: 1, Region: "central", Zone: "sanjose", Capacity: 64,
			Versions: []version.Ref{cluster.Small1, cluster.Small2}, Clock: clock.WallClock,
		})
		entry := c.Entries[0]
		bytesBefore, cpuBefore := entry.Proxy.Bytes(), processCPUTime()
		for i := range measuredAnnouncements {
			a := engine.Announcement("127.0.0.1:1")
			a.Sequence = uint64(i + 1)
			if err := iobackend.Announce(ctx, bounded.Client, entry.Address(), c.BackendKey(), a); err != nil {
				return errors.Trace(err)
			}
		}
		s.announceBytes = float64(entry.Proxy.Bytes()-bytesBefore) / measuredAnnouncements
		s.announceMicros = (processCPUTime() - cpuBefore).Seconds() * 1e6 / measuredAnnouncements
		return nil
	})
}

func linkLine(costs []fleetCost) Line {
	line := Line{Name: "entry to control"}
	for _, c := range costs {
		line.Points = append(line.Points, Point{X: c.entries, Y: c.linkKilobytes})
	}
	return line
}

// capacityResult reports the fitted costs and their extrapolation to the size
// expected in two years.
func capacityResult(seedSamples []capacitySample) Result {
	row := func(name, unit string, value func(capacitySample) float64) Row {
		var values []float64
		for _, s := range seedSamples {
			values = append(values, value(s))
		}
		return NewRow(name, unit, values...)
	}
	const changesPerSecond = float64(changesPerDay) / secondsPerDay
	workersPerNode := float64(futureWorkers) / futureNodes
	return Result{Experiment: "capacity", Seeds: len(seedSamples), Rows: []Row{
		row("idle node: processor, control and entry", "% of a core", func(s capacitySample) float64 { return s.cores.base * 100 }),
		row("  and for each other node", "% of a core", func(s capacitySample) float64 { return s.cores.growth * 100 }),
		row("idle node: memory, control and entry", "MB", func(s capacitySample) float64 { return s.megabytes.base }),
		row("  and for each other node", "MB", func(s capacitySample) float64 { return s.megabytes.growth }),
		row("idle node: link to control, both ways", "KB/s", func(s capacitySample) float64 { return s.linkKilobytes.base }),
		row("  and for each other node", "KB/s", func(s capacitySample) float64 { return s.linkKilobytes.growth }),
		row("change: link, each entry", "KB", func(s capacitySample) float64 { return s.changeKilobytes }),
		row("change: processor, each entry", "ms", func(s capacitySample) float64 { return s.changeMillis }),
		row("announcement: bytes with headers", "bytes", func(s capacitySample) float64 { return s.announceBytes }),
		row("announcement: processor, both sides", "us", func(s capacitySample) float64 { return s.announceMicros }),
		row("two years, node: processor for control", "% of a core", func(s capacitySample) float64 {
			return 100 * (s.cores.inFleetOf(futureNodes) + s.changeMillis/1e3*changesPerSecond + workersPerNode*s.announceMicros/1e6)
		}).WithAtMost(maxNodeCorePercent),
		row("two years, node: memory for control", "MB", func(s capacitySample) float64 { return s.megabytes.inFleetOf(futureNodes) }).WithAtMost(maxNodeMegabytes),
		row("two years, node: link and announcements", "KB/s", func(s capacitySample) float64 {
			return s.linkKilobytes.inFleetOf(futureNodes) + s.changeKilobytes*changesPerSecond + workersPerNode*s.announceBytes/1e3
		}).WithAtMost(maxNodeLinkKilobytes),
		row("two years, control leader: link to all nodes", "KB/s", func(s capacitySample) float64 {
			return futureNodes * (s.linkKilobytes.inFleetOf(futureNodes) + s.changeKilobytes*changesPerSecond)
		}),
		row("two years, control leader: cores for leases and changes", "cores", func(s capacitySample) float64 {
			return futureNodes * (s.cores.inFleetOf(futureNodes) + s.changeMillis/1e3*changesPerSecond)
		}).WithAtMost(reservedLeaderCores),
	}, Notes: []string{
		fmt.Sprintf("Worked out for %d nodes, %d workers that announce themselves to one entry each second, and %d changes a day.", futureNodes, futureWorkers, changesPerDay),
		"Processor and memory of a node count control and entry together, as they share a process here: an upper bound for each.",
		"Not in the table: relayed announcements, requests and tokens (see overhead), and documents larger than the fleet's own.",
	}}
}
