package load

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"

	"rosereach/core/request"
)

// The range of the histograms in microseconds, and their significant digits.
const (
	minMicros         = 1
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// The measures of a report.
const (
	MeasureFirstToken    = "first_token"
	MeasureTokenInterval = "token_interval"
	MeasureTotal         = "total"
	MeasureSendDelay     = "sent_late"
)

// allClasses is the class name of the total of all classes.
const allClasses = "all"

var quantiles = []float64{50, 90, 95, 99, 99.9, 100}

type (
	// Counts are the outcomes of requests. Resent counts those that were sent
	// more than once, Cut the answers that were truncated without an error.
	Counts struct {
		Ended   int `json:"ended"`
		Done    int `json:"done"`
		NotRun  int `json:"not_run"`
		Unknown int `json:"unknown"`
		Resent  int `json:"resent"`
		Cut     int `json:"cut_without_error"`
		Tokens  int `json:"tokens"`
	}

	// Percentiles holds one measure of one class, in milliseconds by
	// percentile name such as "p99".
	Percentiles struct {
		Class   string             `json:"class"`
		Measure string             `json:"measure"`
		Count   int64              `json:"count"`
		Millis  map[string]float64 `json:"millis"`
	}

	// Second summarizes the requests that were scheduled in one second of a
	// run. Times are in milliseconds.
	Second struct {
		Counts        Counts  `json:"counts"`
		FirstTokenP50 float64 `json:"first_token_p50"`
		FirstTokenP99 float64 `json:"first_token_p99"`
	}

	// Report holds the results of a run.
	Report struct {
		Name     string         `json:"name"`
		Seed     uint64         `json:"seed"`
		LengthMs int64          `json:"length_ms"`
		Planned  int            `json:"planned"`
		Counts   Counts         `json:"counts"`
		Codes    map[string]int `json:"codes"`
		Measures []Percentiles  `json:"measures"`
		Seconds  []Second       `json:"seconds"`
		Curves   []Curve        `json:"curves"`
	}

	// Curve is a full distribution: milliseconds by percentile.
	Curve struct {
		Measure     string    `json:"measure"`
		Percentiles []float64 `json:"percentiles"`
		Millis      []float64 `json:"millis"`
	}

	// histograms holds a histogram for each pair of class and measure.
	histograms map[[2]string]*hdrhistogram.Histogram
)

// NewReport summarizes the observations of a run.
func NewReport(name string, opts Options, observations []Observation) Report {
	r := Report{
		Name: name, Seed: opts.Seed, LengthMs: opts.Duration.Milliseconds(), Counts: countAll(observations),
		Planned: len(opts.Schedule()), Codes: make(map[string]int),
	}
	all := make(histograms)
	for _, o := range observations {
		all.add(o)
		if p := o.Result.Reply.Problem; p != nil {
			r.Codes[string(p.Code)]++
		} else if o.Result.Err != nil {
			r.Codes["connection_failed"]++
		}
	}
	r.Measures = all.percentiles()
	r.Seconds = summarizeSeconds(observations, opts.Duration)
	for _, measure := range []string{MeasureFirstToken, MeasureTokenInterval, MeasureTotal} {
		if h := all[[2]string{allClasses, measure}]; h != nil {
			r.Curves = append(r.Curves, curveOf(measure, h))
		}
	}
	return r
}

// Find returns the percentiles of a measure of one class.
func (r Report) Find(class, measure string) (Percentiles, bool) {
	i := slices.IndexFunc(r.Measures, func(p Percentiles) bool { return p.Class == class && p.Measure == measure })
	if i < 0 {
		return Percentiles{}, false
	}
	return r.Measures[i], true
}

// String formats the counts and a table of the percentiles.
func (r Report) String() string {
	var b strings.Builder
	c := r.Counts
	fmt.Fprintf(&b, "%s, seed %d: planned %d, ended %d: done %d, not_run %d, unknown %d; sent again %d, cut without error %d, tokens %d\n",
		r.Name, r.Seed, r.Planned, c.Ended, c.Done, c.NotRun, c.Unknown, c.Resent, c.Cut, c.Tokens)
	for _, code := range slices.Sorted(maps.Keys(r.Codes)) {
		fmt.Fprintf(&b, "  %s %d\n", code, r.Codes[code])
	}
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "class\tmeasure, ms\tcount\t%s\t\n", strings.Join(quantileNames(), "\t")) //nolint:errcheck // a strings.Builder never fails
	for _, p := range r.Measures {
		fmt.Fprintf(w, "%s\t%s\t%d\t", p.Class, p.Measure, p.Count) //nolint:errcheck // a strings.Builder never fails
		for _, name := range quantileNames() {
			fmt.Fprintf(w, "%.2f\t", p.Millis[name]) //nolint:errcheck // a strings.Builder never fails
		}
		fmt.Fprintln(w) //nolint:errcheck // a strings.Builder never fails
	}
	w.Flush() //nolint:errcheck // a strings.Builder never fails
	return b.String()
}

