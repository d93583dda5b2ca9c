// Package demo runs all components of rosereach in one process, sends the
// request mixes of both example customers and checks the guarantees for every
// request.
package demo

import (
	"context"
	"os"
	"time"

	"github.com/juju/clock"
	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"rosereach/core/version"
	"rosereach/internal/cluster"
	"rosereach/internal/load"
)

const (
	// requestsPerSecond is the total rate of requests per second.
	requestsPerSecond = 40.0

	// dropEvery discards the first answer to every tenth request, so that the
	// caller sends it again.
	dropEvery = 10

	// runTimeout is the timeout of the whole demo.
	runTimeout = 30 * time.Second
)

type (
	// Options configure a run.
	Options struct {
		Requests int
		Seed     uint64
	}

	// runner sends the demo requests to a cluster.
	runner struct {
		opts    load.Options
		cluster *cluster.Cluster
	}
)

// Run runs the demo and returns its results.
func Run(ctx context.Context, opts Options) (Summary, error) {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	folder, err := os.MkdirTemp("", "rosereach-demo-")
	if err != nil {
		return Summary{}, errors.Trace(err)
	}
	defer os.RemoveAll(folder) //nolint:errcheck // a leftover temporary folder is harmless
	running, stop := context.WithCancel(ctx)
	defer stop()
	c, err := cluster.Start(running, cluster.DefaultOptions(folder))
	if err != nil {
		return Summary{}, err
	}
	summary, err := sendRequests(ctx, c, opts)
	stop()
	if stopErr := c.Wait(); err == nil {
		err = stopErr
	}
	return summary, err
}

func sendRequests(ctx context.Context, c *cluster.Cluster, opts Options) (Summary, error) {
	customers, err := c.SetUp(ctx)
	if err != nil {
		return Summary{}, err
	}
	sources, err := cluster.Sources(customers, requestsPerSecond)
	if err != nil {
		return Summary{}, err
	}
	// A Poisson schedule over twice the mean time contains enough requests.
	length := time.Duration(2 * float64(opts.Requests) / requestsPerSecond * float64(time.Second))
	r := &runner{cluster: c, opts: load.Options{
		Entries: c.Addresses(), Sources: sources, Duration: length, MaxRequests: opts.Requests, Behavior: load.CallerBehavior{DropEvery: dropEvery},
		Seed: opts.Seed, Clock: clock.WallClock,
	}}
	evidence, err := r.send(ctx)
	if err != nil {
		return Summary{}, err
	}
	return newSummary(evidence, cluster.Small2), nil
}

// send sends all requests and withdraws a version halfway through, while
// requests are in flight.
func (r *runner) send(ctx context.Context) (load.Evidence, error) {
	e := load.Evidence{WithdrawnAt: make(map[version.Ref]time.Time)}
	schedule := r.opts.Schedule()
	withdrawAfter := schedule[len(schedule)/2].At
	g, sending := errgroup.WithContext(ctx)
	g.Go(func() error {
		e.Observations = load.NewRunner(r.opts).Run(sending)
		return errors.Trace(sending.Err())
	})
	g.Go(func() error {
		select {
		case <-r.opts.Clock.After(withdrawAfter):
		case <-sending.Done():
			return errors.Trace(sending.Err())
		}
		at, err := r.cluster.Withdraw(sending, cluster.Small2)
		e.WithdrawnAt[cluster.Small2] = at
		return err
	})
	if err := g.Wait(); err != nil {
		return e, err
	}
	bills, err := r.cluster.Bills(ctx)
	e.Bills, e.Runs = bills, r.cluster.Runs()
	return e, err
}
