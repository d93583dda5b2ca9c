package retry

import "time"

const (
	// windowSlices is the number of slices of a sliding window.
	windowSlices = 10

	// keptSlices includes the slice that a window which ends now may begin in.
	keptSlices = windowSlices + 1
)

type (
	// WindowBudgetConfig configures a retry budget that all members of a fleet
	// share: in any window the retries are at most Ratio times the requests, plus
	// Slack. Each member applies Ratio to its own requests and uses an equal part
	// of Slack, so that the sum holds however load moves between members.
	WindowBudgetConfig struct {
		Ratio  float64
		Slack  float64
		Window time.Duration
	}

	// WindowBudget is one member's part of a shared retry budget. It counts
	// requests and retries over a sliding window. It is not safe for concurrent
	// use.
	WindowBudget struct {
		cfg      WindowBudgetConfig
		start    time.Time
		requests [keptSlices]float64
		retries  [keptSlices]float64
		current  int64 // number of the current slice, counted from start
	}

	// WindowBudgets holds one member's part of the retry budget of each service. It
	// answers one service failing while another does not: the requests for the sound
	// one must not pay for retries at the other. It is not safe for concurrent use.
	WindowBudgets struct {
		cfg      WindowBudgetConfig
		services map[string]*WindowBudget
	}
)

// NewWindowBudgets returns budgets without requests, all with the same configuration.
func NewWindowBudgets(cfg WindowBudgetConfig) *WindowBudgets {
	return &WindowBudgets{cfg: cfg, services: make(map[string]*WindowBudget)}
}

// For returns the budget of the service.
func (b *WindowBudgets) For(service string) *WindowBudget {
	w, ok := b.services[service]
	if !ok {
		w = NewWindowBudget(b.cfg)
		b.services[service] = w
	}
	return w
}

// NewWindowBudget returns a budget without requests.
func NewWindowBudget(cfg WindowBudgetConfig) *WindowBudget { return &WindowBudget{cfg: cfg} }

// RecordRequest records a request, which adds to the budget.
func (w *WindowBudget) RecordRequest(now time.Time) { w.requests[w.advance(now)]++ }

// Allows reports whether this member's part of the budget allows another retry. Members
// is the number of members that share the slack. Of the slice that the window begins in
// the retries count and the requests do not, so that the budget holds in any window.
func (w *WindowBudget) Allows(now time.Time, members int) bool { return w.allows(now, members, 1) }

// allows reports whether the budget allows n more retries.
func (w *WindowBudget) allows(now time.Time, members, n int) bool {
	w.advance(now)
	oldest := (w.current + 1) % keptSlices
	var requests, retries float64
	for i := range int64(keptSlices) {
		retries += w.retries[i]
		if i != oldest {
			requests += w.requests[i]
		}
	}
	return retries+float64(n) <= w.cfg.Ratio*requests+w.cfg.Slack/float64(max(members, 1))
}

// TrySpend spends one retry if Allows reports that there is one, and reports whether it
// did.
func (w *WindowBudget) TrySpend(now time.Time, members int) bool {
	return w.TrySpendLeaving(now, members, 0)
}

// TrySpendLeaving is TrySpend for a retry that needs others after it: it spends one only if
// the given number is left.
func (w *WindowBudget) TrySpendLeaving(now time.Time, members, left int) bool {
	if !w.allows(now, members, 1+left) {
		return false
	}
	w.retries[w.advance(now)]++
	return true
}

// advance clears the slices that have left the window and returns the index of
// the current one.
func (w *WindowBudget) advance(now time.Time) int {
	if w.start.IsZero() {
		w.start = now
	}
	width := max(int64(w.cfg.Window)/windowSlices, 1)
	current := int64(now.Sub(w.start)) / width
	if current-w.current >= keptSlices || current < w.current {
		w.requests, w.retries = [keptSlices]float64{}, [keptSlices]float64{}
	} else {
		for i := w.current + 1; i <= current; i++ {
			w.requests[i%keptSlices], w.retries[i%keptSlices] = 0, 0
		}
	}
	w.current = current
	return int(current % keptSlices)
}
