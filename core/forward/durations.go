package forward

import (
	"sync"
	"time"
)

const (
	// minDurations is the number of requests of a route from which on their durations tell how
	// long the next one may take.
	minDurations = 5

	// durationDecay is the weight of a new request in the mean duration.
	durationDecay = 0.1

	// durationDeviations is how many mean deviations above the mean a request may take
	// without being late for the end of its process.
	durationDeviations = 3

	// maxDurations bounds the number of routes that are remembered. Plans add and remove
	// routes; the others are known again after one request.
	maxDurations = 4096
)

type (
	// Durations keeps how long the requests of each route take, or a part of them. A process
	// that stops passes on what ends before it exits, and refuses the rest while it has not
	// run. The zero value is ready to use. It is safe for concurrent use.
	Durations struct {
		mu     sync.Mutex
		routes map[string]duration
	}

	duration struct {
		mean, deviation float64 // seconds
		n               int     // requests observed, up to minDurations
	}
)

// Observe records how long a request of the route took.
func (d *Durations) Observe(route string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.routes == nil {
		d.routes = make(map[string]duration)
	}
	r, ok := d.routes[route]
	if !ok {
		if len(d.routes) >= maxDurations {
			clear(d.routes)
		}
		d.routes[route] = duration{mean: took.Seconds(), deviation: took.Seconds() / 2, n: 1}
		return
	}
	d.routes[route] = r.with(took)
}

// ObserveAtLeast records that a request of the route ended early after the given time, or has
// run for so long. It counts if others took less, and not as one that tells how long they take.
func (d *Durations) ObserveAtLeast(route string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r, ok := d.routes[route]; ok && took.Seconds() > r.mean {
		n := r.n
		r = r.with(took)
		r.n = n
		d.routes[route] = r
	}
}

// with returns the duration after another request.
func (r duration) with(took time.Duration) duration {
	gap := took.Seconds() - r.mean
	r.mean += durationDecay * gap
	r.deviation += durationDecay * (max(gap, -gap) - r.deviation)
	r.n = min(r.n+1, minDurations)
	return r
}

// Longest returns how long a request of the route may well take, 0 if too few were observed
// to tell.
func (d *Durations) Longest(route string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.routes[route]
	if r.n < minDurations {
		return 0
	}
	return time.Duration((r.mean + durationDeviations*r.deviation) * float64(time.Second))
}
