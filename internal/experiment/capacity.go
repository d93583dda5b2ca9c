package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
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
)

const (
	// capacityWindow is how long an idle fleet is watched.
	capacityWindow = 4 * time.Second

	// The number of changes and announcements that are averaged.
	measuredChanges       = 20
	measuredAnnouncements = 2000

	// The size of the system in two years.
	futureNodes     = 360
	futureWorkers   = 5200
	changesPerDay   = 14_000
	secondsPerDay   = 86_400
	nodeCorePercent = 1.5
	nodeMegabytes   = 64
	nodeKilobytes   = 21
	setAside        = 17
)

// fleetSizes are the numbers of entries at which the slopes are measured. Each
// entry has a connection to each other, of four files with the proxy between,
// which bounds the fleet that fits into one process.
var fleetSizes = []int{10, 25, 50}

type (
	// fleetCost is what an idle fleet costs: control and entries together.
	fleetCost struct {
		entries   float64
		cores     float64
		megabytes float64
		kilobytes float64
	}

	// nodeCost is what one node costs in a fleet of a size: a base, and a part
	// that grows with the fleet.
	nodeCost struct{ base, growth float64 }

	// capacitySample are the slopes of one seed. Those of a node count control
	// and entry together, those of a change are for each entry.
	capacitySample struct {
		cores, megabytes, kilobytes   nodeCost
		changeKilobytes, changeMillis float64
		announceBytes, announceMicros float64
	}
)

// capacity measures the slopes of the capacity page and works out its table.
func capacity() Experiment {
	return New("capacity", "measure what a node costs, and work out the size of two years", runCapacity)
}

func runCapacity(ctx context.Context, opts Options) (Result, error) {
	var all []capacitySample
	var costs []fleetCost
	for seed := range opts.Seeds {
		costs = nil
		for _, n := range fleetSizes {
			cost, err := idleCost(ctx, n)
			if err != nil {
				return Result{}, errors.Annotatef(err, "%d entries", n)
			}
			fmt.Fprintf(opts.Progress, "seed %d, %d entries: %.4f cores, %.1f MB, %.2f KB/s\n", seed+1, n, cost.cores, cost.megabytes, cost.kilobytes) //nolint:errcheck // progress is a help only
			costs = append(costs, cost)
		}
		s := slopesOf(costs)
		if err := s.measureChanges(ctx); err != nil {
			return Result{}, errors.Annotate(err, "changes")
		}
		if err := s.measureAnnouncements(ctx); err != nil {
			return Result{}, errors.Annotate(err, "announcements")
		}
		all = append(all, s)
	}
	r := capacityResult(all)
	r.Plots = []Plot{{Name: "fleet", Title: "Idle fleet, control and entries together", X: "entries", Y: "KB/s", Lines: []Line{linkLine(costs)}}}
	return r, nil
}

// withFleet runs a fleet of one control and entries without backend servers.
func withFleet(ctx context.Context, entries int, direct bool, measure func(context.Context, *cluster.Cluster) error) error {
	folder, err := os.MkdirTemp("", "rosereach-capacity-")
	if err != nil {
		return errors.Trace(err)
	}
	defer os.RemoveAll(folder) //nolint:errcheck // a leftover folder does no harm
	running, stop := context.WithCancel(ctx)
	defer stop()
	opts := cluster.DefaultOptions(folder)
	opts.Direct, opts.Engines = direct, nil
	place := opts.Locations[0]
	opts.Locations = nil
	for range entries {
		opts.Locations = append(opts.Locations, place)
	}
	c, err := cluster.Start(running, opts)
	if err != nil {
		return err
	}
	if _, err := c.SetUp(ctx); err != nil {
		return err
	}
	// Entries connect to each other first; an idle fleet has done so.
	if err := pause(ctx, capacityWindow); err != nil {
		return err
	}
	err = measure(ctx, c)
	stop()
	c.Wait() //nolint:errcheck // the measurement has ended
	return err
}

