package entry

import "time"

// pacedEvents is the number of events after the first by which a stream's pace is
// measured. Few make slow streams count before they end.
const pacedEvents = 3

// streamPace measures the mean time between the first events of a stream.
type streamPace struct {
	first time.Time
	after int // events after the first
	done  bool
}

// observe records an event and returns the pace once it is known.
func (p *streamPace) observe(now time.Time) (time.Duration, bool) {
	if p.first.IsZero() {
		p.first = now
		return 0, false
	}
	p.after++
	if p.done || p.after < pacedEvents {
		return 0, false
	}
	p.done = true
	return now.Sub(p.first) / time.Duration(p.after), true
}

// end returns a lower bound of the pace of a stream that ends before it is known, if it
// has had an event.
func (p *streamPace) end(now time.Time) (time.Duration, bool) {
	if p.done || p.first.IsZero() {
		return 0, false
	}
	p.done = true
	return now.Sub(p.first) / time.Duration(p.after+1), true
}
