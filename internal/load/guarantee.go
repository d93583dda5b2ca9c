package load

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"rosereach/core/ledger"
	"rosereach/core/request"
	"rosereach/core/version"
	"rosereach/internal/fake"
)

// LeavingGrace is how long a backend server may still receive new work after it
// announced that it is leaving.
const LeavingGrace = 3 * time.Second

// The guarantees that a run is checked for. The values describe the violations.
const (
	RunOnce              Guarantee = "non-idempotent requests run more than once"
	BilledOnce           Guarantee = "done requests without exactly one bill"
	NotRunUnbilled       Guarantee = "bills of requests that were refused as not_run"
	NotRunNeverRan       Guarantee = "not_run requests that ran"
	NoSilentTruncation   Guarantee = "answers cut without an error"
	CorrectAnswer        Guarantee = "answers that are not the request's own and whole"
	NoRunWhileLeaving    Guarantee = "runs on a leaving backend server"
	NoRunAfterWithdrawal Guarantee = "runs on a withdrawn version"
	OneVersionPerSession Guarantee = "sessions that changed their version"
)

type (
	// Guarantee is a property that must hold for every request.
	Guarantee string

	// Evidence holds the callers' observations, the bills and the run logs of
	// the backend servers. LeavingAt holds the times at which backend servers
	// announced that they are leaving, WithdrawnAt the times at which
	// withdrawals of versions were in effect.
	Evidence struct {
		Observations []Observation
		Bills        []ledger.Bill
		Runs         []fake.Run
		LeavingAt    map[string]time.Time
		WithdrawnAt  map[version.Ref]time.Time
	}

	// Violation is one request that violates a guarantee.
	Violation struct {
		Guarantee Guarantee
		RequestID string
		Detail    string
	}

	// requestFacts holds the runs and the number of bills of one request.
	requestFacts struct {
		runs  []fake.Run
		bills int
	}
)

// Guarantees returns all guarantees, in the order of the constants.
func Guarantees() []Guarantee {
	return []Guarantee{RunOnce, BilledOnce, NotRunUnbilled, NotRunNeverRan, NoSilentTruncation, CorrectAnswer, NoRunWhileLeaving, NoRunAfterWithdrawal, OneVersionPerSession}
}

// Violations returns every request that violates a guarantee.
func (e Evidence) Violations() []Violation {
	byID := make(map[string]requestFacts)
	for _, r := range e.Runs {
		f := byID[r.RequestID]
		f.runs = append(f.runs, r)
		byID[r.RequestID] = f
	}
	for _, b := range e.Bills {
		f := byID[b.Key.RequestID]
		f.bills++
		byID[b.Key.RequestID] = f
	}
	var found []Violation
	for _, o := range e.Observations {
		found = append(found, violationsOf(o, byID[o.Arrival.ID])...)
	}
	found = append(found, e.lateRuns()...)
	return append(found, e.sessionVersionChanges()...)
}

// CountByGuarantee returns the number of violations of each guarantee.
func CountByGuarantee(violations []Violation) map[Guarantee]int {
	counts := make(map[Guarantee]int)
	for _, v := range violations {
		counts[v.Guarantee]++
	}
	return counts
}

// String formats guarantee, request and detail.
func (v Violation) String() string {
	return fmt.Sprintf("%s: %s: %s", v.Guarantee, v.RequestID, v.Detail)
}

func violationsOf(o Observation, f requestFacts) []Violation {
	var found []Violation
	outcome := o.Result.Outcome()
	detail := fmt.Sprintf("%s, outcome %s, sends %d, runs %d, bills %d", o.Arrival.Class.Name, outcome, o.Result.Sends, len(f.runs), f.bills)
	if p := o.Result.Reply.Problem; p != nil {
		detail += ", code " + string(p.Code)
	}
	check := func(g Guarantee, violated bool) {
		if violated {
			found = append(found, Violation{Guarantee: g, RequestID: o.Arrival.ID, Detail: detail})
		}
	}
	check(RunOnce, !o.Arrival.Class.Idempotent && len(f.runs) > 1)
	check(BilledOnce, f.bills > 1 || (outcome == request.Done && f.bills != 1))
	check(NotRunUnbilled, outcome == request.NotRun && f.bills > 0)
	check(NotRunNeverRan, outcome == request.NotRun && len(f.runs) > 0)
	check(NoSilentTruncation, o.Truncations > 0)
	if reason := answerMismatch(o); outcome == request.Done && reason != "" {
		detail += ", " + reason
		check(CorrectAnswer, true)
	}
	return found
}

// answerMismatch describes why an answer is incomplete or does not belong to the
// request. It returns "" for a correct answer.
func answerMismatch(o Observation) string {
	reply := o.Result.Reply
	if p := reply.Problem; p != nil {
		return "done with problem " + string(p.Code)
	}
	if o.Arrival.Class.Kind == Call {
		var receipt fake.Receipt
		if err := json.Unmarshal([]byte(reply.Text), &receipt); err != nil || receipt.RequestID != o.Arrival.ID {
			return fmt.Sprintf("receipt %q", reply.Text)
		}
		return ""
	}
	words := strings.Fields(reply.Text)
	if int64(len(words)) != o.Arrival.AnswerTokens {
		return fmt.Sprintf("%d of %d tokens", len(words), o.Arrival.AnswerTokens)
	}
	for i, word := range words {
		if !strings.HasPrefix(word, fmt.Sprintf("t%d.", i)) {
			return fmt.Sprintf("token %d is %s", i, word)
		}
	}
	return ""
}

// lateRuns returns the runs that a backend server received after its
// LeavingGrace, or after the withdrawal of their version.
func (e Evidence) lateRuns() []Violation {
	var found []Violation
	for _, r := range e.Runs {
		if at, ok := e.LeavingAt[r.Backend]; ok && r.ReceivedAt.Sub(at) > LeavingGrace {
			found = append(found, Violation{NoRunWhileLeaving, r.RequestID, fmt.Sprintf("%s, %v after its word", r.Backend, r.ReceivedAt.Sub(at))})
		}
		if at, ok := e.WithdrawnAt[r.Version]; ok && r.ReceivedAt.After(at) {
			found = append(found, Violation{NoRunAfterWithdrawal, r.RequestID, fmt.Sprintf("%s, %v after it was in force", r.Version, r.ReceivedAt.Sub(at))})
		}
	}
	return found
}

// sessionVersionChanges returns the requests that ran on a different version than the
// first request of their session.
func (e Evidence) sessionVersionChanges() []Violation {
	var found []Violation
	versions := make(map[string]string)
	for _, o := range e.Observations {
		got := o.Result.Reply.Version
		if o.Session == "" || got == "" {
			continue
		}
		first, known := versions[o.Session]
		if !known {
			versions[o.Session] = got
			continue
		}
		if got != first {
			found = append(found, Violation{OneVersionPerSession, o.Arrival.ID, fmt.Sprintf("%s after %s", got, first)})
		}
	}
	return found
}
