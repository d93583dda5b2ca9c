package limit

import "time"

const (
	// adaptivePause is the least time between two changes of a limit, so that
	// a change can show before the next one.
	adaptivePause = 500 * time.Millisecond

	// refusalCut is the factor by which a refusal shrinks a limit.
	refusalCut = 0.9
)

// Adaptive bounds the requests in flight towards backend servers by the delay
// that they meet there. While the delay stays under the target and the limit
// is in use, it grows by one at a time. Beyond, it shrinks to the share of the
// requests in flight that would have met no more than the target.
type Adaptive struct {
	limit   float64
	least   float64
	most    float64
	target  time.Duration
	changed time.Time
}

// NewAdaptive returns a limit that starts at the given value and stays between
// least and most. Target is the delay in a server's queue that keeps it busy
// without making requests wait long.
func NewAdaptive(start, least, most int, target time.Duration) *Adaptive {
	return &Adaptive{limit: float64(start), least: float64(least), most: float64(most), target: target}
}

// Limit returns how many requests may be in flight.
func (a *Adaptive) Limit() int { return int(a.limit) }

// SetLeast changes the least limit, as when servers come or go.
func (a *Adaptive) SetLeast(least int) {
	a.least = min(max(float64(least), 1), a.most)
	a.limit = max(a.limit, a.least)
}

// Observe learns from the delay in the queue and the time of service after it,
// seen while inFlight requests were on their way.
func (a *Adaptive) Observe(now time.Time, delay, service time.Duration, inFlight int) {
	if now.Sub(a.changed) < adaptivePause {
		return
	}
	excess := delay - a.target
	switch {
	case excess > 0:
		share := service.Seconds() / (service + excess).Seconds()
		a.limit = max(min(a.limit, float64(inFlight)*share), a.least)
	case float64(inFlight) >= a.limit-1:
		a.limit = min(a.limit+1, a.most)
	default:
		return
	}
	a.changed = now
}

// Cut shrinks the limit after a server refused a request.
func (a *Adaptive) Cut(now time.Time) {
	if now.Sub(a.changed) < adaptivePause {
		return
	}
	a.changed = now
	a.limit = max(a.limit*refusalCut, a.least)
}
