package warmup

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// usedShare is the part of a server's rate that all entries together use, as they may
	// disagree for a moment who shares it.
	usedShare = 0.8

	// rankTTL is how long a control's ranking counts. A control needs about as long to
	// notice that an entry is gone, and ranks another one in its place.
	rankTTL = 3 * time.Second

	// unrankedShare is the part of the sharers that choose themselves while no control ranks
	// them. Their number is random, and entries that are still ranked may share the rate, too.
	unrankedShare = 0.5

	// endSpread is the time over which the entries come back to a server that is warm.
	endSpread = time.Second

	// MaxRank stands for all positions that are too far behind to share a rate.
	MaxRank = 64

	// retention is how long a warm server is kept, for the end that differs from entry to
	// entry.
	retention = endSpread
)

type (
	// Bounds limit the requests that a server gets while it warms up: in any second the
	// rate that it bears times Overshoot, plus Slack.
	Bounds struct {
		Overshoot float64
		Slack     float64
	}

	// Rank is the position of one entry among all that may use a server, 0 for the first.
	Rank struct {
		Server      string `json:"server"`
		Incarnation uint64 `json:"incarnation"`
		Rank        int    `json:"rank"`
	}

	// Limiter holds what one entry may send to servers that warm up. It is not safe for
	// concurrent use.
	//
	// It answers dozens of entries that see a server come back at the same moment: one
	// request of each is more than it bears in a second. A few entries share its rate, the
	// nearest ones by the controls' ranking.
	Limiter struct {
		entry   string
		entries int
		bounds  Bounds
		table   *Table
		buckets map[string]*bucket
	}

	bucket struct {
		incarnation uint64
		rank        int
		rankedAt    time.Time // zero if no control has ranked this entry
		tokens      float64
		filledAt    time.Time
	}
)

// NewLimiter returns the limiter of the entry with the given id.
func NewLimiter(entry string, b Bounds) *Limiter {
	return &Limiter{entry: entry, entries: 1, bounds: b, table: NewTable(), buckets: make(map[string]*bucket)}
}

// SetEntries sets the number of entries that are known to be live.
func (l *Limiter) SetEntries(n int) { l.entries = max(n, 1) }

// Observe records what a control knows and reports whether it is news.
func (l *Limiter) Observe(now time.Time, n Notice) bool { return l.table.Observe(now, n) }

// ObserveDirect records what a server said in an answer and reports whether it is news.
func (l *Limiter) ObserveDirect(now time.Time, n Notice) bool { return l.table.ObserveDirect(now, n) }

// Rank records a control's ranking of this entry.
func (l *Limiter) Rank(now time.Time, r Rank) {
	b := l.bucket(now, r.Server, r.Incarnation)
	b.rank, b.rankedAt = r.Rank, now
}

// IsWarming reports whether this entry treats the server as one that warms up.
func (l *Limiter) IsWarming(now time.Time, server string, incarnation uint64) bool {
	until := l.table.Until(server, incarnation)
	return !until.IsZero() && now.Before(until.Add(l.spread(server)))
}

// Allows reports whether the server may get a request of this entry now. PerSecond is the
// rate that servers of its service bear, 0 for any.
func (l *Limiter) Allows(now time.Time, server string, incarnation uint64, perSecond float64) bool {
	if perSecond <= 0 || !l.IsWarming(now, server, incarnation) {
		return true
	}
	b := l.bucket(now, server, incarnation)
	rate := l.rate(now, b, server, perSecond)
	b.fill(now, rate)
	return rate > 0 && b.tokens >= 1
}

// Take takes the place of a request. Taken tells whether Return has to be called if the
// request is not sent.
func (l *Limiter) Take(now time.Time, server string, incarnation uint64, perSecond float64) (taken, ok bool) {
	if perSecond <= 0 || !l.IsWarming(now, server, incarnation) {
		return false, true
	}
	if !l.Allows(now, server, incarnation, perSecond) {
		return false, false
	}
	l.buckets[server].tokens--
	return true, true
}

// Return gives back the place of a request that was not sent.
func (l *Limiter) Return(server string, incarnation uint64) {
	if b, ok := l.buckets[server]; ok && b.incarnation == incarnation {
		b.tokens = min(b.tokens+1, 1)
	}
}

// Wait returns how long it takes until this entry may send the server a request, at most
// until the server is warm, and the rate at which it may send more until then.
func (l *Limiter) Wait(now time.Time, server string, incarnation uint64, perSecond float64) (time.Duration, float64) {
	if l.Allows(now, server, incarnation, perSecond) {
		return 0, perSecond
	}
	wait := l.table.Until(server, incarnation).Add(l.spread(server)).Sub(now)
	b := l.buckets[server]
	rate := l.rate(now, b, server, perSecond)
	if rate > 0 {
		wait = min(wait, time.Duration((1-b.tokens)/rate*float64(time.Second)))
	}
	return wait, rate
}

// Count returns the number of servers that warm up as far as the entry knows.
func (l *Limiter) Count(now time.Time) int { return len(l.table.Notices(now)) }

// DirectNotices returns the servers that said to this entry that they warm up.
func (l *Limiter) DirectNotices(now time.Time) []Notice { return l.table.DirectNotices(now) }

// Expire removes the servers that are warm.
func (l *Limiter) Expire(now time.Time) {
	l.table.Expire(now, retention)
	for id, b := range l.buckets {
		if l.table.Until(id, b.incarnation).IsZero() {
			delete(l.buckets, id)
		}
	}
}

func (l *Limiter) bucket(now time.Time, server string, incarnation uint64) *bucket {
	b, ok := l.buckets[server]
	if !ok || b.incarnation != incarnation {
		b = &bucket{incarnation: incarnation, tokens: 1, filledAt: now}
		l.buckets[server] = b
	}
	return b
}

// rate returns the requests a second that the entry may send to the server.
func (l *Limiter) rate(now time.Time, b *bucket, server string, perSecond float64) float64 {
	n := l.bounds.sharers(perSecond, l.entries)
	isSharer := l.draw(server)*float64(l.entries) < max(unrankedShare*float64(n), 1)
	if !b.rankedAt.IsZero() && now.Sub(b.rankedAt) < rankTTL {
		isSharer = b.rank < n
	}
	if !isSharer {
		return 0
	}
	return usedShare * perSecond / float64(n)
}

// sharers returns the number of entries that share a server's rate. Each may have a request
// saved up, which must take at most half of what the bound allows beyond the rate: for a
// moment, controls may rank the entries differently.
func (b Bounds) sharers(perSecond float64, entries int) int {
	burst := (b.Overshoot-1)*perSecond + b.Slack
	return max(min(int(burst/2), entries), 1)
}

// spread returns how much longer than the server itself this entry regards it as cold.
func (l *Limiter) spread(server string) time.Duration {
	return time.Duration(l.draw(server) * float64(endSpread))
}

// draw returns a number from 0 to below 1 that depends on the entry and the server alone.
func (l *Limiter) draw(server string) float64 {
	const resolution = 1 << 20
	return float64(xxhash.Sum64String(server+"\x00"+l.entry)%resolution) / resolution
}

func (b *bucket) fill(now time.Time, rate float64) {
	if elapsed := now.Sub(b.filledAt); elapsed > 0 {
		b.tokens = min(b.tokens+elapsed.Seconds()*rate, 1)
		b.filledAt = now
	}
}
