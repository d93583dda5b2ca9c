package load

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"rosereach/core/ledger"
	"rosereach/core/request"
	"rosereach/core/version"
	"rosereach/internal/fake"
	"rosereach/io/caller"
)

var (
	posting  = Class{Name: "posting", Kind: Call}
	question = Class{Name: "question", Kind: Chat, Idempotent: true}
)

func seenAs(class Class, outcome request.Outcome, text string) Observation {
	o := Observation{Arrival: Arrival{ID: "r", Class: class, Answer: 2}, Final: Final{Sends: 1}}
	o.Final.Reply.Text = text
	if outcome == request.Done {
		o.Final.Reply.Whole = true
	} else {
		o.Final.Reply.Problem = &caller.Problem{Outcome: outcome}
	}
	return o
}

// toldDone returns an observation whose problem document reports the outcome
// done.
func toldDone(code request.Code) Observation {
	o := seenAs(posting, request.Done, "")
	o.Final.Reply.Whole = false
	o.Final.Reply.Problem = &caller.Problem{Outcome: request.Done, Code: code}
	return o
}

func withCut(o Observation) Observation {
	o.Cuts = 1
	return o
}

func withError(o Observation) Observation {
	o.Final.Err = errors.New("reset")
	return o
}

func TestBreaches(t *testing.T) {
	const receipt = `{"request_id":"r"}`
	old := version.Ref{Model: "small", Version: "v1"}
	start := time.Unix(100, 0)
	run := fake.Run{RequestID: "r", Backend: "b", ReceivedAt: start}
	late := fake.Run{RequestID: "r", Backend: "b", Version: old, ReceivedAt: start.Add(LeavingGrace + 1)}
	for _, tc := range []struct {
		name  string
		seen  Observation
		runs  []fake.Run
		bills int
		want  []Promise
	}{
		{"done", seenAs(posting, request.Done, receipt), []fake.Run{run}, 1, nil},
		{"run twice", seenAs(posting, request.Done, receipt), []fake.Run{run, run}, 1, []Promise{RunOnce}},
		{"idempotent run twice", seenAs(question, request.Done, "t0.a t1.a "), []fake.Run{run, run}, 1, nil},
		{"no bill", seenAs(posting, request.Done, receipt), []fake.Run{run}, 0, []Promise{BilledOnce}},
		{"two bills", seenAs(posting, request.Unknown, ""), []fake.Run{run}, 2, []Promise{BilledOnce}},
		{"unknown with a bill", withError(seenAs(posting, request.Done, "")), []fake.Run{run}, 1, nil},
		{"not run", seenAs(posting, request.NotRun, ""), nil, 0, nil},
		{"not run, but ran", seenAs(posting, request.NotRun, ""), []fake.Run{run}, 0, []Promise{TrueNotRun}},
		{"not run, but billed", seenAs(posting, request.NotRun, ""), nil, 1, []Promise{BilledNotDone}},
		{"cut", withCut(seenAs(question, request.Unknown, "")), nil, 0, []Promise{NoSilentCut}},
		{"another's receipt", seenAs(posting, request.Done, `{"request_id":"q"}`), []fake.Run{run}, 1, []Promise{OwnAnswer}},
		{"a token is missing", seenAs(question, request.Done, "t0.a "), []fake.Run{run}, 1, []Promise{OwnAnswer}},
		{"tokens out of order", seenAs(question, request.Done, "t1.a t0.a "), []fake.Run{run}, 1, []Promise{OwnAnswer}},
		{"done, answer not kept", toldDone(request.CodeAnswerNotKept), []fake.Run{run}, 1, []Promise{OwnAnswer}},
		{"done, another problem", toldDone(request.CodeBackendFailed), []fake.Run{run}, 1, []Promise{OwnAnswer}},
		{"late run", seenAs(question, request.Done, "t0.a t1.a "), []fake.Run{late}, 1, []Promise{NotLeaving, NotWithdrawn}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e := Evidence{
				Seen: []Observation{tc.seen}, Runs: tc.runs, Bills: make([]ledger.Bill, tc.bills),
				Leaving: map[string]time.Time{"b": start}, Withdrawn: map[version.Ref]time.Time{old: start},
			}
			for i := range e.Bills {
				e.Bills[i].Key.RequestID = "r"
			}
			var got []Promise
			for _, b := range e.Breaches() {
				got = append(got, b.Promise)
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestMovedSessions(t *testing.T) {
	inSession := func(id, session, version string) Observation {
		o := seenAs(question, request.Done, "")
		o.Arrival.ID, o.Session, o.Final.Reply.Version = id, session, version
		return o
	}
	e := Evidence{Seen: []Observation{
		inSession("a", "s1", "small@v1"), inSession("b", "s2", "small@v2"), inSession("c", "s1", "small@v1"),
		inSession("d", "s2", "small@v1"), inSession("e", "", "small@v3"),
	}}
	moved := e.movedSessions()
	if len(moved) != 1 || moved[0].RequestID != "d" || moved[0].Promise != SameVersion {
		t.Errorf("moved %v", moved)
	}
}
