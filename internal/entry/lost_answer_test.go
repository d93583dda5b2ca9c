package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/clock/testclock"

	"rosereach/core/backend"
	"rosereach/core/catalog"
	"rosereach/core/forward"
	"rosereach/core/retry"
	"rosereach/core/route"
)

// pausedStream is a harness in which a stream has begun at the first server, which then
// falls silent on all of its connections. Later runs at any server are refused.
type pausedStream struct {
	*harness
	clock  *testclock.Clock
	got    *recordingSink
	ended  chan error
	resume chan struct{}
	runs   atomic.Int64
	broken atomic.Bool // the first answer breaks off when it resumes
	// later handles the runs after the first.
	later   http.HandlerFunc
	withIDs bool // events have ids
}

func newPausedStream(t *testing.T, slack float64, later http.HandlerFunc) *pausedStream {
	p := &pausedStream{
		harness: newHarness(t), clock: testclock.NewClock(time.Now()),
		resume: make(chan struct{}), later: later, withIDs: true,
	}
	p.entry.cfg.Clock = p.clock
	p.entry.forwarder.retryBudgets = retry.NewWindowBudgets(retry.WindowBudgetConfig{Slack: slack, Window: 2 * time.Second})
	p.planWithObjective(2 * time.Second)
	p.server("a", p.serve)
	return p
}

func (p *pausedStream) serve(w http.ResponseWriter, req *http.Request) {
	switch {
	case req.URL.Path == "/status":
		select {
		case <-p.resume:
		case <-req.Context().Done():
		}
	case p.runs.Add(1) == 1:
		io.WriteString(w, p.event(1))
		http.NewResponseController(w).Flush()
		select {
		case <-p.resume:
			if p.broken.Load() {
				hangUp(w)
			}
			io.WriteString(w, p.event(2))
		case <-req.Context().Done():
		}
	default:
		p.later(w, req)
	}
}

// event returns an event of the stream.
func (p *pausedStream) event(id int) string {
	if !p.withIDs {
		return fmt.Sprintf("data: %d\n\n", id)
	}
	return streamText(id, id)
}

// start sends the request and waits for the first event.
func (p *pausedStream) start() {
	p.t.Helper()
	p.got, p.ended = p.startStream(p.clock)
	waitFor(p.t, "the first event", func() bool { return p.got.text() != "" })
}

// advanceUntil advances the clock in small steps until the condition holds.
func (p *pausedStream) advanceUntil(what string, holds func() bool) {
	p.t.Helper()
	waitFor(p.t, what, func() bool {
		if !holds() {
			p.clock.Advance(20 * time.Millisecond)
		}
		return holds()
	})
}

// stayPaused lets the first server be silent for longer than all idle timeouts.
func (p *pausedStream) stayPaused() {
	p.t.Helper()
	start := p.clock.Now()
	p.advanceUntil("the end of the pause", func() bool { return p.clock.Now().Sub(start) > 3*time.Second || len(p.ended) > 0 })
}

// expectWhole checks that the caller gets both events, each once.
func (p *pausedStream) expectWhole() {
	p.t.Helper()
	want := p.event(1) + p.event(2)
	if err := <-p.ended; err != nil || p.got.text() != want {
		p.t.Fatalf("%q, %v", p.got.text(), err)
	}
}

func refuse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Refused", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// A server that pauses on all connections while the retry budget is empty is waited for:
// an answer that has begun can't be refused.
func TestPausedServerIsWaitedForWithoutRetry(t *testing.T) {
	p := newPausedStream(t, 0, refuse)
	p.server("b", p.serve)
	p.start()
	p.stayPaused()
	close(p.resume)
	p.expectWhole()
}

// A stream without ids, which no other server can go on with, is not cut while its server pauses.
func TestPausedStreamWithoutIDsIsWaitedFor(t *testing.T) {
	p := newPausedStream(t, 50, refuse)
	p.withIDs = false
	p.server("b", p.serve)
	p.start()
	p.stayPaused()
	close(p.resume)
	p.expectWhole()
}

