package load

import (
	"bytes"
	_ "embed"
	"encoding/base64"
	"html/template"

	"github.com/juju/errors"

	"rosereach/internal/graph"
)

//go:embed report.html
var reportPage string

var reportTemplate = template.Must(template.New("report").Parse(reportPage))

// page is the data of the report template, which uses its fields by name.
type page struct {
	Report    Report
	Quantiles []string
	Pictures  []template.URL
}

// HTML renders the report as a self-contained page with embedded plots.
func (r Report) HTML() ([]byte, error) {
	p := page{Report: r, Quantiles: quantileNames()}
	for _, plot := range r.Plots() {
		data, err := plot.PNG()
		if err != nil {
			return nil, errors.Annotatef(err, "plot %s", plot.Name)
		}
		p.Pictures = append(p.Pictures, template.URL("data:image/png;base64,"+base64.StdEncoding.EncodeToString(data)))
	}
	var b bytes.Buffer
	err := reportTemplate.Execute(&b, p)
	return b.Bytes(), errors.Trace(err)
}

// Plots returns plots of the outcomes and of the time to first token over
// time, and one of each distribution.
func (r Report) Plots() []graph.Plot {
	var done, notRun, unknown, p50, p99 []graph.Point
	for i, s := range r.Seconds {
		x := float64(i)
		done = append(done, graph.Point{X: x, Y: float64(s.Counts.Done)})
		notRun = append(notRun, graph.Point{X: x, Y: float64(s.Counts.NotRun)})
		unknown = append(unknown, graph.Point{X: x, Y: float64(s.Counts.Unknown)})
		p50 = append(p50, graph.Point{X: x, Y: s.FirstTokenP50})
		p99 = append(p99, graph.Point{X: x, Y: s.FirstTokenP99})
	}
	plots := []graph.Plot{
		{Name: "outcomes", Title: "Outcomes by second of sending", X: "s", Y: "requests", Lines: []graph.Line{
			{Name: "done", Points: done}, {Name: "not_run", Points: notRun}, {Name: "unknown", Points: unknown},
		}},
		{Name: "first_token", Title: "First token by second of sending", X: "s", Y: "ms", Lines: []graph.Line{
			{Name: "p50", Points: p50}, {Name: "p99", Points: p99},
		}},
	}
	for _, c := range r.Curves {
		var points []graph.Point
		for i, q := range c.Percentiles {
			points = append(points, graph.Point{X: q, Y: c.Millis[i]})
		}
		plots = append(plots, graph.Plot{
			Name: c.Measure + "_curve", Title: "Distribution of " + c.Measure, X: "percentile", Y: "ms",
			Lines: []graph.Line{{Name: c.Measure, Points: points}},
		})
	}
	return plots
}
