package entry

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/juju/clock/testclock"

	"rosereach/core/retry"
)

// A stream of which only the end is missing, because its server pauses, gets its end:
// either the paused server is waited for, or another one says that nothing follows the
// last event.
func TestStreamWithoutItsEndIsNotLost(t *testing.T) {
	p := &pausedStream{harness: newHarness(t), clock: testclock.NewClock(time.Now()), resume: make(chan struct{})}
	p.entry.cfg.Clock = p.clock
	p.entry.forwarder.retryBudgets = retry.NewWindowBudgets(retry.WindowBudgetConfig{Slack: 50, Window: 2 * time.Second})
	p.planWithObjective(2 * time.Second)
	for _, id := range []string{"a", "b", "c"} {
		p.server(id, func(w http.ResponseWriter, req *http.Request) {
			if req.URL.Path != "/status" && p.runs.Add(1) == 1 {
				event(w, 1)
				http.NewResponseController(w).Flush()
			} else if req.URL.Path != "/status" {
				return // nothing follows the last event
			}
			select {
			case <-p.resume:
			case <-req.Context().Done():
			}
		})
	}
	p.start()
	p.stayPaused()
	close(p.resume)
	if err := <-p.ended; err != nil || p.got.text() != "id: 1\ndata: 1\n\n" {
		t.Fatalf("%q after %d runs, %v", p.got.text(), p.runs.Load(), err)
	}
}

// A stream that has begun is not given up when its server pauses and no other is there,
// also on a route whose events may lie more than a second apart.
func TestBegunStreamOfLongGapsIsWaitedFor(t *testing.T) {
	p := newPausedStream(t, 50, refuse)
	docs := p.entry.catalog.Load().Documents()
	plan := *docs.Routing
	plan.Config.Routes = slices.Clone(plan.Config.Routes)
	for i := range plan.Config.Routes {
		plan.Config.Routes[i].EventGap = 1250 * time.Millisecond
	}
	docs.Routing = &plan
	docs.Revision++
	p.entry.applyDocuments(&docs)
	p.start()
	start := p.clock.Now()
	p.advanceUntil("the end of the pause", func() bool { return p.clock.Now().Sub(start) > 4400*time.Millisecond || len(p.ended) > 0 })
	close(p.resume)
	p.expectWhole()
}