// Without another server that accepts connections, a paused server is waited for.
func TestPausedServerIsWaitedForWithoutSuccessor(t *testing.T) {
	for name, addSuccessor := range map[string]func(p *pausedStream){
		"no other server": func(*pausedStream) {},
		"the other server is gone": func(p *pausedStream) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				p.t.Fatal(err)
			}
			l.Close()
			p.announce("b", l.Addr().String(), 1, backend.Serving)
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPausedStream(t, 50, refuse)
			addSuccessor(p)
			p.start()
			p.stayPaused()
			close(p.resume)
			p.expectWhole()
			if n := p.runs.Load(); n != 1 {
				t.Errorf("%d runs", n)
			}
		})
	}
}

// A sound server that is silent on all connections for a second or so gets no successor, though
// another server and retries are there, and nothing is held against it.
func TestShortSilenceIsWaitedFor(t *testing.T) {
	p := newPausedStream(t, 50, refuse)
	p.server("b", p.serve)
	p.start()
	start := p.clock.Now()
	p.advanceUntil("the end of the silence", func() bool { return p.clock.Now().Sub(start) > 1400*time.Millisecond || len(p.ended) > 0 })
	close(p.resume)
	p.expectWhole()
	if n := p.runs.Load(); n != 1 {
		t.Errorf("%d runs", n)
	}
	f := p.entry.forwarder
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.health.IsAvailable(p.clock.Now(), "a") || f.health.IsDegraded(p.clock.Now(), "a") {
		t.Error("the server counts as failing")
	}
}

// A successor that accepts the connection and then refuses the request has used up the
// budget. The answer goes on when the budget allows the next retry.
func TestBegunAnswerOutlastsRefusals(t *testing.T) {
	var refusals atomic.Int64
	p := newPausedStream(t, 1, func(w http.ResponseWriter, req *http.Request) {
		if refusals.Add(1) == 1 {
			refuse(w, req)
			return
		}
		event(w, 2)
	})
	p.server("b", p.serve)
	p.start()
	p.advanceUntil("the end of the request", func() bool { return len(p.ended) > 0 })
	p.expectWhole()
}

