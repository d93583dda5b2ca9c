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
	RunOnce       Promise = "non-idempotent requests run more than once"
	BilledOnce    Promise = "done requests without exactly one bill"
	BilledNotDone Promise = "bills of requests that were refused as not_run"
	TrueNotRun    Promise = "not_run requests that ran"
	NoSilentCut   Promise = "answers cut without an error"
	OwnAnswer     Promise = "answers that are not the request's own and whole"
	NotLeaving    Promise = "runs on a leaving backend server"
	NotWithdrawn  Promise = "runs on a withdrawn version"
	SameVersion   Promise = "sessions that changed their version"
)

type (
	// Promise is a property that must hold for every request.
	Promise string

	// Evidence holds the callers' observations, the bills and the run logs of
	// the backend servers. LeavingAt holds the times at which backend servers
	// announced that they are leaving, WithdrawnAt the times at which
	// withdrawals of versions were in effect.
	Evidence struct {
		Seen      []Observation
		Bills     []ledger.Bill
		Runs      []fake.Run
		Leaving   map[string]time.Time
		Withdrawn map[version.Ref]time.Time
	}

	// Breach is one request that violates a guarantee.
	Breach struct {
		Promise   Promise
		RequestID string
		Detail    string
	}

	// facts holds the runs and the number of bills of one request.
	facts struct {
		runs  []fake.Run
		bills int
	}
)

// Promises returns all guarantees, in the order of the constants.
func Promises() []Promise {
	return []Promise{RunOnce, BilledOnce, BilledNotDone, TrueNotRun, NoSilentCut, OwnAnswer, NotLeaving, NotWithdrawn, SameVersion}
}

// Breaches returns every request that violates a guarantee.
func (e Evidence) Breaches() []Breach {
	byID := make(map[string]facts)
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
	var found []Breach
	for _, o := range e.Seen {
		found = append(found, breachesOf(o, byID[o.Arrival.ID])...)
	}
	found = append(found, e.lateRuns()...)
	return append(found, e.movedSessions()...)
}

// Count returns the number of violations of each guarantee.
func Count(violations []Breach) map[Promise]int {
	counts := make(map[Promise]int)
	for _, v := range violations {
		counts[v.Promise]++
	}
	return counts
}

// String formats guarantee, request and detail.
func (v Breach) String() string { return fmt.Sprintf("%s: %s: %s", v.Promise, v.RequestID, v.Detail) }

func breachesOf(o Observation, f facts) []Breach {
	var found []Breach
	outcome := o.Final.Outcome()
	detail := fmt.Sprintf("%s, outcome %s, sends %d, runs %d, bills %d", o.Arrival.Class.Name, outcome, o.Final.Sends, len(f.runs), f.bills)
	check := func(g Promise, violated bool) {
		if violated {
			found = append(found, Breach{Promise: g, RequestID: o.Arrival.ID, Detail: detail})
		}
	}
	check(RunOnce, !o.Arrival.Class.Idempotent && len(f.runs) > 1)
	check(BilledOnce, f.bills > 1 || (outcome == request.Done && f.bills != 1))
	check(BilledNotDone, outcome == request.NotRun && f.bills > 0)
	check(TrueNotRun, outcome == request.NotRun && len(f.runs) > 0)
	check(NoSilentCut, o.Cuts > 0)
	if reason := foreign(o); outcome == request.Done && reason != "" {
		detail += ", " + reason
		check(OwnAnswer, true)
	}
	return found
}

// foreign describes why an answer is incomplete or does not belong to the
// request. It returns "" for a correct answer.
func foreign(o Observation) string {
	reply := o.Final.Reply
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
	if int64(len(words)) != o.Arrival.Answer {
		return fmt.Sprintf("%d of %d tokens", len(words), o.Arrival.Answer)
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
func (e Evidence) lateRuns() []Breach {
	var found []Breach
	for _, r := range e.Runs {
		if at, ok := e.Leaving[r.Backend]; ok && r.ReceivedAt.Sub(at) > LeavingGrace {
			found = append(found, Breach{NotLeaving, r.RequestID, fmt.Sprintf("%s, %v after its word", r.Backend, r.ReceivedAt.Sub(at))})
		}
		if at, ok := e.Withdrawn[r.Version]; ok && r.ReceivedAt.After(at) {
			found = append(found, Breach{NotWithdrawn, r.RequestID, fmt.Sprintf("%s, %v after it was in force", r.Version, r.ReceivedAt.Sub(at))})
		}
	}
	return found
}

// movedSessions returns the requests that ran on a different version than the
// first request of their session.
func (e Evidence) movedSessions() []Breach {
	var found []Breach
	versions := make(map[string]string)
	for _, o := range e.Seen {
		got := o.Final.Reply.Version
		if o.Session == "" || got == "" {
			continue
		}
		first, known := versions[o.Session]
		if !known {
			versions[o.Session] = got
			continue
		}
		if got != first {
			found = append(found, Breach{SameVersion, o.Arrival.ID, fmt.Sprintf("%s after %s", got, first)})
		}
	}
	return found
}
