package ledger

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/oklog/ulid/v2"

	"rosereach/core/request"
)

const (
	// maxAhead is how far the time of a request id may lie in the future. An
	// id further ahead counts as one without a time.
	maxAhead = time.Minute

	// maxIDAge bounds the age at which a request id is taken for a ULID. Ids
	// that only look like one, such as a run of zeros, count as without a time.
	maxIDAge = 10 * 365 * 24 * time.Hour
)

type (
	// Limits bound what a ledger keeps of ended requests. A request older than
	// Horizon is dropped, and the oldest ones before that when there are more
	// than Records. The oldest answers go when all hold more than AnswerBytes.
	// Tombstones is the number of dropped request ids without a time that are
	// remembered.
	Limits struct {
		Horizon     time.Duration
		Records     int
		AnswerBytes int64
		Tombstones  int
	}

	// retention remembers what a ledger drops and in which order. The queue
	// holds ended requests, oldest first; the first stripped ones have lost
	// their answer's body. Held counts the ended requests, bytes the bodies of
	// their answers. Request ids made at floor or before, in milliseconds of
	// Unix time, are expired.
	retention struct {
		last     uint64
		queue    []ending
		stripped int
		held     int
		bytes    int64
		floor    int64
		gone     map[uint64]bool
		goneIDs  []uint64
	}

	// ending is one end of a request.
	ending struct {
		key   Key
		ended uint64
	}
)

// DefaultLimits are the limits of a whole ledger at the first users' size.
func DefaultLimits() Limits {
	return Limits{Horizon: time.Hour, Records: 100_000, AnswerBytes: 16 << 20, Tombstones: 200_000}
}

// split returns the limits of one of n shards.
func (l Limits) split(n int) Limits {
	l.Records = max(l.Records/n, 1)
	l.AnswerBytes = max(l.AnswerBytes/int64(n), 1)
	l.Tombstones = max(l.Tombstones/n, 1)
	return l
}

func newRetention() retention { return retention{gone: make(map[uint64]bool)} }

func (t *retention) add(k Key) uint64 {
	t.last++
	t.queue = append(t.queue, ending{key: k, ended: t.last})
	return t.last
}

// advance moves the ledger's clock, which never runs backwards, and returns
// the time in whole seconds: that is what logs and snapshots carry.
func (l *Ledger) advance(at time.Time) time.Time {
	at = at.Truncate(time.Second)
	if at.After(l.now) {
		l.now = at
	}
	l.retain()
	return at
}

// retain drops what the limits no longer allow.
func (l *Ledger) retain() {
	for len(l.kept.queue) > 0 {
		r, current := l.ended(0)
		if current && l.kept.held <= l.limits.Records && l.now.Sub(r.EndedAt) <= l.limits.Horizon {
			break
		}
		if current {
			l.drop(r)
		}
		l.kept.queue = l.kept.queue[1:]
		l.kept.stripped = max(l.kept.stripped-1, 0)
	}
	for l.kept.bytes > l.limits.AnswerBytes && l.kept.stripped < len(l.kept.queue) {
		if r, current := l.ended(l.kept.stripped); current {
			l.strip(r)
		}
		l.kept.stripped++
	}
}

// ended returns the record of an ending, and whether it still stands: a
// request may have begun again since.
func (l *Ledger) ended(place int) (Record, bool) {
	e := l.kept.queue[place]
	r, ok := l.records[e.key]
	return r, ok && r.Ended == e.ended
}

// drop forgets a record, but not that its request id was used. A request that
// may begin again leaves no trace.
func (l *Ledger) drop(r Record) {
	l.release(r)
	delete(l.records, r.Key)
	if r.mayBeginAgain() {
		return
	}
	if made, ok := timeOf(r.Key.RequestID, l.now); r.Timed && ok {
		l.kept.floor = max(l.kept.floor, made.UnixMilli())
		return
	}
	l.kept.bury(r.Key.hash(), l.limits.Tombstones)
}

// strip gives up the body of an answer.
func (l *Ledger) strip(r Record) {
	if len(r.Answer.Body) == 0 {
		return
	}
	l.kept.bytes -= int64(len(r.Answer.Body))
	a := *r.Answer
	a.Body = nil
	a.Code = request.CodeAnswerNotKept
	r.Answer = &a
	l.records[r.Key] = r
}

// release takes an ended record out of the counts.
func (l *Ledger) release(r Record) {
	if r.Answer == nil {
		return
	}
	l.kept.held--
	l.kept.bytes -= int64(len(r.Answer.Body))
}

// isExpired reports whether an unknown request id is older than what the
// ledger keeps.
func (l *Ledger) isExpired(k Key) bool {
	if l.kept.gone[k.hash()] {
		return true
	}
	made, ok := timeOf(k.RequestID, l.now)
	return ok && (made.UnixMilli() <= l.kept.floor || l.now.Sub(made) > l.limits.Horizon)
}

// bury remembers a dropped request id; the oldest is forgotten over the limit.
func (t *retention) bury(id uint64, limit int) {
	if t.gone[id] {
		return
	}
	t.gone[id] = true
	t.goneIDs = append(t.goneIDs, id)
	for len(t.goneIDs) > limit {
		delete(t.gone, t.goneIDs[0])
		t.goneIDs = t.goneIDs[1:]
	}
}

// timeOf returns when a request id was made, when it is a ULID.
func timeOf(id string, now time.Time) (time.Time, bool) {
	u, err := ulid.ParseStrict(id)
	if err != nil {
		return time.Time{}, false
	}
	made := u.Timestamp()
	if made.After(now.Add(maxAhead)) || now.Sub(made) > maxIDAge {
		return time.Time{}, false
	}
	return made, true
}

func (k Key) hash() uint64 { return xxhash.Sum64String(k.Workspace + "\x00" + k.RequestID) }
