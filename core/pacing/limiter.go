package pacing

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// burstTime is the time for which places are saved up during a pause, at least one. One
	// for each entry that shares a limit keeps the sum over all of them small.
	burstTime = 200 * time.Millisecond

	// wordRetention is how long the end of a limit is passed on.
	wordRetention = 10 * time.Second

	// sharesRetention is how long a control's shares hold without a new one. An entry that
	// is cut off keeps them; controls give them to another entry only when they have not
	// heard of it for a while.
	sharesRetention = time.Hour
)

type (
	// Limiter holds what one entry may send to the servers that named a limit. It is not
	// safe for concurrent use.
	//
	// It answers many entries that use the same servers: a server in need names a number
	// for all of them together, and each hears it in an answer of its own. A control's
	// share counts; until one has arrived, the entry takes a part by itself.
	Limiter struct {
		entry   string
		entries int
		servers map[string]*limited
	}

	limited struct {
		id          string
		incarnation uint64
		limit       float64   // 0 for none
		heardAt     time.Time // when the limit was last named, to anyone
		freeAt      time.Time // when the latest request was sent whose answer named no limit
		endedAt     time.Time // when the limit ended
		own         bool      // the entry has heard the latest statement itself
		share       float64   // requests a second
		shareAt     time.Time // when a control last gave a share, zero for never
		tokens      float64
		filledAt    time.Time
	}
)

// NewLimiter returns a limiter of the entry with the given id.
func NewLimiter(entry string) *Limiter {
	return &Limiter{entry: entry, entries: 1, servers: make(map[string]*limited)}
}

// Hear records what an answer says, and reports whether that changes the server's limit.
// SentAt is when its request was sent. A limit is taken back, or raised, only by the answer
// to a request that was sent after the limit had been heard: others may have been made
// before it.
func (l *Limiter) Hear(now time.Time, server string, incarnation uint64, sentAt time.Time, st Statement) bool {
	s, ok := l.servers[server]
	switch {
	case st.Kind == None, ok && incarnation < s.incarnation, !ok && st.Kind == Unlimited:
		return false
	}
	if !ok || s.incarnation < incarnation {
		if st.Kind == Unlimited {
			delete(l.servers, server)
			return ok
		}
		s = &limited{id: server, incarnation: incarnation, filledAt: now}
		l.servers[server] = s
	}
	before := s.limit
	isNews := sentAt.After(s.heardAt)
	switch {
	case st.Kind == Unlimited && s.limit > 0 && isNews:
		s.limit, s.freeAt, s.endedAt, s.own = 0, sentAt, now, true
	case st.Kind == Unlimited && isNews && now.Sub(s.endedAt) < wordRetention:
		// Others may have heard of the limit so much later that the first word was too old.
		s.freeAt, s.own = sentAt, true
	case st.Kind == Limited && !sentAt.Before(s.freeAt):
		if s.limit == 0 || isNews || st.PerSecond < s.limit {
			s.limit = st.PerSecond
		}
		s.heardAt, s.own = now, true
	}
	if before != s.limit {
		s.rescale(before)
	}
	return before != s.limit
}

// rescale adapts the share to a changed limit until a control gives a new one.
func (s *limited) rescale(before float64) {
	if before > 0 && !s.shareAt.IsZero() {
		s.share *= s.limit / before
	}
}

// SetEntries sets the number of entries that are known to be live.
func (l *Limiter) SetEntries(n int) { l.entries = max(n, 1) }

// Apply applies a control's words and shares, which cover all limited servers that it knows,
// and returns the servers whose limits they change. What the entry has heard itself later
// than the control stands.
func (l *Limiter) Apply(now time.Time, words []Word, shares []Share) []Share {
	var changed []Share
	for _, w := range words {
		if l.applyWord(now, w) {
			changed = append(changed, Share{Server: w.Server, Incarnation: w.Incarnation, Limit: w.PerSecond})
		}
	}
	for _, sh := range shares {
		s, ok := l.servers[sh.Server]
		if !ok || s.incarnation != sh.Incarnation || s.limit == 0 {
			continue
		}
		s.fill(now, l)
		if s.shareAt.IsZero() || s.share == 0 {
			s.tokens = 0
		}
		s.share, s.shareAt = sh.PerSecond*s.limit/max(sh.Limit, MinLimit), now
	}
	return changed
}

func (l *Limiter) applyWord(now time.Time, w Word) bool {
	at := now.Add(-w.Age)
	s, ok := l.servers[w.Server]
	switch {
	case ok && w.Incarnation < s.incarnation:
		return false
	case !ok || s.incarnation < w.Incarnation:
		if w.PerSecond == 0 {
			return false
		}
		s = &limited{id: w.Server, incarnation: w.Incarnation, filledAt: now}
		l.servers[w.Server] = s
	}
	before := s.limit
	switch {
	case w.PerSecond == 0 && s.limit > 0 && at.After(s.heardAt):
		s.limit, s.freeAt, s.endedAt, s.own = 0, at, now, false
	case w.PerSecond > 0 && at.After(s.heardAt) && at.After(s.freeAt):
		s.limit, s.heardAt, s.own = w.PerSecond, at, false
	}
	if before != s.limit {
		s.rescale(before)
	}
	return before != s.limit
}

