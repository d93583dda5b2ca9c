package ledger

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/oklog/ulid/v2"

	"rosereach/core/request"
)

var (
	start = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)
	one   = Owner{Entry: "entry-1", Incarnation: 1}
	two   = Owner{Entry: "entry-2", Incarnation: 1}
)

func begin(id string, o Owner, at time.Time) Begin {
	return Begin{Key: Key{"terminalna", id}, BodyHash: 1, Owner: o, At: at}
}

func finish(id string, o Owner, outcome request.Outcome, at time.Time) Finish {
	return Finish{Key: Key{"terminalna", id}, Owner: o, Price: 7, At: at, Answer: request.Answer{Outcome: outcome, Body: []byte("receipt")}}
}

func idMadeAt(t time.Time) string {
	return ulid.MustNew(ulid.Timestamp(t), strings.NewReader("0123456789")).String()
}

// The status that a second begin of a request gets depends on how the first ended.
func TestSecondBegin(t *testing.T) {
	for _, tc := range []struct {
		name       string
		idempotent bool
		outcome    request.Outcome
		hash       uint64
		want       Status
	}{
		{"it runs", false, "", 1, Running},
		{"other body", false, "", 2, Mismatch},
		{"done", false, request.Done, 1, Finished},
		{"done, other body", false, request.Done, 2, Mismatch},
		{"not run", false, request.NotRun, 1, New},
		{"unknown", false, request.Unknown, 1, Finished},
		{"unknown, idempotent", true, request.Unknown, 1, New},
		{"done, idempotent", true, request.Done, 1, Finished},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := NewSharded(4, DefaultLimits())
			first := begin("a", one, start)
			first.Idempotent = tc.idempotent
			if r := l.Begin(first); r.Status != New {
				t.Fatalf("first begin: %+v", r)
			}
			if tc.outcome != "" {
				l.Finish(finish("a", one, tc.outcome, start))
			}
			again := begin("a", two, start)
			again.BodyHash = tc.hash
			again.Idempotent = tc.idempotent
			if r := l.Begin(again); r.Status != tc.want {
				t.Errorf("status %s, want %s", r.Status, tc.want)
			}
		})
	}
}

// A request that began again after the outcome unknown may have run, also if its last
// begin is proven not to have run it.
func TestNotRunAfterUnknown(t *testing.T) {
	l := NewSharded(1, DefaultLimits())
	b := begin("a", one, start)
	b.Idempotent = true
	l.Begin(b)
	l.Finish(finish("a", one, request.Unknown, start))
	b.Owner = two
	for range 2 {
		first := l.Begin(b)
		repeated := l.Begin(b)
		if first.Status != New || !first.MayHaveRun || repeated.Status != Running || !repeated.MayHaveRun {
			t.Fatalf("begin after unknown: %+v, repeated %+v", first, repeated)
		}
		if r := l.Finish(finish("a", two, request.NotRun, start)); r.Answer.Outcome != request.Unknown {
			t.Fatalf("end as not_run: %+v", r.Answer)
		}
	}
	if r := l.Lookup(Query{Key: b.Key, BodyHash: 1}); r.Status != Finished {
		t.Errorf("lookup: %+v", r)
	}
}

// After another entry has begun a request again, the first entry cannot finish it.
func TestFinishOfFormerOwner(t *testing.T) {
	l := NewSharded(1, DefaultLimits())
	b := begin("a", one, start)
	b.Idempotent = true
	l.Begin(b)
	l.CloseOwner(one, start, nil)
	b.Owner = two
	if r := l.Begin(b); r.Status != New {
		t.Fatalf("begin after the owner was closed: %+v", r)
	}
	if r := l.Finish(finish("a", one, request.Done, start)); r.Status != Mismatch {
		t.Errorf("finish of the former owner: %+v", r)
	}
	l.Finish(finish("a", two, request.Done, start))
	if bills := l.Bills(0, 10); len(bills) != 1 {
		t.Errorf("bills: %+v", bills)
	}
}

// An entry that was closed as gone can still finish its request, which is billed
// once.
func TestFinishAfterCloseOwner(t *testing.T) {
	l := NewSharded(1, DefaultLimits())
	l.Begin(begin("a", one, start))
	l.CloseOwner(one, start, nil)
	for range 2 {
		if r := l.Finish(finish("a", one, request.Done, start)); r.Status != Finished || r.Answer.Outcome != request.Done {
			t.Errorf("finish: %+v", r)
		}
	}
	if bills := l.Bills(0, 10); len(bills) != 1 {
		t.Errorf("bills: %+v", bills)
	}
}

