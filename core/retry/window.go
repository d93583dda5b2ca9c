package retry

import "time"

// slices is the number of slices of a sliding window.
const slices = 10

type (
	// Shared configures a retry budget that all members of a fleet share: in any
	// window the repeats are at most Ratio times the requests, plus Slack. Each
	// member applies Ratio to its own requests and uses an equal part of Slack, so
	// that the sum holds however load moves between members.
	Shared struct {
		Ratio  float64
		Slack  float64
		Window time.Duration
	}

	// Window is one member's part of a shared retry budget. It counts requests
	// and repeats over a sliding window. It is not safe for concurrent use.
	Window struct {
		terms    Shared
		start    time.Time
		requests [slices]float64
		repeats  [slices]float64
		at       int64 // number of the current slice, counted from start
	}
)

// NewWindow returns a budget without requests.
func NewWindow(t Shared) *Window { return &Window{terms: t} }

// Request records a request, which adds to the budget.
func (w *Window) Request(now time.Time) { w.requests[w.advance(now)]++ }

// Take spends one repeat and reports whether this member's part of the budget,
// one of the given number of members, allowed it.
func (w *Window) Take(now time.Time, members int) bool {
	index := w.advance(now)
	var requests, repeats float64
	for i := range slices {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	if repeats+1 > w.terms.Ratio*requests+w.terms.Slack/float64(max(members, 1)) {
		return false
	}
	w.repeats[index]++
	return true
}

// advance clears the slices that have left the window and returns the index of
// the current one.
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