// Write writes the report to NAME.json and NAME.html in the folder, where NAME
// is the name of the report.
func (r Report) Write(folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return errors.Trace(err)
	}
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Trace(err)
	}
	page, err := r.HTML()
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(folder, r.Name+".json"), data, 0o644); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(os.WriteFile(filepath.Join(folder, r.Name+".html"), page, 0o644))
}

// ReadReport reads a JSON report written by Write.
func ReadReport(path string) (Report, error) {
	var r Report
	data, err := os.ReadFile(path)
	if err != nil {
		return r, errors.Trace(err)
	}
	return r, errors.Annotatef(json.Unmarshal(data, &r), "report %s", path)
}

func countAll(observations []Observation) Counts {
	var c Counts
	for _, o := range observations {
		c.add(o)
	}
	return c
}

func (c *Counts) add(o Observation) {
	c.Ended++
	switch o.Result.Outcome() {
	case request.Done:
		c.Done++
	case request.NotRun:
		c.NotRun++
	default:
		c.Unknown++
	}
	if o.Result.Sends > 1 {
		c.Resent++
	}
	c.Cut += o.Truncations
	c.Tokens += int(o.Result.Reply.Tokens)
}

// add records an observation. Only done requests count toward the latencies:
// refusals are fast and would make them look better.
func (h histograms) add(o Observation) {
	class := o.Arrival.Class.Name
	h.record(class, MeasureSendDelay, o.SendDelay)
	if o.Result.Outcome() != request.Done {
		return
	}
	h.record(class, MeasureTotal, o.Total)
	if o.FirstToken > 0 {
		h.record(class, MeasureFirstToken, o.FirstToken)
	}
	for _, gap := range o.TokenIntervals {
		h.record(class, MeasureTokenInterval, gap)
	}
}

func (h histograms) record(class, measure string, d time.Duration) {
	for _, name := range []string{class, allClasses} {
		key := [2]string{name, measure}
		if h[key] == nil {
			h[key] = hdrhistogram.New(minMicros, maxMicros, significantDigits)
		}
		h[key].RecordValue(min(max(d.Microseconds(), minMicros), maxMicros)) //nolint:errcheck // the value is in range
	}
}

func (h histograms) percentiles() []Percentiles {
	var list []Percentiles
	keys := slices.SortedFunc(maps.Keys(h), func(a, b [2]string) int { return slices.Compare(a[:], b[:]) })
	for _, key := range keys {
		p := Percentiles{Class: key[0], Measure: key[1], Count: h[key].TotalCount(), Millis: make(map[string]float64)}
		for i, q := range quantiles {
			p.Millis[quantileNames()[i]] = millisAt(h[key], q)
		}
		list = append(list, p)
	}
	return list
}

func summarizeSeconds(observations []Observation, length time.Duration) []Second {
	list := make([]Second, int((length+time.Second-1)/time.Second))
	firstTokens := make([]*hdrhistogram.Histogram, len(list))
	for _, o := range observations {
		i := int(o.Arrival.At / time.Second)
		list[i].Counts.add(o)
		if o.FirstToken == 0 {
			continue
		}
		if firstTokens[i] == nil {
			firstTokens[i] = hdrhistogram.New(minMicros, maxMicros, significantDigits)
		}
		firstTokens[i].RecordValue(min(max(o.FirstToken.Microseconds(), minMicros), maxMicros)) //nolint:errcheck // the value is in range
	}
	for i, h := range firstTokens {
		if h != nil {
			list[i].FirstTokenP50, list[i].FirstTokenP99 = millisAt(h, 50), millisAt(h, 99)
		}
	}
	return list
}

func curveOf(measure string, h *hdrhistogram.Histogram) Curve {
	c := Curve{Measure: measure}
	for _, q := range []float64{0, 10, 20, 30, 40, 50, 60, 70, 80, 85, 90, 92.5, 95, 97, 98, 99, 99.5, 99.9, 100} {
		c.Percentiles = append(c.Percentiles, q)
		c.Millis = append(c.Millis, millisAt(h, q))
	}
	return c
}

func millisAt(h *hdrhistogram.Histogram, q float64) float64 {
	const microsPerMilli = 1000
	return float64(h.ValueAtPercentile(q)) / microsPerMilli
}

func quantileNames() []string {
	names := make([]string, 0, len(quantiles))
	for _, q := range quantiles {
		names = append(names, fmt.Sprintf("p%g", q))
	}
	return names
}
