// Package experiment holds the project's benchmarks and simulations. Each
// experiment returns rows of measured figures, with the bounds to keep.
package experiment

import (
	"context"
	"io"

	"github.com/juju/errors"
)

const (
	// defaultSeeds is the number of repetitions of experiments on real time,
	// simulationSeeds that of simulations on a virtual clock.
	defaultSeeds    = 3
	simulationSeeds = 20
)

type (
	// Options holds the settings of a run. Each seed is one repetition. Report is
	// the folder for tables and plots; none are written when it is empty. Progress
	// receives progress lines and must not be nil.
	Options struct {
		Seeds    int
		Report   string
		Progress io.Writer
	}

	// Experiment is a repeatable measurement.
	Experiment interface {
		// Name is the experiment's name on the command line.
		Name() string
		// Short describes in one line what is measured.
		Short() string
		// Seeds is the default number of repetitions.
		Seeds() int
		// Run takes the measurement. A missed bound is not an error; its row has
		// Held unset.
		Run(ctx context.Context, opts Options) (Result, error)
	}

	// RunFunc takes the measurement of an experiment.
	RunFunc func(ctx context.Context, opts Options) (Result, error)

	// funcExperiment is an experiment made of a name, a description and a function.
	funcExperiment struct {
		name, short string
		seeds       int
		run         RunFunc
	}
)

// New returns an experiment that calls run, by default with defaultSeeds
// repetitions.
func New(name, short string, run RunFunc) Experiment {
	return newWithSeeds(name, short, defaultSeeds, run)
}

func newWithSeeds(name, short string, seeds int, run RunFunc) Experiment {
	return funcExperiment{name, short, seeds, run}
}

// Name returns the experiment's name.
func (e funcExperiment) Name() string { return e.name }

// Short returns the experiment's description.
func (e funcExperiment) Short() string { return e.short }

// Seeds returns the default number of repetitions.
func (e funcExperiment) Seeds() int { return e.seeds }

// Run calls the experiment's function.
func (e funcExperiment) Run(ctx context.Context, opts Options) (Result, error) {
	return e.run(ctx, opts)
}

// Find returns the experiment of that name.
func Find(name string) (Experiment, error) {
	for _, e := range All() {
		if e.Name() == name {
			return e, nil
		}
	}
	return nil, errors.NotFoundf("experiment %q", name)
}
