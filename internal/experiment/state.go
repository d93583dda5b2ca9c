package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/juju/clock"
	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"rosereach/core/change"
	"rosereach/core/ledger"
	"rosereach/core/state"
	"rosereach/internal/cluster"
	"rosereach/internal/control"
)

const (
	// stateChanges is the number of changes a day at the size expected in two
	// years. They are sent by stateOperators concurrent senders, to
	// stateTemplates templates.
	stateChanges   = 14_000
	stateOperators = 64
	stateTemplates = 33

	// beginTime is how long begin records are written. Each of beginEntries
	// entries sends them in batches of beginBatch records, one batch at a time.
	beginTime    = 3 * time.Second
	beginEntries = 64
	beginBatch   = 64

	// The bounds: begin records per second, and the times until a new leader
	// accepts a change and until a restarted control is up to date.
	minBeginRate    = 20_000
	maxFailoverTime = 2 * time.Second
	maxRestartTime  = 2 * time.Second

	// statePollInterval is the interval between checks of a condition.
	statePollInterval = 5 * time.Millisecond
)

// stateTrial is one run with three controls that sync to the same disk. Running is
// the context of the cluster.
type stateTrial struct {
	cluster *cluster.Cluster
	running context.Context
	figures samples
}

func stateExperiment() Experiment {
	return New("state", "accepted changes, begin records, failover and restart of three controls", runState)
}

func runState(ctx context.Context, opts Options) (Result, error) {
	var seeds []samples
	for seed := range opts.Seeds {
		fmt.Fprintf(opts.Progress, "state: run %d of %d\n", seed+1, opts.Seeds) //nolint:errcheck // progress output is optional
		s, err := runStateTrial(ctx)
		if err != nil {
			return Result{}, err
		}
		seeds = append(seeds, s)
	}
	notes := []string{"three controls in one process, each syncing its own folder on one disk"}
	return Result{Experiment: "state", Seeds: opts.Seeds, Rows: rowsOf(seeds), Notes: notes}, nil
}

func runStateTrial(ctx context.Context) (samples, error) {
	folder, err := os.MkdirTemp("", "rosereach-state-")
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer os.RemoveAll(folder) //nolint:errcheck // a leftover temporary folder is harmless
	running, stop := context.WithCancel(ctx)
	defer stop()
	settings := cluster.DefaultOptions(folder)
	settings.Controls = 3
	c, err := cluster.Start(running, settings)
	if err != nil {
		return nil, err
	}
	t := &stateTrial{cluster: c, running: running}
	for _, step := range []func(context.Context) error{t.measureChanges, t.measureRestart, t.measureBegins, t.measureFailover} {
		if err := step(ctx); err != nil {
			return nil, err
		}
	}
	stop()
	c.Wait() //nolint:errcheck // killed parts return errors
	return t.figures, nil
}

