package cmd

import (
	"context"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"
)

// part is a part of a process that runs beside its main part, until its context ends.
type part struct {
	name string
	run  func(ctx context.Context) error
}

// runParts runs the main part of a process and the parts beside it. Main begins an orderly stop when
// its first context ends, and the other parts run until it has returned: their context, which is
// main's second, ends then. A part that fails ends the first context, as a signal does: it cuts
// nothing that runs. RunParts returns the first error when all parts have returned.
func runParts(ctx context.Context, logger log.Logger, main func(stopping, running context.Context) error, parts ...part) error {
	stopping, stop := context.WithCancel(ctx)
	defer stop()
	running, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	var g errgroup.Group
	for _, p := range parts {
		g.Go(func() error {
			err := p.run(running)
			if err != nil && running.Err() == nil {
				level.Error(logger).Log("msg", "A part has failed; the process stops.", "of", p.name, "err", err)
				stop()
			}
			return err
		})
	}
	g.Go(func() error {
		defer end()
		return main(stopping, running)
	})
	return g.Wait()
}
