package experiment

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"
)

type (
	// sample is one figure of one seed. Bound is nil for a figure that is only
	// reported.
	sample struct {
		name, unit string
		value      float64
		bound      *Bound
	}

	// samples holds the figures of one seed, in the order of the table.
	samples []sample
)

func atMost(limit float64) *Bound { return &Bound{Limit: limit} }

func atLeast(limit float64) *Bound { return &Bound{AtLeast: true, Limit: limit} }

func (s *samples) add(name, unit string, value float64, b *Bound) {
	*s = append(*s, sample{name: name, unit: unit, value: value, bound: b})
}

// rowsOf combines the samples of all seeds into rows, one for each name.
func rowsOf(seeds []samples) []Row {
	values := make(map[string][]float64)
	var order samples
	for _, s := range seeds {
		for _, figure := range s {
			if _, known := values[figure.name]; !known {
				order = append(order, figure)
			}
			values[figure.name] = append(values[figure.name], figure.value)
		}
	}
	rows := make([]Row, 0, len(order))
	for _, first := range order {
		rows = append(rows, NewRow(first.name, first.unit, values[first.name]...).withBound(first.bound))
	}
	return rows
}

func (r Row) withBound(b *Bound) Row {
	switch {
	case b == nil:
		return r
	case b.AtLeast:
		return r.WithAtLeast(b.Limit)
	}
	return r.WithAtMost(b.Limit)
}

// measureSeeds measures the seeds 1 to n in parallel, reports progress after each,
// and returns their samples in the order of the seeds.
func measureSeeds(ctx context.Context, n int, progress io.Writer, measure func(seed uint64) samples) ([]samples, error) {
	var (
		mu   sync.Mutex
		done int
	)
	results := make([]samples, n)
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(runtime.GOMAXPROCS(0))
	for i := range n {
		g.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			results[i] = measure(uint64(i + 1))
			mu.Lock()
			defer mu.Unlock()
			done++
			fmt.Fprintf(progress, "%d of %d seeds measured\n", done, n) //nolint:errcheck // progress output is optional
			return nil
		})
	}
	return results, g.Wait()
}

// valuesOf returns the values of one figure, in the order of the seeds.
func valuesOf(seeds []samples, name string) []float64 {
	var values []float64
	for _, s := range seeds {
		if index := slices.IndexFunc(s, func(figure sample) bool { return figure.name == name }); index >= 0 {
			values = append(values, s[index].value)
		}
	}
	return values
}