// idleCost measures processor time and memory without proxies, and then bytes
// with them.
func idleCost(ctx context.Context, entries int) (fleetCost, error) {
	cost := fleetCost{entries: float64(entries)}
	before := liveBytes()
	err := withFleet(ctx, entries, true, func(ctx context.Context, _ *cluster.Cluster) error {
		spent := processorTime()
		if err := pause(ctx, capacityWindow); err != nil {
			return err
		}
		cost.cores = (processorTime() - spent).Seconds() / capacityWindow.Seconds()
		cost.megabytes = (liveBytes() - before) / 1e6
		return nil
	})
	if err != nil {
		return cost, err
	}
	return cost, withFleet(ctx, entries, false, func(ctx context.Context, c *cluster.Cluster) error {
		began := linkBytes(c)
		if err := pause(ctx, capacityWindow); err != nil {
			return err
		}
		cost.kilobytes = float64(linkBytes(c)-began) / 1e3 / capacityWindow.Seconds()
		if cost.kilobytes == 0 {
			return errors.New("the links are silent; raise the limit of open files or measure a smaller fleet")
		}
		return nil
	})
}

// linkBytes returns the bytes between entries and controls so far.
func linkBytes(c *cluster.Cluster) (sum int64) {
	for _, e := range c.Entries {
		for _, link := range e.ControlProxies {
			sum += link.Bytes()
		}
	}
	return sum
}

// slopesOf fits lines through the cost of a node at the fleet sizes. A cost
// that falls as the fleet grows is no basis for a larger one: its highest value
// counts then.
func slopesOf(costs []fleetCost) capacitySample {
	fit := func(of func(fleetCost) float64) nodeCost {
		var x, y []float64
		for _, c := range costs {
			x = append(x, c.entries)
			y = append(y, of(c)/c.entries)
		}
		base, growth := stat.LinearRegression(x, y, nil, false)
		if growth < 0 {
			return nodeCost{base: slices.Max(y)}
		}
		return nodeCost{base: base, growth: growth}
	}
	return capacitySample{
		cores:     fit(func(c fleetCost) float64 { return c.cores }),
		megabytes: fit(func(c fleetCost) float64 { return c.megabytes }),
		kilobytes: fit(func(c fleetCost) float64 { return c.kilobytes }),
	}
}

// at returns the cost of a node in a fleet of n nodes.
func (c nodeCost) at(n int) float64 { return c.base + c.growth*float64(n) }

// measureChanges makes changes and takes off what the idle fleet costs.
func (s *capacitySample) measureChanges(ctx context.Context) error {
	entries := fleetSizes[1]
	return withFleet(ctx, entries, false, func(ctx context.Context, c *cluster.Cluster) error {
		began, bytes, spent := time.Now(), linkBytes(c), processorTime()
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
		length := time.Since(began).Seconds()
		per := float64(measuredChanges * entries)
		s.changeKilobytes = float64(linkBytes(c)-bytes)/1e3/per - s.kilobytes.at(entries)*length/measuredChanges
		s.changeMillis = (processorTime()-spent).Seconds()*1e3/per - s.cores.at(entries)*length*1e3/measuredChanges
		return nil
	})
}

// measureAnnouncements sends announcements of one backend server to one entry.
func (s *capacitySample) measureAnnouncements(ctx context.Context) error {
	return withFleet(ctx, 1, false, func(ctx context.Context, c *cluster.Cluster) error {
		engine := fake.NewEngine(fake.EngineConfig{
			ID: "engine-1", Incarnation: 1, Region: "central", Zone: "sanjose", Capacity: 64,
			Versions: []version.Ref{cluster.Small1, cluster.Small2}, Clock: clock.WallClock,
		})
		entry := c.Entries[0]
		bytes, spent := entry.Proxy.Bytes(), processorTime()
		for i := range measuredAnnouncements {
			a := engine.Announcement("127.0.0.1:1")
			a.Sequence = uint64(i + 1)
			if err := iobackend.Announce(ctx, http.DefaultClient, entry.Address(), c.BackendKey(), a); err != nil {
				return errors.Trace(err)
			}
		}
		s.announceBytes = float64(entry.Proxy.Bytes()-bytes) / measuredAnnouncements
		s.announceMicros = (processorTime() - spent).Seconds() * 1e6 / measuredAnnouncements
		return nil
	})
}

