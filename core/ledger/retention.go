package ledger

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/oklog/ulid/v2"

	"rosereach/core/request"
)

const (
	// maxIDSkew is how far the time of a request id may lie in the future. An id
	// further ahead is treated as one without a time.
	maxIDSkew = time.Minute

	// maxIDAge is the maximum age of a request id that is treated as a ULID. Ids
	// that only look like one, such as a run of zeros, have no time.
	maxIDAge = 10 * 365 * 24 * time.Hour
)

type (
	// Limits bounds what a ledger keeps of ended requests.
	Limits struct {
		// MaxAge is the maximum age of a record, from the end of its request.
		MaxAge time.Duration
		// MaxRecords is the maximum number of records; the oldest are dropped first.
		MaxRecords int
		// MaxAnswerBytes is the maximum size of all answers' bodies; the bodies of
		// the oldest answers are dropped first.
		MaxAnswerBytes int64
		// MaxTombstones is the maximum number of retained request ids of dropped
		// records. Only ids without a creation time are retained.
		MaxTombstones int
	}

	// retention is the state that decides which records a ledger drops.
	retention struct {
		// lastSequence is the sequence number of the last request that ended.
		lastSequence uint64
		// queue holds the ended requests, oldest first. The bodies of the first
		// strippedCount of them are dropped.
		queue         []endedRequest
		strippedCount int
		// recordCount is the number of records of ended requests, and answerBytes the size
		// of their answers' bodies.
		recordCount int
		answerBytes int64
		// expiredThrough is in milliseconds of Unix time. Request ids created then or
		// before are expired.
		expiredThrough int64
		// tombstones holds the hashes of dropped request ids that carry no creation
		// time; tombstoneQueue holds the same hashes, oldest first.
		tombstones     map[uint64]bool
		tombstoneQueue []uint64
	}

	// endedRequest is the end of a request. A request that is begun again gets
	// another one at its next end, with a new sequence number.
	endedRequest struct {
		key      Key
		sequence uint64
	}
)

// DefaultLimits returns the default limits of a whole ledger, all shards together.
func DefaultLimits() Limits {
	return Limits{MaxAge: time.Hour, MaxRecords: 100_000, MaxAnswerBytes: 16 << 20, MaxTombstones: 200_000}
}

// split returns the limits of each of n shards.
func (l Limits) split(n int) Limits {
	l.MaxRecords = max(l.MaxRecords/n, 1)
	l.MaxAnswerBytes = max(l.MaxAnswerBytes/int64(n), 1)
	l.MaxTombstones = max(l.MaxTombstones/n, 1)
	return l
}

func newRetention() retention { return retention{tombstones: make(map[uint64]bool)} }

func (r *retention) enqueue(k Key) uint64 {
	r.lastSequence++
	r.queue = append(r.queue, endedRequest{key: k, sequence: r.lastSequence})
	return r.lastSequence
}

// advanceClock advances the ledger's clock, which never goes back, and applies the
// limits. It returns the time truncated to whole seconds, the precision of the
// log and of snapshots.
func (l *Ledger) advanceClock(at time.Time) time.Time {
	at = at.Truncate(time.Second)
	if at.After(l.now) {
		l.now = at
	}
	l.enforceLimits()
	return at
}

// enforceLimits drops the records and answer bodies that exceed the limits.
func (l *Ledger) enforceLimits() {
	for len(l.retention.queue) > 0 {
		r, current := l.queuedRecord(0)
		if current && l.retention.recordCount <= l.limits.MaxRecords && l.now.Sub(r.EndedAt) <= l.limits.MaxAge {
			break
		}
		if current {
			l.drop(r)
		}
		l.retention.queue = l.retention.queue[1:]
		l.retention.strippedCount = max(l.retention.strippedCount-1, 0)
	}
	for l.retention.answerBytes > l.limits.MaxAnswerBytes && l.retention.strippedCount < len(l.retention.queue) {
		if r, current := l.queuedRecord(l.retention.strippedCount); current {
			l.dropBody(r)
		}
		l.retention.strippedCount++
	}
}

// queuedRecord returns the record at a position of the queue, and whether the queue's entry
// is current. It is not if the request has begun again since.
func (l *Ledger) queuedRecord(position int) (Record, bool) {
	e := l.retention.queue[position]
	r, ok := l.records[e.key]
	return r, ok && r.EndSequence == e.sequence
}

// drop removes a record and marks its request id as used, by expiredThrough if
// the id has a time, or else by a tombstone. An id that may begin again is not marked.
func (l *Ledger) drop(r Record) {
	l.removeFromTotals(r)
	delete(l.records, r.Key)
	if r.mayBeginAgain() {
		return
	}
	if createdAt, ok := creationTime(r.Key.RequestID, l.now); r.HasTimedID && ok {
		l.retention.expiredThrough = max(l.retention.expiredThrough, createdAt.UnixMilli())
		return
	}
	l.retention.addTombstone(r.Key.hash(), l.limits.MaxTombstones)
}

// dropBody drops the body of a record's answer.
func (l *Ledger) dropBody(r Record) {
	if len(r.Answer.Body) == 0 {
		return
	}
	l.retention.answerBytes -= int64(len(r.Answer.Body))
	a := *r.Answer
	a.Body = nil
	a.Code = request.CodeAnswerNotKept
	r.Answer = &a
	l.records[r.Key] = r
}

// removeFromTotals subtracts the record of an ended request from the totals.
func (l *Ledger) removeFromTotals(r Record) {
	if r.Answer == nil {
		return
	}
	l.retention.recordCount--
	l.retention.answerBytes -= int64(len(r.Answer.Body))
}

// isExpired reports whether an unknown request id was used before, as far as
// tombstones show, or is so old that its record may have been dropped.
func (l *Ledger) isExpired(k Key) bool {
	if l.retention.tombstones[k.hash()] {
		return true
	}
	createdAt, ok := creationTime(k.RequestID, l.now)
	return ok && (createdAt.UnixMilli() <= l.retention.expiredThrough || l.now.Sub(createdAt) > l.limits.MaxAge)
}

// addTombstone adds a tombstone of a dropped request id, and removes the oldest ones over
// the limit.
func (r *retention) addTombstone(id uint64, limit int) {
	if r.tombstones[id] {
		return
	}
	r.tombstones[id] = true
	r.tombstoneQueue = append(r.tombstoneQueue, id)
	for len(r.tombstoneQueue) > limit {
		delete(r.tombstones, r.tombstoneQueue[0])
		r.tombstoneQueue = r.tombstoneQueue[1:]
	}
}

// creationTime returns the creation time in a request id, if the id is a ULID with a
// plausible time.
func creationTime(id string, now time.Time) (time.Time, bool) {
	u, err := ulid.ParseStrict(id)
	if err != nil {
		return time.Time{}, false
	}
	createdAt := u.Timestamp()
	if createdAt.After(now.Add(maxIDSkew)) || now.Sub(createdAt) > maxIDAge {
		return time.Time{}, false
	}
	return createdAt, true
}

func (k Key) hash() uint64 { return xxhash.Sum64String(k.Workspace + "\x00" + k.RequestID) }
