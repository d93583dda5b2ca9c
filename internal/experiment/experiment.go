// Package experiment holds the project's measurements. Each experiment returns
// typed rows with the bounds that they must keep.
package experiment

import (
	"context"
	"io"

	"github.com/juju/errors"
)

const (
	// defaultSeeds is for experiments with real processes, decisionSeeds for
	// those on the virtual clock.
	defaultSeeds  = 3
	decisionSeeds = 20
)

type (
	// Options are the settings of a run. Each seed is one repetition. Report is
	// the folder for tables and plots; an empty one writes none. Progress gets
	// lines while the experiment runs and is never nil in Run.
	Options struct {
		Seeds    int
		Report   string
		Progress io.Writer
	}

	// Experiment is one measurement that can be repeated.
	Experiment interface {
		// Name is the word that names the experiment on the command line.
		Name() string
		// Short says in one line what is measured.
		Short() string
		// Seeds is the number of repetitions by default.
		Seeds() int
		// Run measures; a missed bound is no error but a row that is not held.
		Run(ctx context.Context, opts Options) (Result, error)
	}

	// RunFunc is the work of an experiment.
	RunFunc func(ctx context.Context, opts Options) (Result, error)

	// simple is an experiment made of a name and a function.
	simple struct {
		name, short string
		seeds       int
		run         RunFunc
	}
)

// New returns an experiment that calls run.
func New(name, short string, run RunFunc) Experiment {
	return newSeeded(name, short, defaultSeeds, run)
}

func newSeeded(name, short string, seeds int, run RunFunc) Experiment {
	return simple{name, short, seeds, run}
}

// Name returns the experiment's name.
func (s simple) Name() string { return s.name }

// Short returns the experiment's description.
func (s simple) Short() string { return s.short }

// Seeds returns the number of repetitions by default.
func (s simple) Seeds() int { return s.seeds }

// Run calls the experiment's function.
func (s simple) Run(ctx context.Context, opts Options) (Result, error) { return s.run(ctx, opts) }

// Find returns the experiment of that name.
func Find(name string) (Experiment, error) {
	for _, e := range All() {
		if e.Name() == name {
			return e, nil
		}
	}
	return nil, errors.NotFoundf("experiment %q", name)
}
