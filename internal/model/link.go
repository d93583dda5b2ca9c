package model

import "time"

// Link is one direction of the link between regions. Messages are serialized at
// its bandwidth and then delayed by its latency.
type Link struct {
	clock          *Clock
	bytesPerSecond float64
	latency        time.Duration
	idleAt         time.Time
	bytes          int64
}

// NewLink returns an idle link.
func NewLink(c *Clock, bytesPerSecond float64, latency time.Duration) *Link {
	return &Link{clock: c, bytesPerSecond: bytesPerSecond, latency: latency, idleAt: c.Now()}
}

// Send calls fn once n bytes have arrived at the other end.
func (l *Link) Send(n int64, fn func()) {
	now := l.clock.Now()
	if l.idleAt.Before(now) {
		l.idleAt = now
	}
	l.bytes += n
	l.idleAt = l.idleAt.Add(time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second)))
	l.clock.After(l.idleAt.Sub(now)+l.latency, fn)
}

// Bytes returns the number of bytes sent so far.
func (l *Link) Bytes() int64 { return l.bytes }