func linkLine(costs []fleetCost) Line {
	l := Line{Name: "entry to control"}
	for _, c := range costs {
		l.Points = append(l.Points, Point{X: c.entries, Y: c.kilobytes})
	}
	return l
}

// capacityResult gives the slopes and what they come to in two years.
func capacityResult(all []capacitySample) Result {
	row := func(name, unit string, f func(capacitySample) float64) Row {
		var values []float64
		for _, s := range all {
			values = append(values, f(s))
		}
		return NewRow(name, unit, values...)
	}
	const changes = float64(changesPerDay) / secondsPerDay
	perNode := float64(futureWorkers) / futureNodes
	return Result{Experiment: "capacity", Seeds: len(all), Rows: []Row{
		row("idle node: processor, control and entry", "% of a core", func(s capacitySample) float64 { return s.cores.base * 100 }),
		row("  and for each other node", "% of a core", func(s capacitySample) float64 { return s.cores.growth * 100 }),
		row("idle node: memory, control and entry", "MB", func(s capacitySample) float64 { return s.megabytes.base }),
		row("  and for each other node", "MB", func(s capacitySample) float64 { return s.megabytes.growth }),
		row("idle node: link to control, both ways", "KB/s", func(s capacitySample) float64 { return s.kilobytes.base }),
		row("  and for each other node", "KB/s", func(s capacitySample) float64 { return s.kilobytes.growth }),
		row("change: link, each entry", "KB", func(s capacitySample) float64 { return s.changeKilobytes }),
		row("change: processor, each entry", "ms", func(s capacitySample) float64 { return s.changeMillis }),
		row("announcement: bytes with headers", "bytes", func(s capacitySample) float64 { return s.announceBytes }),
		row("announcement: processor, both sides", "us", func(s capacitySample) float64 { return s.announceMicros }),
		row("two years, node: processor for control", "% of a core", func(s capacitySample) float64 {
			return 100 * (s.cores.at(futureNodes) + s.changeMillis/1e3*changes + perNode*s.announceMicros/1e6)
		}).WithAtMost(nodeCorePercent),
		row("two years, node: memory for control", "MB", func(s capacitySample) float64 { return s.megabytes.at(futureNodes) }).WithAtMost(nodeMegabytes),
		row("two years, node: link and announcements", "KB/s", func(s capacitySample) float64 {
			return s.kilobytes.at(futureNodes) + s.changeKilobytes*changes + perNode*s.announceBytes/1e3
		}).WithAtMost(nodeKilobytes),
		row("two years, control leader: link to all nodes", "KB/s", func(s capacitySample) float64 {
			return futureNodes * (s.kilobytes.at(futureNodes) + s.changeKilobytes*changes)
		}),
		row("two years, control leader: cores for leases and changes", "cores", func(s capacitySample) float64 {
			return futureNodes * (s.cores.at(futureNodes) + s.changeMillis/1e3*changes)
		}).WithAtMost(setAside),
	}, Notes: []string{
		fmt.Sprintf("Worked out for %d nodes, %d workers that announce themselves to one entry each second, and %d changes a day.", futureNodes, futureWorkers, changesPerDay),
		"Processor and memory of a node count control and entry together, as they share a process here: an upper bound for each.",
		"Not in the table: relayed announcements, requests and tokens (see overhead), and documents larger than the fleet's own.",
	}}
}
