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
	// stateChanges is what the two-year size makes in a day.
	stateChanges   = 14_000
	stateOperators = 64
	stateTemplates = 33

	// beginTime is how long begin records are written, by so many entries that
	// each send a batch at a time.
	beginTime    = 3 * time.Second
	beginEntries = 64
	beginBatch   = 64

	// The bounds of the target.
	leastBegins     = 20_000
	longestFailover = 2 * time.Second
	longestRestart  = 2 * time.Second

	statePause = 5 * time.Millisecond
)

// stateTrial is one run with three controls that sync to the same disk.
type stateTrial struct {
	cluster *cluster.Cluster
	running context.Context
	found   samples
}

func stateExperiment() Experiment {
	return New("state", "accepted changes, begin records, failover and restart of three controls", runState)
}

func runState(ctx context.Context, opts Options) (Result, error) {
	var seeds []samples
	for seed := range opts.Seeds {
		fmt.Fprintf(opts.Progress, "state: run %d of %d\n", seed+1, opts.Seeds) //nolint:errcheck // progress only
		s, err := stateRun(ctx)
		if err != nil {
			return Result{}, err
		}
		seeds = append(seeds, s)
	}
	notes := []string{"three controls in one process, each syncing its own folder on one disk"}
	return Result{Experiment: "state", Seeds: opts.Seeds, Rows: rowsOf(seeds), Notes: notes}, nil
}

func stateRun(ctx context.Context) (samples, error) {
	folder, err := os.MkdirTemp("", "rosereach-state-")
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer os.RemoveAll(folder) //nolint:errcheck // a leftover folder does no harm
	running, stop := context.WithCancel(ctx)
	defer stop()
	settings := cluster.DefaultOptions(folder)
	settings.Controls = 3
	c, err := cluster.Start(running, settings)
	if err != nil {
		return nil, err
	}
	t := &stateTrial{cluster: c, running: running}
	for _, step := range []func(context.Context) error{t.changes, t.restart, t.begins, t.failover} {
		if err := step(ctx); err != nil {
			return nil, err
		}
	}
	stop()
	c.Wait() //nolint:errcheck // parts that were killed end with errors
	return t.found, nil
}

// changes measures how fast many operators' changes are accepted.
func (t *stateTrial) changes(ctx context.Context) error {
	node := t.leader()
	var (
		mu    sync.Mutex
		times []time.Duration
	)
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(stateOperators)
	began := clock.WallClock.Now()
	for i := range stateChanges {
		g.Go(func() error {
			sent := clock.WallClock.Now()
			if err := makeChange(ctx, node, i); err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			times = append(times, clock.WallClock.Now().Sub(sent))
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	took := clock.WallClock.Now().Sub(began)
	slices.Sort(times)
	t.found.add("accepted changes", "1/s", stateChanges/took.Seconds(), nil)
	t.found.add("change accepted, p50", "ms", milliseconds(times[len(times)/2]), nil)
	t.found.add("change accepted, p99", "ms", milliseconds(times[len(times)*99/100]), nil)
	return nil
}

// restart measures how long a control that was killed takes until it holds
// all changes again and knows the leader.
func (t *stateTrial) restart(ctx context.Context) error {
	leader := t.cluster.Leader()
	place := (leader + 1) % len(t.cluster.Controls)
	revision := t.leader().Documents().Revision
	t.cluster.KillControl(place)
	began := clock.WallClock.Now()
	if err := t.cluster.StartControl(t.running, place); err != nil { //nolint:contextcheck // the control outlives the step
		return err
	}
	err := until(ctx, func() bool {
		node := t.cluster.Controls[place].Node
		return node.Documents().Revision >= revision && node.Controls().Leader != ""
	})
	t.found.add("restart with 14,000 changes", "ms", milliseconds(clock.WallClock.Now().Sub(began)), atMost(milliseconds(longestRestart)))
	return err
}

// begins measures begin records that a majority has synced.
func (t *stateTrial) begins(ctx context.Context) error {
	node := t.leader()
	counts := make([]int, beginEntries)
	began := clock.WallClock.Now()
	g, ctx := errgroup.WithContext(ctx)
	for e := range counts {
		g.Go(func() error {
			for clock.WallClock.Now().Sub(began) < beginTime {
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
	sum := 0
	for _, n := range counts {
		sum += n
	}
	took := clock.WallClock.Now().Sub(began)
	t.found.add("begin records", "1/s", float64(sum)/took.Seconds(), atLeast(leastBegins))
	return nil
}

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

// failover measures the time from the loss of the leader to the next accepted
// change.
func (t *stateTrial) failover(ctx context.Context) error {
	lost := t.cluster.Leader()
	began := clock.WallClock.Now()
	t.cluster.KillControl(lost)
	next := t.cluster.Controls[(lost+1)%len(t.cluster.Controls)].Node
	err := until(ctx, func() bool { return makeChange(ctx, next, stateChanges) == nil })
	t.found.add("failover", "ms", milliseconds(clock.WallClock.Now().Sub(began)), atMost(milliseconds(longestFailover)))
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

// until waits for a condition.
func until(ctx context.Context, holds func() bool) error {
	for !holds() {
		select {
		case <-clock.WallClock.After(statePause):
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		}
	}
	return nil
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
