package load

import (
	"fmt"
	"strings"
	"text/tabwriter"
)

// comparedQuantiles are the percentiles shown in a comparison.
var comparedQuantiles = []string{"p50", "p95", "p99"}

// Compare returns a table of two reports' counts and percentiles with the
// relative change. Measures that are missing from b are omitted.
func Compare(a, b Report) string {
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "\t%s\t%s\tchange\t\n", a.Name, b.Name) //nolint:errcheck // a strings.Builder never fails
	row := func(name string, x, y float64) {
		fmt.Fprintf(w, "%s\t%.2f\t%.2f\t%s\t\n", name, x, y, relativeChange(x, y)) //nolint:errcheck // a strings.Builder never fails
	}
	row("ended", float64(a.Counts.Ended), float64(b.Counts.Ended))
	row("done", float64(a.Counts.Done), float64(b.Counts.Done))
	row("not_run", float64(a.Counts.NotRun), float64(b.Counts.NotRun))
	row("unknown", float64(a.Counts.Unknown), float64(b.Counts.Unknown))
	for _, m := range a.Measures {
		other, ok := b.Find(m.Class, m.Measure)
		if !ok {
			continue
		}
		for _, q := range comparedQuantiles {
			row(fmt.Sprintf("%s %s %s ms", m.Class, m.Measure, q), m.Millis[q], other.Millis[q])
		}
	}
	w.Flush() //nolint:errcheck // a strings.Builder never fails
	return text.String()
}

func relativeChange(x, y float64) string {
	if x == 0 {
		return ""
	}
	const percent = 100
	return fmt.Sprintf("%+.1f%%", (y-x)/x*percent)
}
