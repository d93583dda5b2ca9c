package demo

import (
	"fmt"
	"strings"

	"rosereach/core/request"
	"rosereach/core/version"
	"rosereach/internal/load"
)

// Summary holds the results of a run, counted from run logs, bills and answers.
type Summary struct {
	Sent, Done, NotRun, Unknown, Billed, Runs int

	// Resent counts requests that were sent again, MultiRequestSessions counts
	// sessions with more than one request, and RunsBeforeWithdrawal counts runs
	// on the withdrawn version before its withdrawal. If one of them is 0, the
	// guarantee that depends on it was not exercised, and Violated reports that.
	Resent, MultiRequestSessions, RunsBeforeWithdrawal int

	Violations []load.Violation
}

// newSummary summarizes the evidence of a run that withdrew a version.
func newSummary(e load.Evidence, withdrawn version.Ref) Summary {
	s := Summary{Sent: len(e.Observations), Billed: len(e.Bills), Runs: len(e.Runs), Violations: e.Violations()}
	turns := make(map[string]int)
	for _, o := range e.Observations {
		s.add(o)
		if o.Session != "" {
			turns[o.Session]++
		}
	}
	for _, n := range turns {
		if n > 1 {
			s.MultiRequestSessions++
		}
	}
	for _, r := range e.Runs {
		if r.Version == withdrawn && r.ReceivedAt.Before(e.WithdrawnAt[withdrawn]) {
			s.RunsBeforeWithdrawal++
		}
	}
	return s
}

func (s *Summary) add(o load.Observation) {
	switch o.Result.Outcome() {
	case request.Done:
		s.Done++
	case request.NotRun:
		s.NotRun++
	default:
		s.Unknown++
	}
	if o.Result.Sends > 1 {
		s.Resent++
	}
}

// Violated names the violated guarantees and the checks that the run did not
// exercise.
func (s Summary) Violated() []string {
	var names []string
	counts := load.CountByGuarantee(s.Violations)
	for _, g := range load.Guarantees() {
		if counts[g] > 0 {
			names = append(names, string(g))
		}
	}
	for _, c := range s.coverage() {
		if c.n == 0 {
			names = append(names, "check not exercised: "+c.name)
		}
	}
	return names
}

// String formats the counts, one per line.
func (s Summary) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "sent %d: done %d, not_run %d, unknown %d\n", s.Sent, s.Done, s.NotRun, s.Unknown)
	fmt.Fprintf(&b, "bills %d, runs at backend servers %d\n", s.Billed, s.Runs)
	for _, c := range s.coverage() {
		fmt.Fprintf(&b, "  %-52s %d\n", c.name, c.n)
	}
	fmt.Fprintln(&b, "guarantees violated:")
	counts := load.CountByGuarantee(s.Violations)
	for _, g := range load.Guarantees() {
		fmt.Fprintf(&b, "  %-52s %d\n", g, counts[g])
	}
	for _, v := range s.Violations {
		fmt.Fprintln(&b, v)
	}
	return b.String()
}

type coverageCount struct {
	name string
	n    int
}

func (s Summary) coverage() []coverageCount {
	return []coverageCount{
		{"requests that were sent again", s.Resent},
		{"sessions with more than one request", s.MultiRequestSessions},
		{"runs on the version before its withdrawal", s.RunsBeforeWithdrawal},
	}
}
