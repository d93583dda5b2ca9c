package limit

import "time"

// Bytes is a token bucket of bytes for the link between regions. It may be
// overdrawn.
type Bytes struct {
	perSecond float64
	burst     float64
	held      float64 // bytes available, negative while overdrawn
	at        time.Time
}

// NewBytes returns a full bucket that refills at perSecond bytes per second and
// holds at most burst bytes.
func NewBytes(perSecond, burst float64) *Bytes {
	return &Bytes{perSecond: perSecond, burst: burst, held: burst}
}

// Has reports whether n bytes may be sent over the link now.
func (b *Bytes) Has(now time.Time, n int64) bool {
	b.refill(now)
	return b.held >= float64(n)
}

// Spend takes n bytes, also when fewer are available: the bucket then has to
// refill the difference first.
func (b *Bytes) Spend(now time.Time, n int64) {
	b.refill(now)
	b.held -= float64(n)
}

func (b *Bytes) refill(now time.Time) {
	if !b.at.IsZero() && now.After(b.at) {
		b.held = min(b.held+now.Sub(b.at).Seconds()*b.perSecond, b.burst)
	}
	if now.After(b.at) {
		b.at = now
	}
}