// measureChanges measures the rate and latency of accepted changes from many
// operators.
func (t *stateTrial) measureChanges(ctx context.Context) error {
	node := t.leader()
	var (
		mu        sync.Mutex
		latencies []time.Duration
	)
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(stateOperators)
	start := clock.WallClock.Now()
	for i := range stateChanges {
		g.Go(func() error {
			sentAt := clock.WallClock.Now()
			if err := makeChange(ctx, node, i); err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			latencies = append(latencies, clock.WallClock.Now().Sub(sentAt))
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	elapsed := clock.WallClock.Now().Sub(start)
	slices.Sort(latencies)
	t.figures.add("accepted changes", "1/s", stateChanges/elapsed.Seconds(), nil)
	t.figures.add("change accepted, p50", "ms", milliseconds(latencies[len(latencies)/2]), nil)
	t.figures.add("change accepted, p99", "ms", milliseconds(latencies[len(latencies)*99/100]), nil)
	return nil
}

// measureRestart kills a control that does not lead, starts it again, and
// measures the time until it has all changes and knows the leader.
func (t *stateTrial) measureRestart(ctx context.Context) error {
	leader := t.cluster.Leader()
	follower := (leader + 1) % len(t.cluster.Controls)
	revision := t.leader().Documents().Revision
	t.cluster.KillControl(follower)
	start := clock.WallClock.Now()
	if err := t.cluster.StartControl(t.running, follower); err != nil { //nolint:contextcheck // the control outlives the step
		return err
	}
	err := waitUntil(ctx, func() bool {
		node := t.cluster.Controls[follower].Node
		return node.Documents().Revision >= revision && node.Controls().Leader != ""
	})
	t.figures.add("restart with 14,000 changes", "ms", milliseconds(clock.WallClock.Now().Sub(start)), atMost(milliseconds(maxRestartTime)))
	return err
}

// measureBegins measures the rate of begin records that a majority has synced
// to disk.
func (t *stateTrial) measureBegins(ctx context.Context) error {
	node := t.leader()
	counts := make([]int, beginEntries)
	start := clock.WallClock.Now()
	g, ctx := errgroup.WithContext(ctx)
	for e := range counts {
		g.Go(func() error {
			for clock.WallClock.Now().Sub(start) < beginTime {
				if err := writeBegins(ctx, node, e, counts[e]); err != nil {
					return err
				}
				counts[e] += beginBatch
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	total := 0
	for _, n := range counts {
		total += n
	}
	elapsed := clock.WallClock.Now().Sub(start)
	t.figures.add("begin records", "1/s", float64(total)/elapsed.Seconds(), atLeast(minBeginRate))
	return nil
}

// writeBegins proposes one batch of begin records, numbered from the given one.
func writeBegins(ctx context.Context, node *control.Node, entry, from int) error {
	commands := make([]state.Command, beginBatch)
	for i := range commands {
		commands[i].Begin = &ledger.Begin{
			Key:   ledger.Key{Workspace: fmt.Sprintf("w%d", entry%10), RequestID: fmt.Sprintf("r-%d-%d", entry, from+i)},
			Owner: ledger.Owner{Entry: fmt.Sprintf("entry-%d", entry), Incarnation: 1}, BodyHash: uint64(i),
			At: clock.WallClock.Now().UTC(),
		}
	}
	_, err := node.Propose(ctx, commands...)
	return err
}

// measureFailover kills the leader and measures the time to the next accepted
// change.
func (t *stateTrial) measureFailover(ctx context.Context) error {
	killed := t.cluster.Leader()
	start := clock.WallClock.Now()
	t.cluster.KillControl(killed)
	next := t.cluster.Controls[(killed+1)%len(t.cluster.Controls)].Node
	err := waitUntil(ctx, func() bool { return makeChange(ctx, next, stateChanges) == nil })
	t.figures.add("failover", "ms", milliseconds(clock.WallClock.Now().Sub(start)), atMost(milliseconds(maxFailoverTime)))
	return err
}

func (t *stateTrial) leader() *control.Node {
	return t.cluster.Controls[max(t.cluster.Leader(), 0)].Node
}

func makeChange(ctx context.Context, node *control.Node, i int) error {
	name := fmt.Sprintf("t%d", i%stateTemplates)
	doc := fmt.Sprintf(`{"name":%q,"parameters":[],"policy":{"allow":["small@v%d"],"quality_target":0.5,"services":[],"limits":{}}}`, name, i)
	c := change.Change{ID: fmt.Sprintf("state-%d", i), Kind: change.PutTemplate, Name: name, Document: json.RawMessage(doc), Actor: "experiment"}
	result, err := node.Change(ctx, c)
	if err == nil && result.Status != change.Accepted {
		return errors.Errorf("change %d: %+v", i, result)
	}
	return err
}

// waitUntil polls the condition until it is true or the context ends.
func waitUntil(ctx context.Context, condition func() bool) error {
	for !condition() {
		select {
		case <-clock.WallClock.After(statePollInterval):
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		}
	}
	return nil
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
