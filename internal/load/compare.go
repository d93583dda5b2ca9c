package load

import (
	"fmt"
	"strings"
	"text/tabwriter"
)

// comparedQuantiles are the percentiles that a comparison shows.
var comparedQuantiles = []string{"p50", "p95", "p99"}

// Compare returns a table of the figures of two reports and their changes.
// Measures that only one of them has are left out.
func Compare(a, b Report) string {
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "\t%s\t%s\tchange\t\n", a.Name, b.Name) //nolint:errcheck // a builder takes all bytes
	line := func(name string, x, y float64) {
		fmt.Fprintf(w, "%s\t%.2f\t%.2f\t%s\t\n", name, x, y, changeOf(x, y)) //nolint:errcheck // a builder takes all bytes
	}
	line("ended", float64(a.Counts.Ended), float64(b.Counts.Ended))
	line("done", float64(a.Counts.Done), float64(b.Counts.Done))
	line("not_run", float64(a.Counts.NotRun), float64(b.Counts.NotRun))
	line("unknown", float64(a.Counts.Unknown), float64(b.Counts.Unknown))
	for _, m := range a.Measures {
		other, ok := b.Find(m.Class, m.Measure)
		if !ok {
			continue
		}
		for _, q := range comparedQuantiles {
			line(fmt.Sprintf("%s %s %s ms", m.Class, m.Measure, q), m.Millis[q], other.Millis[q])
		}
	}
	w.Flush() //nolint:errcheck // a builder takes all bytes
	return text.String()
}

func changeOf(x, y float64) string {
	if x == 0 {
		return ""
	}
	const percent = 100
	return fmt.Sprintf("%+.1f%%", (y-x)/x*percent)
}
