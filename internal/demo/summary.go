package demo

import (
	"fmt"
	"strings"

	"rosereach/core/request"
	"rosereach/core/version"
	"rosereach/internal/load"
)

// Summary is what a run counted from run logs, bills and answers.
type Summary struct {
	Sent, Done, NotRun, Unknown, Billed, Runs int

	// Resent requests were sent again, Sessions were used by more than one
	// request, and RunsBefore ran on the withdrawn version while it served.
	// None of them may be 0, else the checks that they stand for are empty.
	Resent, Sessions, RunsBefore int

	Breaches []load.Breach
}

// newSummary counts the evidence of a run that withdrew a version.
func newSummary(e load.Evidence, withdrawn version.Ref) Summary {
	s := Summary{Sent: len(e.Seen), Billed: len(e.Bills), Runs: len(e.Runs), Breaches: e.Breaches()}
	turns := make(map[string]int)
	for _, o := range e.Seen {
		s.add(o)
		if o.Session != "" {
			turns[o.Session]++
		}
	}
	for _, n := range turns {
		if n > 1 {
			s.Sessions++
		}
	}
	for _, r := range e.Runs {
		if r.Version == withdrawn && r.ReceivedAt.Before(e.Withdrawn[withdrawn]) {
			s.RunsBefore++
		}
	}
	return s
}

func (s *Summary) add(o load.Observation) {
	switch o.Final.Outcome() {
	case request.Done:
		s.Done++
	case request.NotRun:
		s.NotRun++
	default:
		s.Unknown++
	}
	if o.Final.Sends > 1 {
		s.Resent++
	}
}

// Broken names the promises that did not hold and the checks that were empty.
func (s Summary) Broken() []string {
	var broken []string
	counts := load.Count(s.Breaches)
	for _, p := range load.Promises() {
		if counts[p] > 0 {
			broken = append(broken, string(p))
		}
	}
	for _, c := range s.needed() {
		if c.n == 0 {
			broken = append(broken, "nothing was checked: "+c.name)
		}
	}
	return broken
}

// String gives the counts, one a line.
func (s Summary) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "sent %d: done %d, not_run %d, unknown %d\n", s.Sent, s.Done, s.NotRun, s.Unknown)
	fmt.Fprintf(&b, "bills %d, runs at backend servers %d\n", s.Billed, s.Runs)
	for _, c := range s.needed() {
		fmt.Fprintf(&b, "  %-52s %d\n", c.name, c.n)
	}
	fmt.Fprintln(&b, "promises broken:")
	counts := load.Count(s.Breaches)
	for _, p := range load.Promises() {
		fmt.Fprintf(&b, "  %-52s %d\n", p, counts[p])
	}
	for _, breach := range s.Breaches {
		fmt.Fprintln(&b, breach)
	}
	return b.String()
}

type count struct {
	name string
	n    int
}

func (s Summary) needed() []count {
	return []count{
		{"requests that were sent again", s.Resent},
		{"sessions with more than one request", s.Sessions},
		{"runs on the version before its withdrawal", s.RunsBefore},
	}
}
