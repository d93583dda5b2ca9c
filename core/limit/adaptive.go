package limit

import "time"

const (
	// adaptiveCut is the factor by which a limit shrinks, and adaptivePause
	// the least time between two cuts, so that one burst counts once.
	adaptiveCut   = 0.9
	adaptivePause = 500 * time.Millisecond
)

// Adaptive bounds the requests of one entry on one backend server: it adds
// while the delay stays under the target, and cuts by a factor when it does
// not.
type Adaptive struct {
	limit    float64
	least    float64
	most     float64
	target   time.Duration
	lastCut  time.Time
	smoothed float64
}

// NewAdaptive returns a limit that starts at the given value and stays between
// least and most. Target is the delay, beyond the time of an idle server, that
// is taken for the start of a queue.
func NewAdaptive(start, least, most int, target time.Duration) *Adaptive {
	return &Adaptive{limit: float64(start), least: float64(least), most: float64(most), target: target}
}

// Limit returns how many requests may be in flight.
func (a *Adaptive) Limit() int { return int(a.limit) }

// Observe learns from a request that was delayed by the given time while
// inFlight requests were on the server.
func (a *Adaptive) Observe(now time.Time, delay time.Duration, inFlight int) {
	const memory = 0.2
	a.smoothed += memory * (max(delay, 0).Seconds() - a.smoothed)
	if a.smoothed > a.target.Seconds() {
		a.Cut(now)
		return
	}
	if float64(inFlight) >= a.limit-1 {
		a.limit = min(a.limit+1/a.limit, a.most)
	}
}

// Cut shrinks the limit, at most once in a short time, as when the server
// refused a request.
func (a *Adaptive) Cut(now time.Time) {
	if now.Sub(a.lastCut) < adaptivePause {
		return
	}
	a.lastCut = now
	a.limit = max(a.limit*adaptiveCut, a.least)
}
