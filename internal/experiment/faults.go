package experiment

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/juju/clock"
	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"rosereach/core/request"
	"rosereach/core/version"
	"rosereach/internal/cluster"
	"rosereach/internal/load"
)

const (
	// faultRate is the number of requests sent per second.
	faultRate = 60.0

	// faultDelay is the time from the first request to the fault.
	faultDelay = 1500 * time.Millisecond

	// loadDuration is how long requests are sent.
	loadDuration = 6 * time.Second

	// slowCallTime is longer than any call of a plain service takes without a
	// fault; a longer call counts as affected by the fault.
	slowCallTime = 500 * time.Millisecond

	// settleTime is the wait for late bills and runs after the load.
	settleTime = 2 * time.Second

	// maxParallelFaults is the number of cases that run at once, each in its own
	// cluster.
	maxParallelFaults = 3

	// maxNotes limits the number of violations that are listed.
	maxNotes = 40
)

type (
	// faultCase is a fault and the behavior of the callers during it. With
	// mustComplete set, every request must be done. With mustAffect set, at least
	// one request must have been sent again, have failed or have waited; otherwise
	// the fault had no effect. With lowConcurrency set, entries run one request at
	// a time and refuse the others. A timeout replaces those of the classes.
	faultCase struct {
		name           string
		callerBehavior load.CallerBehavior
		timeout        time.Duration
		mustComplete   bool
		mustAffect     bool
		lowConcurrency bool
		inject         func(ctx context.Context, t *faultTrial) error
	}

	// faultTrial is one run of a case. Running is the context of the cluster.
	faultTrial struct {
		cluster  *cluster.Cluster
		running  context.Context
		evidence load.Evidence
	}

	// faultCount is the result of one run of a case.
	faultCount struct {
		violations []load.Violation
		sent       int
		done       int
		notRun     int
		unknown    int
		affected   int
	}
)

// faultsExperiment checks the guarantees to callers under every fault of the table.
func faultsExperiment() Experiment {
	return New("faults", "check the promises under a table of faults", func(ctx context.Context, opts Options) (Result, error) {
		return runFaults(ctx, opts, faultTable())
	})
}

func runFaults(ctx context.Context, opts Options, table []faultCase) (Result, error) {
	counts := make([][]faultCount, len(table))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxParallelFaults)
	var mu sync.Mutex
	for seed := range opts.Seeds {
		for i, fc := range table {
			g.Go(func() error {
				count, err := runFault(ctx, fc, uint64(seed+1))
				if err != nil {
					return errors.Annotatef(err, "%s, seed %d", fc.name, seed+1)
				}
				mu.Lock()
				defer mu.Unlock()
				counts[i] = append(counts[i], count)
				fmt.Fprintf(opts.Progress, "%s, seed %d: sent %d, done %d, breaches %d\n", fc.name, seed+1, count.sent, count.done, len(count.violations)) //nolint:errcheck // progress output is optional
				return nil
			})
		}
	}
	if err := g.Wait(); err != nil {
		return Result{}, err
	}
	return faultResult(table, counts, opts.Seeds), nil
}

func runFault(ctx context.Context, fc faultCase, seed uint64) (faultCount, error) {
	folder, err := os.MkdirTemp("", "rosereach-faults-")
	if err != nil {
		return faultCount{}, errors.Trace(err)
	}
	defer os.RemoveAll(folder) //nolint:errcheck // a leftover temporary folder is harmless
	running, stop := context.WithCancel(ctx)
	defer stop()
	c, err := cluster.Start(running, faultCluster(fc, folder))
	if err != nil {
		return faultCount{}, err
	}
	t := &faultTrial{cluster: c, running: running, evidence: load.Evidence{
		LeavingAt: make(map[string]time.Time), WithdrawnAt: make(map[version.Ref]time.Time),
	}}
	count, err := t.run(ctx, fc, seed)
	stop()
	c.Wait() //nolint:errcheck // killed parts return errors
	return count, err
}

// faultCluster returns the settings of a cluster whose answers take long enough
// for a fault to interrupt them.
func faultCluster(fc faultCase, folder string) cluster.Options {
	opts := cluster.DefaultOptions(folder)
	opts.StepTime = 4 * time.Millisecond
	if fc.lowConcurrency {
		opts.MaxRunning, opts.MaxWaiting = 1, 0
	}
	return opts
}

