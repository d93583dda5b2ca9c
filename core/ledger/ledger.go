// Package ledger records that requests began and how they ended. The finish
// record of a request is its bill.
package ledger

import (
	"cmp"
	"slices"
	"time"

	"rosereach/core/request"
	"rosereach/core/version"
)

// The answers to a begin record.
const (
	New      Status = "new"
	Running  Status = "running"
	Finished Status = "finished"
	Mismatch Status = "mismatch"
	Expired  Status = "expired"
)

type (
	// Status is the answer to a begin record.
	Status string

	// Key identifies a request: its id belongs to one workspace.
	Key struct {
		Workspace string `json:"workspace"`
		RequestID string `json:"request_id"`
	}

	// Owner is the process that runs a request.
	Owner struct {
		Entry       string `json:"entry"`
		Incarnation uint64 `json:"incarnation"`
	}

	// Begin asks to run a request.
	Begin struct {
		Key        Key       `json:"key"`
		BodyHash   uint64    `json:"body_hash"`
		Owner      Owner     `json:"owner"`
		Idempotent bool      `json:"idempotent"`
		At         time.Time `json:"at"`
	}

	// Finish ends a request. A Free one, such as opening a session, gets no bill.
	Finish struct {
		Key    Key            `json:"key"`
		Owner  Owner          `json:"owner"`
		Answer request.Answer `json:"answer"`
		Price  int64          `json:"price"`
		Free   bool           `json:"free,omitempty"`
		At     time.Time      `json:"at"`
	}

	// Record is a request as the ledger knows it. Answer is nil while it runs.
	Record struct {
		Key        Key             `json:"key"`
		BodyHash   uint64          `json:"body_hash"`
		Owner      Owner           `json:"owner"`
		Idempotent bool            `json:"idempotent"`
		BeganAt    time.Time       `json:"began_at"`
		EndedAt    time.Time       `json:"ended_at"`
		Answer     *request.Answer `json:"answer,omitempty"`
	}

	// Reply answers a begin or a finish record. Owner is who runs the request;
	// Answer is set when Status is Finished.
	Reply struct {
		Status Status          `json:"status"`
		Owner  Owner           `json:"owner"`
		Answer *request.Answer `json:"answer,omitempty"`
	}

	// Bill is one line of the export. Price is in millionths of the billing
	// currency. Sequence has no gaps.
	Bill struct {
		Sequence uint64        `json:"sequence"`
		Key      Key           `json:"key"`
		Version  version.Ref   `json:"version"`
		Backend  string        `json:"backend"`
		Usage    request.Usage `json:"usage"`
		Price    int64         `json:"price"`
		At       time.Time     `json:"at"`
	}

	// Ledger is the state of one shard. It is not safe for concurrent use.
	Ledger struct {
		records map[Key]Record
		bills   []Bill
	}

	// Snapshot is the whole state of a ledger.
	Snapshot struct {
		Records []Record `json:"records"`
		Bills   []Bill   `json:"bills"`
	}
)

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{records: make(map[Key]Record)} }

// Restore returns the ledger of a snapshot.
func Restore(s Snapshot) *Ledger {
	l := NewLedger()
	for _, r := range s.Records {
		l.records[r.Key] = r
	}
	l.bills = s.Bills
	return l
}

// Snapshot returns the whole state.
func (l *Ledger) Snapshot() Snapshot {
	s := Snapshot{Bills: slices.Clone(l.bills)}
	for _, r := range l.records {
		s.Records = append(s.Records, r)
	}
	slices.SortFunc(s.Records, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Key.Workspace, b.Key.Workspace), cmp.Compare(a.Key.RequestID, b.Key.RequestID))
	})
	return s
}

// Begin records a request unless it is known. A request that provably did
// not run may begin again.
func (l *Ledger) Begin(b Begin) Reply {
	old, known := l.records[b.Key]
	if known && old.BodyHash != b.BodyHash {
		return Reply{Status: Mismatch, Owner: old.Owner}
	}
	if known && old.Answer == nil {
		return Reply{Status: Running, Owner: old.Owner}
	}
	if known && old.Answer.Outcome != request.NotRun {
		return Reply{Status: Finished, Owner: old.Owner, Answer: old.Answer}
	}
	l.records[b.Key] = Record{
		Key: b.Key, BodyHash: b.BodyHash, Owner: b.Owner, Idempotent: b.Idempotent, BeganAt: b.At,
	}
	return Reply{Status: New, Owner: b.Owner}
}

// Finish ends a request that its owner runs, and writes its bill when it is
// done. A second finish gets the first one's answer.
func (l *Ledger) Finish(f Finish) Reply {
	r, known := l.records[f.Key]
	if !known || r.Owner != f.Owner {
		return Reply{Status: Mismatch, Owner: r.Owner}
	}
	if r.Answer != nil {
		return Reply{Status: Finished, Owner: r.Owner, Answer: r.Answer}
	}
	answer := f.Answer
	r.Answer = &answer
	r.EndedAt = f.At
	l.records[f.Key] = r
	if answer.Outcome == request.Done && !f.Free {
		l.bills = append(l.bills, Bill{
			Sequence: uint64(len(l.bills)) + 1, Key: f.Key, Version: answer.Version, Backend: answer.Backend,
			Usage: answer.Usage, Price: f.Price, At: f.At,
		})
	}
	return Reply{Status: Finished, Owner: r.Owner, Answer: r.Answer}
}

// Settle ends the open requests of an owner that is gone with the outcome
// unknown, and returns their keys.
func (l *Ledger) Settle(o Owner, at time.Time) []Key {
	var settled []Key
	for key, r := range l.records {
		if r.Owner != o || r.Answer != nil {
			continue
		}
		r.Answer = &request.Answer{Outcome: request.Unknown, Code: request.CodeAnswerCut}
		r.EndedAt = at
		l.records[key] = r
		settled = append(settled, key)
	}
	return settled
}

// Find returns the record of a request.
func (l *Ledger) Find(k Key) (Record, bool) {
	r, ok := l.records[k]
	return r, ok
}

// Bills returns at most limit bills after the sequence, in order.
func (l *Ledger) Bills(after uint64, limit int) []Bill {
	if after >= uint64(len(l.bills)) {
		return nil
	}
	rest := l.bills[after:]
	return slices.Clone(rest[:min(len(rest), limit)])
}
