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

func observationOf(class Class, outcome request.Outcome, text string) Observation {
	o := Observation{Arrival: Arrival{ID: "r", Class: class, AnswerTokens: 2}, Result: Result{Sends: 1}}
	o.Result.Reply.Text = text
	if outcome == request.Done {
		o.Result.Reply.Complete = true
	} else {
		o.Result.Reply.Problem = &caller.Problem{Outcome: outcome}
	}
	return o
}

// doneWithProblem returns an observation whose problem document reports the outcome
// done.
func doneWithProblem(code request.Code) Observation {
	o := observationOf(posting, request.Done, "")
	o.Result.Reply.Complete = false
	o.Result.Reply.Problem = &caller.Problem{Outcome: request.Done, Code: code}
	return o
}

func withTruncation(o Observation) Observation {
	o.Truncations = 1
	return o
}

func withError(o Observation) Observation {
	o.Result.Err = errors.New("reset")
	return o
}

func TestViolations(t *testing.T) {
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
		want  []Guarantee
	}{
		{"done", observationOf(posting, request.Done, receipt), []fake.Run{run}, 1, nil},
		{"run twice", observationOf(posting, request.Done, receipt), []fake.Run{run, run}, 1, []Guarantee{RunOnce}},
		{"idempotent run twice", observationOf(question, request.Done, "t0.a t1.a "), []fake.Run{run, run}, 1, nil},
		{"no bill", observationOf(posting, request.Done, receipt), []fake.Run{run}, 0, []Guarantee{BilledOnce}},
		{"two bills", observationOf(posting, request.Unknown, ""), []fake.Run{run}, 2, []Guarantee{BilledOnce}},
		{"unknown with a bill", withError(observationOf(posting, request.Done, "")), []fake.Run{run}, 1, nil},
		{"not run", observationOf(posting, request.NotRun, ""), nil, 0, nil},
		{"not run, but ran", observationOf(posting, request.NotRun, ""), []fake.Run{run}, 0, []Guarantee{NotRunNeverRan}},
		{"not run, but billed", observationOf(posting, request.NotRun, ""), nil, 1, []Guarantee{NotRunUnbilled}},
		{"cut", withTruncation(observationOf(question, request.Unknown, "")), nil, 0, []Guarantee{NoSilentTruncation}},
		{"another's receipt", observationOf(posting, request.Done, `{"request_id":"q"}`), []fake.Run{run}, 1, []Guarantee{CorrectAnswer}},
		{"a token is missing", observationOf(question, request.Done, "t0.a "), []fake.Run{run}, 1, []Guarantee{CorrectAnswer}},
		{"tokens out of order", observationOf(question, request.Done, "t1.a t0.a "), []fake.Run{run}, 1, []Guarantee{CorrectAnswer}},
		{"done, answer not kept", doneWithProblem(request.CodeAnswerNotKept), []fake.Run{run}, 1, []Guarantee{CorrectAnswer}},
		{"done, another problem", doneWithProblem(request.CodeBackendFailed), []fake.Run{run}, 1, []Guarantee{CorrectAnswer}},
		{"late run", observationOf(question, request.Done, "t0.a t1.a "), []fake.Run{late}, 1, []Guarantee{NoRunWhileLeaving, NoRunAfterWithdrawal}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e := Evidence{
				Observations: []Observation{tc.seen}, Runs: tc.runs, Bills: make([]ledger.Bill, tc.bills),
				LeavingAt: map[string]time.Time{"b": start}, WithdrawnAt: map[version.Ref]time.Time{old: start},
			}
			for i := range e.Bills {
				e.Bills[i].Key.RequestID = "r"
			}
			var got []Guarantee
			for _, b := range e.Violations() {
				got = append(got, b.Guarantee)
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestSessionVersionChanges(t *testing.T) {
	inSession := func(id, session, version string) Observation {
		o := observationOf(question, request.Done, "")
		o.Arrival.ID, o.Session, o.Result.Reply.Version = id, session, version
		return o
	}
	e := Evidence{Observations: []Observation{
		inSession("a", "s1", "small@v1"), inSession("b", "s2", "small@v2"), inSession("c", "s1", "small@v1"),
		inSession("d", "s2", "small@v1"), inSession("e", "", "small@v3"),
	}}
	moved := e.sessionVersionChanges()
	if len(moved) != 1 || moved[0].RequestID != "d" || moved[0].Guarantee != OneVersionPerSession {
		t.Errorf("moved %v", moved)
	}
}
