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
	// faultRate is how many requests are sent each second.
	faultRate = 60.0

	// faultAt is when the fault comes, counted from the first request.
	faultAt = 1500 * time.Millisecond

	// faultLength is how long requests are sent.
	faultLength = 6 * time.Second

	// slowCall is longer than any call of a plain service takes without a fault.
	slowCall = 500 * time.Millisecond

	// settleTime lets late bills and runs come in.
	settleTime = 2 * time.Second

	// parallelFaults is how many faults are tried at once, each in a cluster of
	// its own.
	parallelFaults = 3

	// mostNotes bounds the breaches that are listed.
	mostNotes = 40
)

type (
	// faultCase is a fault and how callers behave beside it. With allDone set,
	// every request must be done. With touches set, some request must have been
	// sent again, have failed or have waited, else the fault hit nothing. Tight
	// entries run few requests at once and refuse the others. A timeout replaces
	// those of the classes.
	faultCase struct {
		name    string
		manner  load.Manner
		timeout time.Duration
		allDone bool
		touches bool
		tight   bool
		inject  func(ctx context.Context, t *faultTrial) error
	}

	// faultTrial is one run of a case.
	faultTrial struct {
		cluster  *cluster.Cluster
		running  context.Context
		evidence load.Evidence
	}

	// faultCount is what one run of a case showed.
	faultCount struct {
		breaches []load.Breach
		sent     int
		done     int
		notRun   int
		unknown  int
		touched  int
	}
)

// faults checks the promises under every fault of the table.
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
				fmt.Fprintf(opts.Progress, "%s, seed %d: sent %d, done %d, breaches %d\n", fc.name, seed+1, count.sent, count.done, len(count.breaches)) //nolint:errcheck // progress is a help only
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
	defer os.RemoveAll(folder) //nolint:errcheck // a leftover folder does no harm
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
	c.Wait() //nolint:errcheck // parts that were killed end with errors
	return count, err
}

// faultCluster returns the settings of a cluster whose answers take long enough
// to be hit while they are on their way.
func faultCluster(fc faultCase, folder string) cluster.Options {
	opts := cluster.DefaultOptions(folder)
	opts.StepTime = 4 * time.Millisecond
	if fc.tight {
		opts.MaxRunning, opts.MaxWaiting = 1, 0
	}
	return opts
}

// run sends the load, causes the fault and compares the evidence.
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
	g, sending := errgroup.WithContext(ctx)
	g.Go(func() error {
		t.evidence.Seen = load.NewRunner(opts).Run(sending)
		return errors.Trace(sending.Err())
	})
	g.Go(func() error {
		if err := pause(sending, faultAt); err != nil {
			return err
		}
		return fc.inject(sending, t)
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

// touched counts the requests that were sent or tried again, failed, or waited
// as no call does without a fault.
func touched(e load.Evidence) int {
	again := make(map[string]bool)
	for _, r := range e.Runs {
		if r.Attempt > 1 {
			again[r.RequestID] = true
		}
	}
	n := 0
	for _, o := range e.Seen {
		waited := o.Arrival.Class.Kind == load.Call && o.Total > slowCall
		if waited || again[o.Arrival.ID] || o.Final.Sends > 1 || o.Final.Outcome() != request.Done {
			n++
		}
	}
	return n
}

// faultResult makes a row for each fault and one for each promise.
func faultResult(table []faultCase, counts [][]faultCount, seeds int) Result {
	r := Result{Experiment: "faults", Seeds: seeds}
	sums := make([]map[load.Promise]int, seeds)
	for i, fc := range table {
		var breaches, done, hit []float64
		for n, c := range counts[i] {
			breaches = append(breaches, float64(len(c.breaches)))
			done = append(done, 100*float64(c.done)/float64(max(c.sent, 1)))
			hit = append(hit, float64(c.touched))
			sums[n] = addCounts(sums[n], load.Count(c.breaches))
			r.Notes = append(r.Notes, notesOf(fc.name, c)...)
		}
		doneRow, hitRow := NewRow(fc.name+": done", "%", done...), NewRow(fc.name+": touched", "requests", hit...)
		if fc.allDone {
			doneRow = doneRow.WithAtLeast(100)
		}
		if fc.touches {
			hitRow = hitRow.WithAtLeast(1)
		}
		r.Rows = append(r.Rows, NewRow(fc.name+": breaches", "requests", breaches...).WithAtMost(0), doneRow, hitRow)
	}
	for _, p := range load.Promises() {
		var samples []float64
		for _, sum := range sums {
			samples = append(samples, float64(sum[p]))
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

func addCounts(sum, more map[load.Promise]int) map[load.Promise]int {
	if sum == nil {
		sum = make(map[load.Promise]int)
	}
	for p, n := range more {
		sum[p] += n
	}
	return sum
}

// withTimeout returns the sources with the timeout for every class.
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

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-clock.WallClock.After(d):
		return nil
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}
