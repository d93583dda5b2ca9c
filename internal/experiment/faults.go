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

	// faultAt is the time from the first request to the fault.
	faultAt = 1500 * time.Millisecond

	// faultLength is how long requests are sent.
	faultLength = 6 * time.Second

	// slowCall is longer than any call of a plain service takes without a
	// fault; a longer call counts as affected by the fault.
	slowCall = 500 * time.Millisecond

	// settleTime is the wait for late bills and runs after the load.
	settleTime = 2 * time.Second

	// parallelFaults is the number of cases that run at once, each in its own
	// cluster.
	parallelFaults = 3

	// mostNotes limits the number of breaches that are listed.
	mostNotes = 40
)

type (
	// faultCase is a fault and the behaviour of the callers during it. With
	// mustComplete set, every request must be done. With mustAffect set, at least
	// one request must have been sent again, have failed or have waited; otherwise
	// the fault had no effect. With lowConcurrency set, entries run one request at
	// a time and refuse the others. A timeout replaces those of the classes.
	faultCase struct {
		name    string
		manner  load.Manner
		timeout time.Duration
		allDone bool
		touches bool
		tight   bool
		inject  func(ctx context.Context, t *faultTrial) error
	}

	// faultTrial is one run of a case. Running is the context of the cluster.
	faultTrial struct {
		cluster  *cluster.Cluster
		running  context.Context
		evidence load.Evidence
	}

	// faultCount is the result of one run of a case.
	faultCount struct {
		breaches []load.Breach
		sent     int
		done     int
		notRun   int
		unknown  int
		touched  int
	}
)

// faults checks the guarantees to callers under every fault of the table.
func faults() Experiment {
	return New("faults", "check the promises under a table of faults", func(ctx context.Context, opts Options) (Result, error) {
		return runFaults(ctx, opts, faultTable())
	})
}

func runFaults(ctx context.Context, opts Options, table []faultCase) (Result, error) {
	counts := make([][]faultCount, len(table))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(parallelFaults)
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
				fmt.Fprintf(opts.Progress, "%s, seed %d: sent %d, done %d, breaches %d\n", fc.name, seed+1, count.sent, count.done, len(count.breaches)) //nolint:errcheck // progress output is optional
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
		Leaving: make(map[string]time.Time), Withdrawn: make(map[version.Ref]time.Time),
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
	if fc.tight {
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
		Entries: t.cluster.Addresses(), Sources: withTimeout(sources, fc.timeout), Length: faultLength,
		Manner: fc.manner, Seed: seed, Clock: clock.WallClock,
	}
	g, loadCtx := errgroup.WithContext(ctx)
	g.Go(func() error {
		t.evidence.Seen = load.NewRunner(opts).Run(loadCtx)
		return errors.Trace(loadCtx.Err())
	})
	g.Go(func() error {
		if err := pause(loadCtx, faultAt); err != nil {
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
	c := faultCount{sent: len(e.Seen), breaches: e.Breaches()}
	for _, o := range e.Seen {
		switch o.Final.Outcome() {
		case request.Done:
			c.done++
		case request.NotRun:
			c.notRun++
		default:
			c.unknown++
		}
	}
	c.touched = touched(e)
	return c
}

// touched counts the requests that a fault affected: those that were sent or
// tried again or failed, and calls that took longer than slowCallTime.
func touched(e load.Evidence) int {
	retried := make(map[string]bool)
	for _, r := range e.Runs {
		if r.Attempt > 1 {
			retried[r.RequestID] = true
		}
	}
	count := 0
	for _, o := range e.Seen {
		slow := o.Arrival.Class.Kind == load.Call && o.Total > slowCall
		if slow || retried[o.Arrival.ID] || o.Final.Sends > 1 || o.Final.Outcome() != request.Done {
			count++
		}
	}
	return count
}

// faultResult returns three rows for each fault and one for each guarantee.
func faultResult(table []faultCase, counts [][]faultCount, seeds int) Result {
	r := Result{Experiment: "faults", Seeds: seeds}
	totals := make([]map[load.Promise]int, seeds)
	for i, fc := range table {
		var breaches, done, affected []float64
		for n, c := range counts[i] {
			breaches = append(breaches, float64(len(c.breaches)))
			done = append(done, 100*float64(c.done)/float64(max(c.sent, 1)))
			affected = append(affected, float64(c.touched))
			totals[n] = addCounts(totals[n], load.Count(c.breaches))
			r.Notes = append(r.Notes, notesOf(fc.name, c)...)
		}
		doneRow, affectedRow := NewRow(fc.name+": done", "%", done...), NewRow(fc.name+": touched", "requests", affected...)
		if fc.allDone {
			doneRow = doneRow.WithAtLeast(100)
		}
		if fc.touches {
			affectedRow = affectedRow.WithAtLeast(1)
		}
		r.Rows = append(r.Rows, NewRow(fc.name+": breaches", "requests", breaches...).WithAtMost(0), doneRow, affectedRow)
	}
	for _, p := range load.Promises() {
		var samples []float64
		for _, total := range totals {
			samples = append(samples, float64(total[p]))
		}
		r.Rows = append(r.Rows, NewRow("all faults: "+string(p), "requests", samples...).WithAtMost(0))
	}
	if len(r.Notes) > mostNotes {
		r.Notes = append(r.Notes[:mostNotes], fmt.Sprintf("and %d more breaches", len(r.Notes)-mostNotes))
	}
	return r
}

func notesOf(name string, c faultCount) []string {
	var notes []string
	for _, b := range c.breaches {
		notes = append(notes, name+": "+b.String())
	}
	return notes
}

func addCounts(total, other map[load.Promise]int) map[load.Promise]int {
	if total == nil {
		total = make(map[load.Promise]int)
	}
	for p, n := range other {
		total[p] += n
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
