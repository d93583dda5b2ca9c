package ledger

import (
	"cmp"
	"slices"
	"time"
)

// DefaultShards is the number of shards of a new ledger. A snapshot keeps the number
// with which it was made.
const DefaultShards = 16

type (
	// Sharded is a ledger that is divided into shards by the hash of the request's
	// key, with one sequence of bills. It is not safe for concurrent use.
	Sharded struct {
		shards []*Ledger
		bills  []Bill
	}

	// Snapshot is the whole state of a sharded ledger.
	Snapshot struct {
		Shards []Shard `json:"shards"`
		Bills  []Bill  `json:"bills"`
	}

	// Shard is the whole state of one shard.
	Shard struct {
		// Now is the shard's clock.
		Now time.Time `json:"now"`
		// ExpiredThrough is in milliseconds of Unix time. Request ids created then or
		// before are expired.
		ExpiredThrough int64 `json:"floor"`
		// LastSequence is the sequence number of the last request that ended.
		LastSequence uint64 `json:"last"`
		// Tombstones holds the hashes of dropped request ids, oldest first.
		Tombstones []uint64 `json:"gone,omitempty"`
		Records    []Record `json:"records"`
	}
)

// NewSharded returns an empty ledger of n shards. The limits apply to all shards
// together.
func NewSharded(n int, limits Limits) *Sharded {
	s := &Sharded{}
	for range n {
		s.shards = append(s.shards, NewLedger(limits.split(n)))
	}
	return s
}

// RestoreSharded returns the ledger of a snapshot, or an empty ledger if the
// snapshot has no shards.
func RestoreSharded(snap Snapshot, limits Limits) *Sharded {
	n := len(snap.Shards)
	if n == 0 {
		return NewSharded(DefaultShards, limits)
	}
	s := &Sharded{bills: slices.Clone(snap.Bills)}
	for _, part := range snap.Shards {
		s.shards = append(s.shards, restore(part, limits.split(n)))
	}
	return s
}

// Snapshot returns a copy of the whole state.
func (s *Sharded) Snapshot() Snapshot {
	snap := Snapshot{Bills: slices.Clone(s.bills)}
	for _, l := range s.shards {
		snap.Shards = append(snap.Shards, l.snapshot())
	}
	return snap
}

// Begin records a request unless it is known; see Ledger.Begin.
func (s *Sharded) Begin(b Begin) Reply { return s.shard(b.Key).Begin(b) }

// Finish ends a request of its owner, and adds its bill if the outcome is done; see
// Ledger.Finish.
func (s *Sharded) Finish(f Finish) Reply {
	reply, bill := s.shard(f.Key).Finish(f)
	if bill != nil {
		s.addBill(*bill)
	}
	return reply
}

// CloseOwner ends the open requests of an owner that is gone, and adds the bills of
// those that are done. It returns their keys, in the order of the shards; see
// Ledger.CloseOwner.
func (s *Sharded) CloseOwner(o Owner, at time.Time, reported []ReportedAnswer) []Key {
	var closed []Key
	for _, l := range s.shards {
		keys, bills := l.CloseOwner(o, at, reported)
		closed = append(closed, keys...)
		for _, b := range bills {
			s.addBill(b)
		}
	}
	return closed
}

// Open returns the requests that the owner runs, in the order of the shards.
func (s *Sharded) Open(o Owner) []Record {
	var open []Record
	for _, l := range s.shards {
		open = append(open, l.Open(o)...)
	}
	return open
}

// Find returns the record of a request.
func (s *Sharded) Find(k Key) (Record, bool) { return s.shard(k).Find(k) }

// Bills returns at most limit bills with a sequence above after, in order.
func (s *Sharded) Bills(after uint64, limit int) []Bill {
	if after >= uint64(len(s.bills)) {
		return nil
	}
	rest := s.bills[after:]
	return slices.Clone(rest[:min(len(rest), limit)])
}

func (s *Sharded) addBill(b Bill) {
	b.Sequence = uint64(len(s.bills)) + 1
	s.bills = append(s.bills, b)
}

func (s *Sharded) shard(k Key) *Ledger { return s.shards[k.hash()%uint64(len(s.shards))] }

func (l *Ledger) snapshot() Shard {
	part := Shard{Now: l.now, ExpiredThrough: l.retention.expiredThrough, LastSequence: l.retention.lastSequence, Tombstones: slices.Clone(l.retention.tombstoneQueue)}
	for _, r := range l.records {
		part.Records = append(part.Records, r)
	}
	sortByKey(part.Records)
	return part
}

func restore(part Shard, limits Limits) *Ledger {
	l := NewLedger(limits)
	l.now, l.retention.expiredThrough, l.retention.lastSequence = part.Now, part.ExpiredThrough, part.LastSequence
	for _, id := range part.Tombstones {
		l.retention.addTombstone(id, limits.MaxTombstones)
	}
	var ended []Record
	for _, r := range part.Records {
		l.records[r.Key] = r
		if r.Answer == nil {
			l.setOpen(r.Owner, r.Key)
			continue
		}
		ended = append(ended, r)
		l.retention.recordCount++
		l.retention.answerBytes += int64(len(r.Answer.Body))
	}
	slices.SortFunc(ended, func(a, b Record) int { return cmp.Compare(a.EndSequence, b.EndSequence) })
	for _, r := range ended {
		l.retention.queue = append(l.retention.queue, endedRequest{key: r.Key, sequence: r.EndSequence})
	}
	return l
}

// Lookup returns the status of a request; see Ledger.Lookup.
func (s *Sharded) Lookup(q Query) Reply { return s.shard(q.Key).Lookup(q) }
