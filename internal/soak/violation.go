package soak

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"rosereach/platform"
)

// Violation is one violation of a guarantee. ID is the request, or the process or
// address where no request is concerned.
type Violation struct {
	Guarantee string
	ID        string
	Detail    string
}

// violations collects violations, up to maxViolations.
type violations struct {
	mu   sync.Mutex
	list []Violation
}

// maxViolations limits the report; the first violations show the cause.
const maxViolations = 50

func (v *violations) add(guarantee, id, format string, args ...any) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.list) < maxViolations {
		v.list = append(v.list, Violation{Guarantee: guarantee, ID: id, Detail: fmt.Sprintf(format, args...)})
	}
}

func (v *violations) all() []Violation {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]Violation(nil), v.list...)
}

// checkGrace checks that a process that was sent SIGTERM ended by itself: SIGKILL cuts what runs
// without a line in the log.
func (v *violations) checkGrace(name string, grace time.Duration, killed bool) {
	if killed {
		v.add("exit within the grace time", name, "killed %s after SIGTERM", grace)
	}
}

// checkAnswer checks that a successful answer is complete and belongs to its
// request.
func (v *violations) checkAnswer(o requestOutcome) {
	if o.status != http.StatusOK {
		return
	}
	want := o.script.answer(o.id)
	if o.isStream() {
		want = events(0, o.script.eventCount())
	}
	if o.body != want {
		v.add("complete answer to the right request", o.id, "%s request got the answer %.200q of %d bytes in place of %d", o.kind, o.body, len(o.body), len(want))
	}
}

// checkRuns checks how often a request ran. It is called once no request can
// run any more.
func (v *violations) checkRuns(o requestOutcome, runs int) {
	if o.kind == "unsafe" && runs > 1 {
		v.add("at most once", o.id, "ran %d times, status %d", runs, o.status)
	}
	if o.kind != "safe" && platform.IsNotRun(o.status) && runs > 0 {
		v.add("no run after a not-run refusal", o.id, "status %d, ran %d times", o.status, runs)
	}
	if o.status == http.StatusOK && runs == 0 {
		v.add("complete answer to the right request", o.id, "%s request was answered without a run", o.kind)
	}
}
