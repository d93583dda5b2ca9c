// Package ledger records when requests begin and how they end, so that a request
// that must not be repeated runs at most once and is billed at most once. The
// finish record of a request is its bill.
package ledger

import (
	"cmp"
	"slices"
	"time"

	"rosereach/core/request"
	"rosereach/core/version"
)

// The statuses of a reply.
const (
	// New lets the request run.
	New Status = "new"
	// Running and Finished are returned for a request that is already recorded.
	Running  Status = "running"
	Finished Status = "finished"
	// Mismatch is returned for a request id that was used with another body, and
	// for a finish by a process that does not own the request.
	Mismatch Status = "mismatch"
	// Expired is returned for a request id whose record was, or may have been,
	// dropped.
	Expired Status = "expired"
	// Absent is returned for a request that is unknown or provably did not run.
	Absent Status = "absent"
)

type (
	// Status is the state of a request, as a reply reports it.
	Status string

	// Key identifies a request: a request id is unique within its workspace.
	Key struct {
		Workspace string `json:"workspace"`
		RequestID string `json:"request_id"`
	}

	// Owner is the process that runs a request.
	Owner struct {
		Entry       string `json:"entry"`
		Incarnation uint64 `json:"incarnation"`
	}

	// Begin asks to run a request. Service is the name of the plain service that
	// it calls, and is empty for model requests.
	Begin struct {
		Key        Key       `json:"key"`
		BodyHash   uint64    `json:"body_hash"`
		Owner      Owner     `json:"owner"`
		Idempotent bool      `json:"idempotent"`
		Service    string    `json:"service,omitempty"`
		At         time.Time `json:"at"`
	}

	// Finish ends a request. A request with Free set, such as opening a session,
	// gets no bill.
	Finish struct {
		Key    Key            `json:"key"`
		Owner  Owner          `json:"owner"`
		Answer request.Answer `json:"answer"`
		Price  int64          `json:"price"`
		Free   bool           `json:"free,omitempty"`
		At     time.Time      `json:"at"`
	}

	// ReportedAnswer is the answer that a backend server reported for an open request
	// whose entry is gone.
	ReportedAnswer struct {
		Key    Key            `json:"key"`
		Answer request.Answer `json:"answer"`
		Price  int64          `json:"price"`
	}

	// Record is the ledger's record of a request.
	Record struct {
		Key        Key       `json:"key"`
		BodyHash   uint64    `json:"body_hash"`
		Owner      Owner     `json:"owner"`
		Idempotent bool      `json:"idempotent"`
		Service    string    `json:"service,omitempty"`
		BeganAt    time.Time `json:"began_at"`
		EndedAt    time.Time `json:"ended_at"`
		// EndSequence is a sequence number that orders the records by their end.
		EndSequence uint64 `json:"ended,omitempty"`
		// HasTimedID is set when the request id contains its creation time.
		HasTimedID bool `json:"timed,omitempty"`
		// OwnerLost is set when the outcome is unknown only because the owner was
		// gone.
		OwnerLost bool `json:"settled,omitempty"`
		// MayHaveRun is set when the request began again after it had ended with the
		// outcome unknown.
		MayHaveRun bool `json:"may_have_run,omitempty"`
		// Answer is nil while the request runs.
		Answer *request.Answer `json:"answer,omitempty"`
	}

	// Query asks for the status of a request, without beginning it.
	Query struct {
		Key      Key    `json:"key"`
		BodyHash uint64 `json:"body_hash"`
	}

	// Reply answers a Begin, a Finish or a Query. Owner is the process that runs
	// the request; Answer is set when Status is Finished. MayHaveRun is set for a
	// request that may have run before it began the last time.
	Reply struct {
		Status     Status          `json:"status"`
		Owner      Owner           `json:"owner"`
		Answer     *request.Answer `json:"answer,omitempty"`
		MayHaveRun bool            `json:"may_have_run,omitempty"`
	}

	// Bill is one line of the bill export. Price is in millionths of the billing
	// currency. Sequence starts at 1 and has no gaps.
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
		limits  Limits
		now     time.Time
		records map[Key]Record
		// openByOwner holds the keys of the running requests of each owner.
		openByOwner map[Owner]map[Key]bool
		retention   retention
	}
)

// NewLedger returns an empty ledger.
func NewLedger(limits Limits) *Ledger {
	return &Ledger{
		limits: limits, records: make(map[Key]Record), openByOwner: make(map[Owner]map[Key]bool), retention: newRetention(),
	}
}

// Begin records a request unless it is known. A request that provably did not run
// may begin again, and so may an idempotent one with an unknown outcome.
func (l *Ledger) Begin(b Begin) Reply {
	b.At = l.advanceClock(b.At)
	old, known := l.records[b.Key]
	if known && old.BodyHash != b.BodyHash {
		return Reply{Status: Mismatch, Owner: old.Owner}
	}
	if known && old.Answer == nil {
		return Reply{Status: Running, Owner: old.Owner, MayHaveRun: old.MayHaveRun}
	}
	if known && !old.mayBeginAgain() {
		return Reply{Status: Finished, Owner: old.Owner, Answer: old.Answer}
	}
	if !known && l.isExpired(b.Key) {
		return Reply{Status: Expired}
	}
	l.removeFromTotals(old)
	_, timed := creationTime(b.Key.RequestID, l.now)
	mayHaveRun := known && old.Answer.Outcome == request.Unknown
	l.records[b.Key] = Record{
		Key: b.Key, BodyHash: b.BodyHash, Owner: b.Owner, Idempotent: b.Idempotent, Service: b.Service,
		BeganAt: b.At, HasTimedID: timed, MayHaveRun: mayHaveRun,
	}
	l.setOpen(b.Owner, b.Key)
	return Reply{Status: New, Owner: b.Owner, MayHaveRun: mayHaveRun}
}