// Closing an owner keeps the answers that backend servers reported and bills those
// that are done. All other requests have an unknown outcome and never run again.
func TestCloseOwner(t *testing.T) {
	l := NewSharded(4, DefaultLimits())
	for _, id := range []string{"b", "a", "c"} {
		l.Begin(begin(id, one, start))
	}
	l.Begin(begin("d", two, start))
	if open := l.Open(one); len(open) != 3 {
		t.Fatalf("open requests: %+v", open)
	}
	reported := ReportedAnswer{Key: Key{"terminalna", "a"}, Price: 3, Answer: request.Answer{Outcome: request.Done, Backend: "ledger-1"}}
	if keys := l.CloseOwner(one, start, []ReportedAnswer{reported}); len(keys) != 3 {
		t.Errorf("closed: %v", keys)
	}
	var got []request.Outcome
	for _, id := range []string{"a", "b", "c"} {
		r := l.Begin(begin(id, two, start))
		if r.Status != Finished {
			t.Fatalf("%s may run again: %+v", id, r)
		}
		got = append(got, r.Answer.Outcome)
	}
	if diff := cmp.Diff([]request.Outcome{request.Done, request.Unknown, request.Unknown}, got); diff != "" {
		t.Error(diff)
	}
	if bills := l.Bills(0, 10); len(bills) != 1 || bills[0].Key.RequestID != "a" || bills[0].Price != 3 {
		t.Errorf("bills: %+v", bills)
	}
	if open := l.Open(two); len(open) != 1 {
		t.Errorf("open requests of the other owner: %+v", open)
	}
}

// A request id past the limits is refused, also after its record was dropped, and its
// bill is kept.
func TestRetention(t *testing.T) {
	limits := Limits{MaxAge: time.Minute, MaxRecords: 3, MaxAnswerBytes: 1 << 20, MaxTombstones: 10}
	for _, tc := range []struct {
		name   string
		ids    []string
		pass   time.Duration
		resend string
		want   Status
	}{
		{"within the horizon", []string{"a"}, 30 * time.Second, "a", Finished},
		{"past the horizon", []string{"a"}, 2 * time.Minute, "a", Expired},
		{"over the number", []string{"a", "b", "c", "d"}, 0, "a", Expired},
		{"the newest ones are kept", []string{"a", "b", "c", "d"}, 0, "b", Finished},
		{"made long ago and never seen", nil, time.Hour, idMadeAt(start), Expired},
		{"made now", nil, time.Hour, idMadeAt(start.Add(time.Hour)), New},
		{"with a time, dropped", []string{idMadeAt(start)}, 2 * time.Minute, idMadeAt(start), Expired},
		{"with a time far ahead, dropped", []string{idMadeAt(start.Add(2 * time.Minute))}, 3 * time.Minute, idMadeAt(start.Add(2 * time.Minute)), Expired},
		{"looks like an id with a time", nil, 0, "00000000000000000000000001", New},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := NewSharded(1, limits)
			for _, id := range tc.ids {
				l.Begin(begin(id, one, start))
				l.Finish(finish(id, one, request.Done, start))
			}
			l = RestoreSharded(l.Snapshot(), limits)
			if r := l.Begin(begin(tc.resend, two, start.Add(tc.pass))); r.Status != tc.want {
				t.Errorf("status %s, want %s", r.Status, tc.want)
			}
			if bills := l.Bills(0, 10); len(bills) != len(tc.ids) {
				t.Errorf("%d bills for %d requests", len(bills), len(tc.ids))
			}
		})
	}
}

// The size of the recorded answers is bounded; the oldest body is dropped first.
func TestAnswerBytes(t *testing.T) {
	l := NewSharded(1, Limits{MaxAge: time.Minute, MaxRecords: 10, MaxAnswerBytes: 14, MaxTombstones: 1})
	for _, id := range []string{"a", "b", "c"} {
		l.Begin(begin(id, one, start))
		l.Finish(finish(id, one, request.Done, start))
	}
	var kept []string
	for _, id := range []string{"a", "b", "c"} {
		r := l.Begin(begin(id, two, start))
		if r.Answer.Code != request.CodeAnswerNotKept {
			kept = append(kept, id)
		}
	}
	if diff := cmp.Diff([]string{"b", "c"}, kept); diff != "" {
		t.Error(diff)
	}
}

// The status that a lookup gets depends on how the request ended.
func TestLookup(t *testing.T) {
	limits := DefaultLimits()
	limits.MaxAge = time.Minute
	for _, tc := range []struct {
		name    string
		outcome request.Outcome
		hash    uint64
		pass    time.Duration
		want    Status
	}{
		{"it runs", "", 1, 0, Running},
		{"done", request.Done, 1, 0, Finished},
		{"unknown", request.Unknown, 1, 0, Finished},
		{"not run", request.NotRun, 1, 0, Absent},
		{"other body", request.Done, 2, 0, Mismatch},
		{"past the horizon", request.Done, 1, time.Hour, Expired},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := NewSharded(1, limits)
			l.Begin(begin("a", one, start))
			if tc.outcome != "" {
				l.Finish(finish("a", one, tc.outcome, start))
			}
			l.Begin(begin("b", one, start.Add(tc.pass)))
			l.Finish(finish("b", one, request.Done, start.Add(tc.pass)))
			if r := l.Lookup(Query{Key: Key{"terminalna", "a"}, BodyHash: tc.hash}); r.Status != tc.want {
				t.Errorf("status %s, want %s", r.Status, tc.want)
			}
			if r := l.Lookup(Query{Key: Key{"terminalna", "c"}}); r.Status != Absent {
				t.Errorf("never seen: %s", r.Status)
			}
		})
	}
}
