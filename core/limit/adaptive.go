package limit

import "time"

const (
	// minAdjustInterval is the minimum time between two changes of a limit, so that
	// the effect of one is visible before the next.
	minAdjustInterval = 500 * time.Millisecond

	// refusalFactor is the factor applied to a limit when a server refuses a request.
	refusalFactor = 0.9
)

// Adaptive limits the requests in flight to backend servers by the queueing
// delay observed there. While the delay is at most the target and the limit is
// in use, the limit grows by one at a time. Above the target it shrinks to the
// share of the requests in flight for which the delay would have been on target.
type Adaptive struct {
	limit      float64
	minLimit   float64
	maxLimit   float64
	target     time.Duration
	lastChange time.Time
}

// NewAdaptive returns a limit that starts at the given value and stays between
// minLimit and maxLimit. Target is the queueing delay that keeps a server busy
// without long waits.
func NewAdaptive(start, minLimit, maxLimit int, target time.Duration) *Adaptive {
	return &Adaptive{limit: float64(start), minLimit: float64(minLimit), maxLimit: float64(maxLimit), target: target}
}

// Limit returns the maximum number of requests in flight.
func (a *Adaptive) Limit() int { return int(a.limit) }

// SetMinLimit changes the lower bound of the limit, for example when servers are
// added or removed.
func (a *Adaptive) SetMinLimit(minLimit int) {
	a.minLimit = min(max(float64(minLimit), 1), a.maxLimit)
	a.limit = max(a.limit, a.minLimit)
}

// Observe adjusts the limit to the queueing delay and service time of one
// request, measured while inFlight requests were in flight.
func (a *Adaptive) Observe(now time.Time, delay, service time.Duration, inFlight int) {
	if now.Sub(a.lastChange) < minAdjustInterval {
		return
	}
	excess := delay - a.target
	switch {
	case excess > 0:
		share := service.Seconds() / (service + excess).Seconds()
		a.limit = max(min(a.limit, float64(inFlight)*share), a.minLimit)
	case float64(inFlight) >= a.limit-1:
		a.limit = min(a.limit+1, a.maxLimit)
	default:
		return
	}
	a.lastChange = now
}

// Shrink reduces the limit after a server refused a request.
func (a *Adaptive) Shrink(now time.Time) {
	if now.Sub(a.lastChange) < minAdjustInterval {
		return
	}
	a.lastChange = now
	a.limit = max(a.limit*refusalFactor, a.minLimit)
}