// Finish ends a request of its owner, and returns its bill if the outcome is done.
// A second finish gets the first one's answer and no bill. The outcome not_run of a
// request that may have run before is recorded as unknown. After CloseOwner has
// ended a request with the outcome unknown, its owner may still finish it, unless
// the request has begun again.
func (l *Ledger) Finish(f Finish) (Reply, *Bill) {
	f.At = l.advanceClock(f.At)
	r, known := l.records[f.Key]
	if !known || r.Owner != f.Owner {
		return Reply{Status: Mismatch, Owner: r.Owner}, nil
	}
	if r.Answer != nil && !r.OwnerLost {
		return Reply{Status: Finished, Owner: r.Owner, Answer: r.Answer}, nil
	}
	answer := f.Answer
	if r.MayHaveRun && answer.Outcome == request.NotRun {
		answer.Outcome = request.Unknown
	}
	l.removeFromTotals(r)
	r.OwnerLost = false
	l.closeRecord(r, &answer, f.At)
	reply := Reply{Status: Finished, Owner: r.Owner, Answer: &answer}
	if answer.Outcome != request.Done || f.Free {
		return reply, nil
	}
	return reply, newBill(f.Key, answer, f.Price, f.At)
}

// CloseOwner ends the open requests of an owner that is gone: with the answer that a
// backend server reported, or else with the outcome unknown. It returns their
// keys in order and the bills of those that are done.
func (l *Ledger) CloseOwner(o Owner, at time.Time, reported []ReportedAnswer) ([]Key, []Bill) {
	at = l.advanceClock(at)
	byKey := make(map[Key]ReportedAnswer, len(reported))
	for _, e := range reported {
		byKey[e.Key] = e
	}
	var (
		closed []Key
		bills  []Bill
	)
	for _, r := range l.Open(o) {
		closed = append(closed, r.Key)
		e, ok := byKey[r.Key]
		if !ok {
			e.Answer = request.Answer{Outcome: request.Unknown, Code: request.CodeAnswerCut}
			r.OwnerLost = true
		}
		l.closeRecord(r, &e.Answer, at)
		if e.Answer.Outcome == request.Done {
			bills = append(bills, *newBill(r.Key, e.Answer, e.Price, at))
		}
	}
	return closed, bills
}

// Open returns the requests that the owner runs, ordered by key.
func (l *Ledger) Open(o Owner) []Record {
	var open []Record
	for key := range l.openByOwner[o] {
		open = append(open, l.records[key])
	}
	sortByKey(open)
	return open
}

// Find returns the record of a request.
func (l *Ledger) Find(k Key) (Record, bool) {
	r, ok := l.records[k]
	return r, ok
}

// closeRecord ends the record's request with the answer and applies the limits.
func (l *Ledger) closeRecord(r Record, a *request.Answer, at time.Time) {
	r.Answer = a
	r.EndedAt = at
	r.EndSequence = l.retention.enqueue(r.Key)
	l.records[r.Key] = r
	l.retention.recordCount++
	l.retention.answerBytes += int64(len(a.Body))
	l.setClosed(r.Owner, r.Key)
	l.enforceLimits()
}

func (l *Ledger) setOpen(o Owner, k Key) {
	if l.openByOwner[o] == nil {
		l.openByOwner[o] = make(map[Key]bool)
	}
	l.openByOwner[o][k] = true
}

func (l *Ledger) setClosed(o Owner, k Key) {
	delete(l.openByOwner[o], k)
	if len(l.openByOwner[o]) == 0 {
		delete(l.openByOwner, o)
	}
}

func (r Record) mayBeginAgain() bool {
	switch r.Answer.Outcome {
	case request.NotRun:
		return true
	case request.Unknown:
		return r.Idempotent
	}
	return false
}

func newBill(k Key, a request.Answer, price int64, at time.Time) *Bill {
	return &Bill{Key: k, Version: a.Version, Backend: a.Backend, Usage: a.Usage, Price: price, At: at}
}

func sortByKey(records []Record) {
	slices.SortFunc(records, func(a, b Record) int { return a.Key.compare(b.Key) })
}

func (k Key) compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Workspace, other.Workspace), cmp.Compare(k.RequestID, other.RequestID))
}

// Lookup returns the status of a request, without beginning it. A request that
// provably did not run is Absent.
func (l *Ledger) Lookup(q Query) Reply {
	r, known := l.records[q.Key]
	switch {
	case !known && l.isExpired(q.Key):
		return Reply{Status: Expired}
	case !known:
		return Reply{Status: Absent}
	case r.BodyHash != q.BodyHash:
		return Reply{Status: Mismatch, Owner: r.Owner}
	case r.Answer == nil:
		return Reply{Status: Running, Owner: r.Owner}
	case r.Answer.Outcome == request.NotRun:
		return Reply{Status: Absent}
	}
	return Reply{Status: Finished, Owner: r.Owner, Answer: r.Answer}
}