// run sends the load, injects the fault and checks the evidence.
func (t *faultTrial) run(ctx context.Context, fc faultCase, seed uint64) (faultCount, error) {
	customers, err := t.cluster.SetUp(ctx)
	if err != nil {
		return faultCount{}, err
	}
	sources, err := cluster.Sources(customers, faultRate)
	if err != nil {
		return faultCount{}, err
	}
	opts := load.Options{
		Entries: t.cluster.Addresses(), Sources: withTimeout(sources, fc.timeout), Duration: loadDuration,
		Behavior: fc.callerBehavior, Seed: seed, Clock: clock.WallClock,
	}
	g, loadCtx := errgroup.WithContext(ctx)
	g.Go(func() error {
		t.evidence.Observations = load.NewRunner(opts).Run(loadCtx)
		return errors.Trace(loadCtx.Err())
	})
	g.Go(func() error {
		if err := pause(loadCtx, faultDelay); err != nil {
			return err
		}
		return fc.inject(loadCtx, t)
	})
	if err := g.Wait(); err != nil {
		return faultCount{}, err
	}
	if err := pause(ctx, settleTime); err != nil {
		return faultCount{}, err
	}
	t.evidence.Bills, err = t.cluster.Bills(ctx)
	t.evidence.Runs = t.cluster.Runs()
	return countFault(t.evidence), err
}

func countFault(e load.Evidence) faultCount {
	c := faultCount{sent: len(e.Observations), violations: e.Violations()}
	for _, o := range e.Observations {
		switch o.Result.Outcome() {
		case request.Done:
			c.done++
		case request.NotRun:
			c.notRun++
		default:
			c.unknown++
		}
	}
	c.affected = countAffected(e)
	return c
}

// countAffected counts the requests that a fault affected: those that were resent,
// retried or failed, and calls that took longer than slowCallTime.
func countAffected(e load.Evidence) int {
	retried := make(map[string]bool)
	for _, r := range e.Runs {
		if r.Attempt > 1 {
			retried[r.RequestID] = true
		}
	}
	count := 0
	for _, o := range e.Observations {
		slow := o.Arrival.Class.Kind == load.Call && o.Total > slowCallTime
		if slow || retried[o.Arrival.ID] || o.Result.Sends > 1 || o.Result.Outcome() != request.Done {
			count++
		}
	}
	return count
}

// faultResult returns three rows for each fault and one for each guarantee.
func faultResult(table []faultCase, counts [][]faultCount, seeds int) Result {
	r := Result{Experiment: "faults", Seeds: seeds}
	totals := make([]map[load.Guarantee]int, seeds)
	for i, fc := range table {
		var violations, done, affected []float64
		for n, c := range counts[i] {
			violations = append(violations, float64(len(c.violations)))
			done = append(done, 100*float64(c.done)/float64(max(c.sent, 1)))
			affected = append(affected, float64(c.affected))
			totals[n] = addCounts(totals[n], load.CountByGuarantee(c.violations))
			r.Notes = append(r.Notes, notesOf(fc.name, c)...)
		}
		doneRow, affectedRow := NewRow(fc.name+": done", "%", done...), NewRow(fc.name+": touched", "requests", affected...)
		if fc.mustComplete {
			doneRow = doneRow.WithAtLeast(100)
		}
		if fc.mustAffect {
			affectedRow = affectedRow.WithAtLeast(1)
		}
		r.Rows = append(r.Rows, NewRow(fc.name+": breaches", "requests", violations...).WithAtMost(0), doneRow, affectedRow)
	}
	for _, p := range load.Guarantees() {
		var samples []float64
		for _, total := range totals {
			samples = append(samples, float64(total[p]))
		}
		r.Rows = append(r.Rows, NewRow("all faults: "+string(p), "requests", samples...).WithAtMost(0))
	}
	if len(r.Notes) > maxNotes {
		r.Notes = append(r.Notes[:maxNotes], fmt.Sprintf("and %d more breaches", len(r.Notes)-maxNotes))
	}
	return r
}

func notesOf(name string, c faultCount) []string {
	var notes []string
	for _, v := range c.violations {
		notes = append(notes, name+": "+v.String())
	}
	return notes
}

func addCounts(total, other map[load.Guarantee]int) map[load.Guarantee]int {
	if total == nil {
		total = make(map[load.Guarantee]int)
	}
	for g, n := range other {
		total[g] += n
	}
	return total
}

// withTimeout sets the timeout of every class of the sources, unless it is 0, and
// returns them.
func withTimeout(sources []load.Source, timeout time.Duration) []load.Source {
	if timeout == 0 {
		return sources
	}
	for i := range sources {
		classes := sources[i].Profile.Classes
		for j := range classes {
			classes[j].Timeout = timeout
		}
	}
	return sources
}

// pause waits for the duration, or returns the error of a context that ends first.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-clock.WallClock.After(d):
		return nil
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}
