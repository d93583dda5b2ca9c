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
	// sample is one figure of one seed. Bound is nil for what is only shown.
	sample struct {
		name, unit string
		value      float64
		bound      *Bound
	}

	// samples are the figures of one seed, in the order of the table.
	samples []sample
)

func atMost(limit float64) *Bound { return &Bound{Limit: limit} }

func atLeast(limit float64) *Bound { return &Bound{AtLeast: true, Limit: limit} }

func (s *samples) add(name, unit string, value float64, b *Bound) {
	*s = append(*s, sample{name: name, unit: unit, value: value, bound: b})
}

// rowsOf joins the samples of all seeds into rows.
func rowsOf(seeds []samples) []Row {
	values := make(map[string][]float64)
	var order samples
	for _, s := range seeds {
		for _, one := range s {
			if _, known := values[one.name]; !known {
				order = append(order, one)
			}
			values[one.name] = append(values[one.name], one.value)
		}
	}
	rows := make([]Row, 0, len(order))
	for _, one := range order {
		rows = append(rows, NewRow(one.name, one.unit, values[one.name]...).withBound(one.bound))
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

// overSeeds measures the seeds 1 to n beside each other, tells progress after
// each, and returns their samples in the order of the seeds.
func overSeeds(ctx context.Context, n int, progress io.Writer, measure func(seed uint64) samples) ([]samples, error) {
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
			fmt.Fprintf(progress, "%d of %d seeds measured\n", done, n) //nolint:errcheck // progress is only told
			return nil
		})
	}
	return results, g.Wait()
}

// valuesOf returns the values of one figure, in the order of the seeds.
func valuesOf(seeds []samples, name string) []float64 {
	var values []float64
	for _, s := range seeds {
		if at := slices.IndexFunc(s, func(one sample) bool { return one.name == name }); at >= 0 {
			values = append(values, s[at].value)
		}
	}
	return values
}
