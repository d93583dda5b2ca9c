package demo

import (
	"fmt"
	"strings"
	"time"

	"rosereach/core/ledger"
	"rosereach/core/request"
	"rosereach/core/version"
	"rosereach/internal/fake"
)

// Summary is what a run counted from run logs, bills and answers.
type Summary struct {
	Sent, Done, NotRun, Unknown, Billed, Runs, Resent int

	// What follows must be 0.
	RanTwice         int
	RanWithdrawn     int
	NotRunButRan     int
	DoneWithoutBill  int
	BilledTwice      int
	CutWithoutError  int
	ForeignAnswers   int
	WithdrawalFailed int
}

// count compares what callers saw with the bills and the run logs.
func count(all []sent, bills []ledger.Bill, runs []fake.Run, withdrawn version.Ref, inForceAt time.Time) Summary {
	s := Summary{Sent: len(all), Billed: len(bills), Runs: len(runs)}
	if inForceAt.IsZero() {
		s.WithdrawalFailed++
	}
	billed := make(map[string]int)
	for _, b := range bills {
		billed[b.Key.RequestID]++
	}
	ran := make(map[string]int)
	for _, r := range runs {
		ran[r.RequestID]++
		if r.Version == withdrawn && !inForceAt.IsZero() && r.StartedAt.After(inForceAt) {
			s.RanWithdrawn++
		}
	}
	for _, one := range all {
		s.add(one, ran[one.id], billed[one.id])
	}
	return s
}

func (s *Summary) add(one sent, ran, billed int) {
	outcome := one.reply.Outcome()
	if one.err != nil {
		outcome = request.Unknown
	}
	if one.resent {
		s.Resent++
	}
	if !one.idempotent && ran > 1 {
		s.RanTwice++
	}
	if billed > 1 {
		s.BilledTwice++
	}
	switch outcome {
	case request.Done:
		s.Done++
		s.addDone(one, billed)
	case request.NotRun:
		s.NotRun++
		if ran > 0 {
			s.NotRunButRan++
		}
	case request.Unknown:
		s.Unknown++
		if one.err == nil && one.reply.Problem == nil {
			s.CutWithoutError++
		}
	}
}

func (s *Summary) addDone(one sent, billed int) {
	if billed == 0 {
		s.DoneWithoutBill++
	}
	if one.plain && !strings.Contains(one.reply.Text, `"request_id":"`+one.id+`"`) {
		s.ForeignAnswers++
	}
}

// Broken names the promises that did not hold.
func (s Summary) Broken() []string {
	var broken []string
	for _, c := range s.checks() {
		if c.n > 0 {
			broken = append(broken, c.name)
		}
	}
	return broken
}

// String gives the counts, one a line.
func (s Summary) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "sent %d (%d of them twice): done %d, not_run %d, unknown %d\n", s.Sent, s.Resent, s.Done, s.NotRun, s.Unknown)
	fmt.Fprintf(&b, "bills %d, runs at backend servers %d\n", s.Billed, s.Runs)
	for _, c := range s.checks() {
		fmt.Fprintf(&b, "  %-52s %d\n", c.name, c.n)
	}
	return b.String()
}

type check struct {
	name string
	n    int
}

func (s Summary) checks() []check {
	return []check{
		{"non-idempotent requests run twice", s.RanTwice},
		{"runs on a withdrawn version after it was in force", s.RanWithdrawn},
		{"not_run requests that ran", s.NotRunButRan},
		{"done requests without a bill", s.DoneWithoutBill},
		{"requests billed twice", s.BilledTwice},
		{"answers cut without an error", s.CutWithoutError},
		{"answers of another request", s.ForeignAnswers},
		{"withdrawals that failed", s.WithdrawalFailed},
	}
}
