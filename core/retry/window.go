package retry

import "time"

// slices is how many parts a window is counted in.
const slices = 10

type (
	// Shared are the terms of a budget that a fleet shares: in any Window the
	// repeats may be Ratio of the requests, and Slack more. Each member keeps
	// to its own requests and an equal part of the slack, so that the sum
	// holds however load moves between them.
	Shared struct {
		Ratio  float64
		Slack  float64
		Window time.Duration
	}

	// Window counts requests and repeats over a sliding window. It is not safe
	// for concurrent use.
	Window struct {
		terms    Shared
		start    time.Time
		requests [slices]float64
		repeats  [slices]float64
		at       int64
	}
)

// NewWindow returns an empty budget.
func NewWindow(t Shared) *Window { return &Window{terms: t} }

// Request counts a request.
func (w *Window) Request(now time.Time) { w.requests[w.advance(now)]++ }

// Take counts a repeat, if the budget of one of the members holds it.
func (w *Window) Take(now time.Time, members int) bool {
	at := w.advance(now)
	var requests, repeats float64
	for i := range slices {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	if repeats+1 > w.terms.Ratio*requests+w.terms.Slack/float64(max(members, 1)) {
		return false
	}
	w.repeats[at]++
	return true
}

// advance empties the slices that lie behind and returns the current one.
func (w *Window) advance(now time.Time) int {
	if w.start.IsZero() {
		w.start = now
	}
	width := max(int64(w.terms.Window)/slices, 1)
	current := int64(now.Sub(w.start)) / width
	if current-w.at >= slices || current < w.at {
		w.requests, w.repeats = [slices]float64{}, [slices]float64{}
	} else {
		for i := w.at + 1; i <= current; i++ {
			w.requests[i%slices], w.repeats[i%slices] = 0, 0
		}
	}
	w.at = current
	return int(current % slices)
}
