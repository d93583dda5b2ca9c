package limit

import "time"

// ByteBucket is a token bucket of bytes for the link between regions. It may be
// overdrawn.
type ByteBucket struct {
	perSecond  float64
	burst      float64
	available  float64 // bytes available, negative while overdrawn
	refilledAt time.Time
}

// NewByteBucket returns a full bucket that refills at perSecond bytes per second and
// holds at most burst bytes.
func NewByteBucket(perSecond, burst float64) *ByteBucket {
	return &ByteBucket{perSecond: perSecond, burst: burst, available: burst}
}

// Allows reports whether n bytes may be sent over the link now.
func (b *ByteBucket) Allows(now time.Time, n int64) bool {
	b.refill(now)
	return b.available >= float64(n)
}

// Spend takes n bytes, also when fewer are available: the bucket then has to
// refill the difference first.
func (b *ByteBucket) Spend(now time.Time, n int64) {
	b.refill(now)
	b.available -= float64(n)
}

func (b *ByteBucket) refill(now time.Time) {
	if !b.refilledAt.IsZero() && now.After(b.refilledAt) {
		b.available = min(b.available+now.Sub(b.refilledAt).Seconds()*b.perSecond, b.burst)
	}
	if now.After(b.refilledAt) {
		b.refilledAt = now
	}
}
