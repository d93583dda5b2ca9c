package ledger

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/oklog/ulid/v2"

	"rosereach/core/request"
)

const (
	// maxAhead is how far the time of a request id may lie in the future. An id
	// further ahead is treated as one without a time.
	maxAhead = time.Minute

	// maxIDAge is the maximum age of a request id that is treated as a ULID. Ids
	// that only look like one, such as a run of zeros, have no time.
	maxIDAge = 10 * 365 * 24 * time.Hour
)

type (
	// Limits bounds what a ledger keeps of ended requests.
	Limits struct {
		// Horizon is the maximum age of a record, from the end of its request.
		Horizon time.Duration
		// Records is the maximum number of records; the oldest are dropped first.
		Records int
		// AnswerBytes is the maximum size of all answers' bodies; the bodies of
		// the oldest answers are dropped first.
		AnswerBytes int64
		// Tombstones is the maximum number of request ids kept of dropped records
		// whose id has no time.
		Tombstones int
	}

	// retention is the state that decides which records a ledger drops.
	retention struct {
		// last is the sequence number of the last request that ended.
		last uint64
		// queue holds the ended requests, oldest first. The bodies of the first
		// strippedCount of them are dropped.
		queue    []ending
		stripped int
		// held is the number of records of ended requests, and answerBytes the size
		// of their answers' bodies.
		held  int
		bytes int64
		// floor is in milliseconds of Unix time. Request ids created then or
		// before are expired.
		floor int64
		// gone holds the hashes of dropped request ids without a time, and
		// tombstoneQueue the same, oldest first.
		gone    map[uint64]bool
		goneIDs []uint64
	}

	// ending is the end of a request. A request that began again ends again,
	// with a new sequence number.
	ending struct {
		key   Key
		ended uint64
	}
)

// DefaultLimits returns the default limits of a whole ledger, all shards together.
func DefaultLimits() Limits {
	return Limits{Horizon: time.Hour, Records: 100_000, AnswerBytes: 16 << 20, Tombstones: 200_000}
}

// split returns the limits of each of n shards.
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

// advance advances the ledger's clock, which never goes back, and applies the
// limits. It returns the time truncated to whole seconds, the precision of the
// log and of snapshots.
func (l *Ledger) advance(at time.Time) time.Time {
	at = at.Truncate(time.Second)
	if at.After(l.now) {
		l.now = at
	}
	l.retain()
	return at
}

// retain drops the records and answer bodies that exceed the limits.
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

// ended returns the record at a position of the queue, and whether the queue's entry
// is current. It is not if the request has begun again since.
func (l *Ledger) ended(position int) (Record, bool) {
	e := l.kept.queue[position]
	r, ok := l.records[e.key]
	return r, ok && r.Ended == e.ended
}

// drop removes a record and marks its request id as used, by expiredThrough if
// the id has a time, or else by a tombstone. An id that may begin again is not marked.
func (l *Ledger) drop(r Record) {
	l.release(r)
	delete(l.records, r.Key)
	if r.mayBeginAgain() {
		return
	}
	if createdAt, ok := timeOf(r.Key.RequestID, l.now); r.Timed && ok {
		l.kept.floor = max(l.kept.floor, createdAt.UnixMilli())
		return
	}
	l.kept.bury(r.Key.hash(), l.limits.Tombstones)
}

// strip drops the body of a record's answer.
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

// release subtracts the record of an ended request from the totals.
func (l *Ledger) release(r Record) {
	if r.Answer == nil {
		return
	}
	l.kept.held--
	l.kept.bytes -= int64(len(r.Answer.Body))
}

// isExpired reports whether an unknown request id was used before, as far as
// tombstones show, or is so old that its record may have been dropped.
func (l *Ledger) isExpired(k Key) bool {
	if l.kept.gone[k.hash()] {
		return true
	}
	createdAt, ok := timeOf(k.RequestID, l.now)
	return ok && (createdAt.UnixMilli() <= l.kept.floor || l.now.Sub(createdAt) > l.limits.Horizon)
}

// bury adds a tombstone of a dropped request id, and removes the oldest ones over
// the limit.
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

// timeOf returns the creation time in a request id, if the id is a ULID with a
// plausible time.
func timeOf(id string, now time.Time) (time.Time, bool) {
	u, err := ulid.ParseStrict(id)
	if err != nil {
		return time.Time{}, false
	}
	createdAt := u.Timestamp()
	if createdAt.After(now.Add(maxAhead)) || now.Sub(createdAt) > maxIDAge {
		return time.Time{}, false
	}
	return createdAt, true
}

func (k Key) hash() uint64 { return xxhash.Sum64String(k.Workspace + "\x00" + k.RequestID) }
