package retry

import "time"

const (
	// windowSlices is the number of slices of a sliding window. It is even.
	windowSlices = 10

	// begunReserve is the part of a budget that is left for answers that have begun.
	begunReserve = 0.125

	// stopSlices is the longest time, in slices, that a member which takes no more requests still has
	// answers that have begun.
	stopSlices = 7

	// keptSlices includes the window before each one that has not ended yet.
	keptSlices = 2 * windowSlices
)

type (
	// WindowBudgetConfig configures a retry budget that all members of a fleet
	// share: in any window the retries are at most Ratio times the requests, plus
	// Slack. The requests are those in that window, in the one before it or in the
	// one half a window before it, whichever has most. Each member applies Ratio to
	// its own requests and uses an equal part of Slack.
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
// is the number of members that share the slack.
func (w *WindowBudget) Allows(now time.Time, members int) bool { return w.allows(now, members, 1, 1) }

// AllowsRefusable is Allows for a request that can still be refused.
//
// It answers servers that refuse or fail so much that the budget is used up: a request that has not
// begun goes to another member then, or gets a failure at once, while an answer that has begun can
// only wait for a silent server until it is cut. A part of the budget is left for such answers.
func (w *WindowBudget) AllowsRefusable(now time.Time, members int) bool {
	return w.allows(now, members, 1, 1-begunReserve)
}

// AllowsRefusableStopping is AllowsRefusable at a member that stops.
//
// It answers streams whose servers fall silent late in a planned stop. The member gets no more requests,
// and those that paid for a burst of retries leave the window before the retries do: nothing was left of
// the part for answers that have begun.
func (w *WindowBudget) AllowsRefusableStopping(now time.Time, members int) bool {
	return w.allowsStopping(now, members, 1)
}

// allowsStopping reports whether the part for answers that have begun is left after n more retries, now
// and in each window that ends in the stop, also if no request follows.
func (w *WindowBudget) allowsStopping(now time.Time, members, n int) bool {
	if !w.allows(now, members, n, 1-begunReserve) {
		return false
	}
	retries, slack := float64(n), w.cfg.Slack/float64(max(members, 1))
	for first := w.current; first >= w.current-windowSlices; first-- {
		retries += w.retries[index(first)]
		if first <= w.current-windowSlices+stopSlices && retries > (1-begunReserve)*(w.cfg.Ratio*w.requestsIn(first+1, w.current)+slack) {
			return false
		}
	}
	return true
}

// allows reports whether the part of the budget allows n more retries in each window that includes
// now, whether it ends now or later. Of the slice that a window begins in, the retries count and
// the requests do not, as they may have come before it.
func (w *WindowBudget) allows(now time.Time, members, n int, part float64) bool {
	w.advance(now)
	retries, slack := float64(n), w.cfg.Slack/float64(max(members, 1))
	for first := w.current; first >= w.current-windowSlices; first-- {
		retries += w.retries[index(first)]
		requests := w.requestsIn(first+1, w.current)
		if first > w.current-windowSlices {
			requests = max(requests, w.requestsIn(first-windowSlices+1, first-1), w.requestsIn(first-windowSlices/2+1, first+windowSlices/2-1))
		}
		if retries > part*(w.cfg.Ratio*requests+slack) {
			return false
		}
	}
	return true
}

// requestsIn returns the number of requests in the given slices, the last included.
func (w *WindowBudget) requestsIn(first, last int64) float64 {
	var n float64
	for i := first; i <= min(last, w.current); i++ {
		n += w.requests[index(i)]
	}
	return n
}

// TrySpend spends one retry if Allows reports that there is one, and reports whether it
// did.
func (w *WindowBudget) TrySpend(now time.Time, members int) bool {
	return w.TrySpendLeaving(now, members, 0)
}

// TrySpendLeaving is TrySpend for a retry that needs others after it: it spends one only if
// the given number is left.
func (w *WindowBudget) TrySpendLeaving(now time.Time, members, left int) bool {
	return w.trySpend(now, members, left, 1)
}

// TrySpendRefusable is TrySpendLeaving for a request that can still be refused, see AllowsRefusable.
func (w *WindowBudget) TrySpendRefusable(now time.Time, members, left int) bool {
	return w.trySpend(now, members, left, 1-begunReserve)
}

// TrySpendRefusableStopping is TrySpendRefusable at a member that stops, see AllowsRefusableStopping.
func (w *WindowBudget) TrySpendRefusableStopping(now time.Time, members, left int) bool {
	return w.allowsStopping(now, members, 1+left) && w.spend(now)
}

func (w *WindowBudget) trySpend(now time.Time, members, left int, part float64) bool {
	return w.allows(now, members, 1+left, part) && w.spend(now)
}

// spend counts a retry and returns true.
func (w *WindowBudget) spend(now time.Time) bool {
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
			w.requests[index(i)], w.retries[index(i)] = 0, 0
		}
	}
	w.current = current
	return index(current)
}

// index returns where a slice is kept. Slices from before the first request are empty.
func index(slice int64) int { return int((slice%keptSlices + keptSlices) % keptSlices) }
