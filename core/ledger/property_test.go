package ledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"rosereach/core/request"
)

// counts is the property test's own record: the runs and bills of each request,
// and the sequence of the last bill that was read.
type counts struct {
	runs  map[Key]int
	bills map[Key]int
	next  uint64
}

// With begins, finishes, closed owners and restarts in any order, a request that is
// not idempotent has at most one run that may have happened, no request is billed
// twice, the bills' sequence has no gap, and the limits hold.
func TestLedgerProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{MaxAge: time.Minute, MaxRecords: 8, MaxAnswerBytes: 64, MaxTombstones: 1000}
		l := NewSharded(3, limits)
		seen := counts{runs: make(map[Key]int), bills: make(map[Key]int)}
		at := start
		owners := []Owner{one, two}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			id := fmt.Sprint(rapid.IntRange(0, 12).Draw(t, "id"))
			o := owners[rapid.IntRange(0, 1).Draw(t, "owner")]
			switch rapid.SampledFrom([]string{"begin", "begin", "finish", "finish", "settle", "wait", "restart"}).Draw(t, "step") {
			case "begin":
				if l.Begin(begin(id, o, at)).Status == New {
					seen.runs[Key{"terminalna", id}]++
				}
			case "finish":
				outcome := rapid.SampledFrom([]request.Outcome{request.Done, request.NotRun, request.Unknown}).Draw(t, "outcome")
				before, known := l.Find(Key{"terminalna", id})
				ends := known && (before.Answer == nil || before.OwnerLost) && before.Owner == o
				if l.Finish(finish(id, o, outcome, at)); ends && outcome == request.NotRun {
					seen.runs[before.Key]--
				}
			case "settle":
				l.CloseOwner(o, at, nil)
			case "wait":
				at = at.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "seconds")) * time.Second)
			case "restart":
				l = restart(t, l, limits)
			}
			seen.check(t, l, limits)
		}
	})
}

// restart encodes the ledger's snapshot and restores the ledger from it.
func restart(t *rapid.T, l *Sharded, limits Limits) *Sharded {
	data, err := cbor.Marshal(l.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	var snap Snapshot
	if err := cbor.Unmarshal(data, &snap); err != nil {
		t.Fatal(err)
	}
	restored := RestoreSharded(snap, limits)
	if diff := cmp.Diff(l.Snapshot(), restored.Snapshot()); diff != "" {
		t.Fatal(diff)
	}
	return restored
}

func (c *counts) check(t *rapid.T, l *Sharded, limits Limits) {
	for key, n := range c.runs {
		if n > 1 {
			t.Fatalf("%v ran %d times", key, n)
		}
	}
	for _, b := range l.Bills(c.next, 100) {
		c.next++
		c.bills[b.Key]++
		if b.Sequence != c.next || c.bills[b.Key] > 1 {
			t.Fatalf("bill %+v after sequence %d, %d for its request", b, c.next-1, c.bills[b.Key])
		}
	}
	for i, shard := range l.shards {
		if shard.retention.recordCount > max(limits.MaxRecords/3, 1) || shard.retention.answerBytes > limits.MaxAnswerBytes/3 || shard.retention.answerBytes < 0 {
			t.Fatalf("shard %d holds %d ended requests with %d bytes", i, shard.retention.recordCount, shard.retention.answerBytes)
		}
	}
}
