package experiment

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/juju/errors"

	"rosereach/internal/graph"
)

type (
	// Plot is a line plot that belongs to a result.
	Plot = graph.Plot

	// Line is a named line of a plot.
	Line = graph.Line

	// Point is one point of a line.
	Point = graph.Point

	// Bound is the upper or, with AtLeast set, lower limit of a row, in its unit.
	Bound struct {
		AtLeast bool    `json:"at_least"`
		Limit   float64 `json:"limit"`
	}

	// Row is one measured figure over all seeds. Bound is nil for a figure that
	// is only reported. Held tells whether every seed keeps the bound.
	Row struct {
		Name   string  `json:"name"`
		Median float64 `json:"median"`
		Min    float64 `json:"min"`
		Max    float64 `json:"max"`
		Unit   string  `json:"unit"`
		Bound  *Bound  `json:"bound,omitempty"`
		Held   bool    `json:"held"`
	}

	// Result holds the figures of an experiment. Notes are printed below the table.
	Result struct {
		Experiment string   `json:"experiment"`
		Seeds      int      `json:"seeds"`
		Rows       []Row    `json:"rows"`
		Notes      []string `json:"notes,omitempty"`
		Plots      []Plot   `json:"-"`
	}
)

// NewRow returns a row of samples, one for each seed.
func NewRow(name, unit string, samples ...float64) Row {
	sorted := slices.Sorted(slices.Values(samples))
	r := Row{Name: name, Unit: unit, Held: true}
	if len(sorted) == 0 {
		return r
	}
	r.Min, r.Max = sorted[0], sorted[len(sorted)-1]
	middle := len(sorted) / 2
	r.Median = sorted[middle]
	if len(sorted)%2 == 0 {
		r.Median = (sorted[middle-1] + sorted[middle]) / 2
	}
	return r
}

// WithAtMost returns the row with an upper bound that every seed must keep.
func (r Row) WithAtMost(limit float64) Row {
	r.Bound = &Bound{Limit: limit}
	r.Held = r.Max <= limit
	return r
}

// WithAtLeast returns the row with a lower bound that every seed must keep.
func (r Row) WithAtLeast(limit float64) Row {
	r.Bound = &Bound{AtLeast: true, Limit: limit}
	r.Held = r.Min >= limit
	return r
}

// Missed returns the rows whose bound does not hold.
func (r Result) Missed() []Row {
	return slices.DeleteFunc(slices.Clone(r.Rows), func(row Row) bool { return row.Held })
}

// String returns the rows as a table, and the notes below it.
func (r Result) String() string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%s\tmedian\tmin\tmax\tunit\tbound\theld\n", r.Experiment) //nolint:errcheck // writes to a strings.Builder do not fail
	for _, row := range r.Rows {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", row.Name, formatFigure(row.Median), formatFigure(row.Min), formatFigure(row.Max), row.Unit, row.boundCells()) //nolint:errcheck // writes to a strings.Builder do not fail
	}
	w.Flush() //nolint:errcheck // writes to a strings.Builder do not fail
	for _, note := range r.Notes {
		fmt.Fprintln(&b, note)
	}
	return b.String()
}

// Write writes the result as NAME.json and NAME.txt and its plots as PNG files
// to the folder, which it creates if it is missing.
func (r Result) Write(folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return errors.Trace(err)
	}
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Trace(err)
	}
	files := map[string][]byte{r.Experiment + ".json": data, r.Experiment + ".txt": []byte(r.String())}
	for _, p := range r.Plots {
		if files[r.Experiment+"-"+p.Name+".png"], err = p.PNG(); err != nil {
			return errors.Annotatef(err, "plot %s", p.Name)
		}
	}
	for name, content := range files {
		if err := os.WriteFile(filepath.Join(folder, name), content, 0o644); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// boundCells returns the cells of the columns bound and held.
func (r Row) boundCells() string {
	if r.Bound == nil {
		return "\t"
	}
	sign, held := "<=", "yes"
	if r.Bound.AtLeast {
		sign = ">="
	}
	if !r.Held {
		held = "NO"
	}
	return sign + " " + formatFigure(r.Bound.Limit) + "\t" + held
}

// formatFigure formats a value with four significant digits, and with all
// digits before the decimal point.
func formatFigure(v float64) string {
	const digits = 4
	return strconv.FormatFloat(v, 'g', max(digits, len(strconv.FormatInt(int64(v), 10))), 64)
}