// An answer of low confidence is forwarded when the larger model's server is gone.
func TestLowConfidenceAnswerIsKeptWithoutSuccessor(t *testing.T) {
	r := newHarness(t)
	r.plan()
	var runs atomic.Int64
	gone := make(chan struct{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r.server("a", func(w http.ResponseWriter, req *http.Request) {
		if runs.Add(1) > 1 {
			refuse(w, req)
			return
		}
		// Only the other server is left for a second run.
		rec, _ := r.entry.forwarder.roster.Find("a")
		r.announce("a", rec.Server.Address, 2, backend.Leaving)
		r.announce("b", l.Addr().String(), 1, backend.Serving)
		l.Close()
		close(gone)
		w.Header().Set("Sure", "10")
		fmt.Fprintf(w, "id: 1\ndata: %s\n\n", req.Header.Get("Model"))
	})
	got, err := r.send("streaming")
	<-gone
	if err != nil || got.text() != "id: 1\ndata: small\n\n" {
		t.Fatalf("%q, %v", got.text(), err)
	}
}

// At a request's deadline nothing may take it over: no connection is tried, whose failure
// would count against a sound server.
func TestDeadlineBlamesNoSuccessor(t *testing.T) {
	r := newHarness(t)
	clock := testclock.NewClock(time.Now())
	r.entry.cfg.Clock = clock
	r.plan()
	reached := make(chan string, 1)
	for _, id := range []string{"a", "b"} {
		r.server(id, func(_ http.ResponseWriter, req *http.Request) {
			reached <- id
			<-req.Context().Done()
		})
	}
	dials := 0
	r.entry.forwarder.client.OnDial = func() { dials++ }
	ended := make(chan error, 1)
	go func() {
		ended <- r.entry.Forward(t.Context(), forward.Request{
			ID: "id-1", Method: "POST", Host: "h", Path: "/unsafe/x", Target: "/unsafe/x", Key: "k", Arrived: clock.Now(),
		}, &recordingSink{})
	}()
	<-reached
	clock.Advance(6 * time.Second)
	if err := <-ended; codeOf(err) != forward.TimedOut || dials != 1 {
		t.Fatalf("%d connections, %v", dials, err)
	}
}

// changeRoutes puts a plan with changed routes into force.
func (r *harness) changeRoutes(change func(*route.Route)) {
	docs := r.entry.catalog.Load().Documents()
	plan := *docs.Routing
	plan.Config.Routes = append([]route.Route(nil), plan.Config.Routes...)
	for i := range plan.Config.Routes {
		change(&plan.Config.Routes[i])
	}
	plan.Config.Version++
	r.entry.applyDocuments(&catalog.Documents{Revision: docs.Revision + 1, Routing: &plan})
}

// An answer that began during the wait that is judged is not abandoned, also on a route
// with long gaps between events.
func TestAnswerThatBeganIsNotAbandoned(t *testing.T) {
	p := newPausedStream(t, 0, refuse)
	p.changeRoutes(func(r *route.Route) { r.EventGap, r.Timeout = 1300*time.Millisecond, 9*time.Second })
	p.start()
	start := p.clock.Now()
	p.advanceUntil("the end of the pause", func() bool { return p.clock.Now().Sub(start) > 6*time.Second || len(p.ended) > 0 })
	close(p.resume)
	p.expectWhole()
}

// A request without an answer at a dead server ends long before its deadline, so that its
// caller may try elsewhere.
func TestRequestAtDeadServerEnds(t *testing.T) {
	for _, objective := range []time.Duration{time.Second, 2 * time.Second} {
		t.Run(objective.String(), func(t *testing.T) {
			r := newHarness(t)
			clock := testclock.NewClock(time.Now())
			r.entry.cfg.Clock = clock
			r.planWithObjective(objective)
			r.changeRoutes(func(r *route.Route) { r.Timeout = 30 * time.Second })
			var runs atomic.Int64
			r.server("a", func(_ http.ResponseWriter, req *http.Request) {
				if req.URL.Path != "/status" {
					runs.Add(1)
				}
				<-req.Context().Done()
			})
			start := clock.Now()
			_, ended := r.startStream(clock)
			waitFor(t, "the end of the request", func() bool {
				clock.Advance(20 * time.Millisecond)
				return len(ended) > 0
			})
			if took := clock.Now().Sub(start); codeOf(<-ended) != forward.AnswerLost || took > 10*time.Second || runs.Load() != 1 {
				t.Fatalf("ended after %s and %d runs", took, runs.Load())
			}
		})
	}
}

// A begun answer whose only server is gone spends no retries on connections that fail.
func TestGoneServerSpendsNoRetries(t *testing.T) {
	p := newPausedStream(t, 0, refuse)
	p.changeRoutes(func(r *route.Route) { r.Timeout = 8 * time.Second })
	p.entry.forwarder.retryBudgets = retry.NewWindowBudgets(retry.WindowBudgetConfig{Slack: 50, Window: time.Minute})
	p.start()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	p.announce("a", l.Addr().String(), 9, backend.Serving)
	p.broken.Store(true)
	close(p.resume)
	p.advanceUntil("the end", func() bool { return len(p.ended) > 0 })
	left := 0
	for p.entry.forwarder.takeRetry("s", true) {
		left++
	}
	if left < 48 {
		t.Errorf("%d of 50 retries are left", left)
	}
}

// An answer of low confidence is not lost when the larger model's engine refuses and no
// second retry is left.
func TestLowConfidenceAnswerOutlastsRefusal(t *testing.T) {
	r := newHarness(t)
	r.entry.forwarder.retryBudgets = retry.NewWindowBudgets(retry.WindowBudgetConfig{Slack: 1, Window: 2 * time.Second})
	r.plan()
	var runs atomic.Int64
	serve := func(w http.ResponseWriter, req *http.Request) {
		if runs.Add(1) > 1 {
			refuse(w, req)
			return
		}
		w.Header().Set("Sure", "10")
		fmt.Fprintf(w, "id: 1\ndata: %s\n\n", req.Header.Get("Model"))
	}
	r.server("a", serve)
	r.server("b", serve)
	if got, err := r.send("streaming"); err != nil || got.text() != "id: 1\ndata: small\n\n" {
		t.Fatalf("%q, %v", got.text(), err)
	}
}