// Allows reports whether the server may get a request now.
func (l *Limiter) Allows(now time.Time, server string, incarnation uint64) bool {
	s, ok := l.servers[server]
	if !ok || s.incarnation != incarnation || s.limit == 0 {
		return true
	}
	s.fill(now, l)
	return s.tokens >= 1
}

// Take takes the place of a request. Taken tells whether Return has to be called if the
// request is not sent.
func (l *Limiter) Take(now time.Time, server string, incarnation uint64) (taken, ok bool) {
	if !l.Allows(now, server, incarnation) {
		return false, false
	}
	s, known := l.servers[server]
	if !known || s.incarnation != incarnation || s.limit == 0 {
		return false, true
	}
	s.tokens--
	return true, true
}

// Return gives back the place of a request that was not sent.
func (l *Limiter) Return(server string, incarnation uint64) {
	if s, ok := l.servers[server]; ok && s.incarnation == incarnation {
		s.tokens++
	}
}

// IsLimited reports whether the server has named a limit that holds.
func (l *Limiter) IsLimited(server string, incarnation uint64) bool {
	s, ok := l.servers[server]
	return ok && s.incarnation == incarnation && s.limit > 0
}

// Wait returns how long it takes until the server may get a request, and the rate at which
// it may get more. The rate is 0 if this entry may send it none.
func (l *Limiter) Wait(now time.Time, server string, incarnation uint64) (time.Duration, float64) {
	s, ok := l.servers[server]
	if !ok || s.incarnation != incarnation || s.limit == 0 {
		return 0, MaxLimit
	}
	s.fill(now, l)
	rate := s.rate(now, l)
	if s.tokens >= 1 || rate <= 0 {
		return 0, rate
	}
	return time.Duration((1 - s.tokens) / rate * float64(time.Second)), rate
}

// Words returns what the entry has heard itself: the limits that hold, and for a while those
// that have ended.
func (l *Limiter) Words(now time.Time) []Word {
	var words []Word
	for id, s := range l.servers {
		w := Word{Server: id, Incarnation: s.incarnation, PerSecond: s.limit, Age: now.Sub(s.heardAt)}
		if s.limit == 0 {
			w.Age = now.Sub(s.freeAt)
		}
		if s.own && (s.limit > 0 || now.Sub(s.endedAt) < wordRetention) {
			words = append(words, w)
		}
	}
	return words
}

// Share returns the limit of a server and the part of it that the entry uses, 0 and 0 if it
// has none.
func (l *Limiter) Share(now time.Time, server string) (limit, perSecond float64) {
	s, ok := l.servers[server]
	if !ok || s.limit == 0 {
		return 0, 0
	}
	return s.limit, s.rate(now, l)
}

// Count returns the number of servers with a limit that holds.
func (l *Limiter) Count() int {
	n := 0
	for _, s := range l.servers {
		if s.limit > 0 {
			n++
		}
	}
	return n
}

// Retain removes servers for which isKnown returns false.
func (l *Limiter) Retain(isKnown func(server string) bool) {
	for id := range l.servers {
		if !isKnown(id) {
			delete(l.servers, id)
		}
	}
}

// rate returns the requests a second that the entry may send.
func (s *limited) rate(now time.Time, l *Limiter) float64 {
	if !s.shareAt.IsZero() && now.Sub(s.shareAt) < sharesRetention {
		return s.share
	}
	return ownShare(l.entry, s.id, s.limit, l.entries)
}

// ownShare returns the part of a limit that an entry takes without a control: an equal one
// if the entries are few, and otherwise that of one of a few entries, which are chosen at
// random, so that about as many as sharers choose themselves.
func ownShare(entry, server string, limit float64, entries int) float64 {
	n := sharers(limit, entries)
	if n < entries {
		const resolution = 1 << 20
		drawn := xxhash.Sum64String(server+"\x00"+entry) % resolution
		if float64(drawn)/resolution >= float64(n)/float64(entries) {
			return 0
		}
	}
	return limit / float64(n)
}

// sharers returns the number of entries that share a limit. Each may send a request at once
// after a pause, which has to stay small beside the limit.
func sharers(limit float64, entries int) int { return max(min(int(limit)+2, entries), 1) }

// fill adds the tokens since the last call.
func (s *limited) fill(now time.Time, l *Limiter) {
	if elapsed := now.Sub(s.filledAt); elapsed > 0 {
		rate := s.rate(now, l)
		s.tokens = min(s.tokens+elapsed.Seconds()*rate, max(rate*burstTime.Seconds(), 1))
		s.filledAt = now
	}
}
