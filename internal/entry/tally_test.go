package entry

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/juju/clock/testclock"

	"rosereach/core/rollout"
)

// startRollout orders a roll-out of the harness's service, whose servers count as the old
// release.
func (r *harness) startRollout() {
	docs := r.entry.catalog.Load().Documents()
	docs.Rollouts = map[string]rollout.Order{"s": {Service: "s", Target: "v2", Duration: time.Minute, Stage: rollout.StageCanary}}
	docs.Revision++
	r.entry.applyDocuments(&docs)
}

// tallied returns the sums of the entry's tallies.
func (r *harness) tallied() (requests, timed uint64) {
	r.entry.forwarder.mu.Lock()
	defer r.entry.forwarder.mu.Unlock()
	for _, t := range r.entry.forwarder.tallies {
		requests += t.Requests
		timed += t.Timed
	}
	return requests, timed
}

// A release whose answers are slow shows that before they arrive, and each of them counts
// once.
func TestWaitForSlowAnswerIsTallied(t *testing.T) {
	r := newHarness(t)
	clock := testclock.NewClock(time.Now())
	r.entry.cfg.Clock = clock
	r.planWithObjective(2 * time.Second)
	r.startRollout()
	first := make(chan struct{})
	r.server("a", func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/status" {
			fmt.Fprint(w, "1 0 id-1")
			return
		}
		<-first
		event(w, 1)
	})
	_, ended := r.startStream(clock)
	waitFor(t, "the tally of the wait", func() bool {
		clock.Advance(20 * time.Millisecond)
		_, timed := r.tallied()
		return timed > 0
	})
	close(first)
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	if requests, timed := r.tallied(); requests != 1 || timed != 1 {
		t.Errorf("%d requests and %d times", requests, timed)
	}
}

// The time of an answer that is dropped for a larger model's counts.
func TestDroppedAnswerIsTallied(t *testing.T) {
	r := newHarness(t)
	r.plan()
	r.startRollout()
	r.server("a", func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set("Sure", map[string]string{"small": "10", "large": "90"}[req.Header.Get("Model")])
		event(w, 1)
	})
	if _, err := r.send("streaming"); err != nil {
		t.Fatal(err)
	}
	if requests, timed := r.tallied(); requests != 2 || timed != 2 {
		t.Errorf("%d requests and %d times, want those of both models", requests, timed)
	}
}
