package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/juju/clock/testclock"
	"github.com/juju/errors"

	"rosereach/core/backend"
	"rosereach/core/forward"
	"rosereach/core/limit"
	"rosereach/core/rollout"
	"rosereach/core/roster"
	"rosereach/core/route"
)

// The entries of these tests know no control: what a server says of itself has to hold
// without any.

// counter is a backend server that counts its requests.
type counter struct {
	n atomic.Int64
	http.HandlerFunc
}

func (c *counter) serve(w http.ResponseWriter, req *http.Request) {
	c.n.Add(1)
	c.HandlerFunc(w, req)
}

// counted starts a backend server that counts its requests.
func (r *harness) counted(id string, h http.HandlerFunc) *counter {
	c := &counter{HandlerFunc: h}
	r.server(id, c.serve)
	return c
}

func succeed(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "done") }

// leave returns a handler that says that the server leaves before the other answers.
func leave(answer http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set("Leaving", "1")
		answer(w, req)
	}
}

// holdOff returns a handler that turns requests away for a time.
func holdOff(d time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set("Hold-Off", d.String())
		refuse(w, req)
	}
}

// sendUntil sends requests until the condition holds, and fails when one is not answered.
func (r *harness) sendUntil(kind route.Kind, what string, holds func() bool) {
	r.t.Helper()
	waitFor(r.t, what, func() bool {
		if !holds() {
			if _, err := r.send(kind); err != nil {
				r.t.Fatal(err)
			}
		}
		return holds()
	})
}

// announceIncarnation announces a start of the server with the given id at its address.
func (r *harness) announceIncarnation(id string, incarnation, sequence uint64, release string) {
	rec, _ := r.entry.forwarder.roster.Find(id)
	a := rec.Server
	a.Incarnation, a.Sequence, a.Release = incarnation, sequence, release
	r.entry.forwarder.updateRoster(time.Now(), roster.Delta{Records: []roster.Record{{Server: a}}})
}

// A server that says in an answer of any kind that it leaves gets no further request.
func TestLeavingServerIsLeftAlone(t *testing.T) {
	for name, answer := range map[string]http.HandlerFunc{
		"success": succeed,
		"failure": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
		"refusal": refuse,
		"stream":  func(w http.ResponseWriter, _ *http.Request) { event(w, 1) },
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t)
			r.plan()
			kind, sound := route.Safe, http.HandlerFunc(succeed)
			if name == "stream" {
				kind, sound = route.Streaming, answer
			}
			leaving := r.counted("a", leave(answer))
			r.server("b", sound)
			r.sendUntil(kind, "a request at the leaving server", func() bool { return leaving.n.Load() > 0 })
			for range 20 {
				if _, err := r.send(kind); err != nil {
					t.Fatal(err)
				}
			}
			if n := leaving.n.Load(); n != 1 {
				t.Fatalf("the leaving server got %d requests", n)
			}
		})
	}
}

// An announcement that was sent before the server decided to leave, or that a control
// repeats, does not take back the server's word. A new start of the server does.
func TestStaleAnnouncementDoesNotBringServerBack(t *testing.T) {
	r := newHarness(t)
	r.plan()
	a := r.counted("a", leave(succeed))
	if _, err := r.send(route.Safe); err != nil {
		t.Fatal(err)
	}
	r.announceIncarnation("a", 1, 2, "")
	if _, err := r.send(route.Safe); codeOf(err) != forward.NoServer || a.n.Load() != 1 {
		t.Fatalf("%d requests, %v", a.n.Load(), err)
	}
	r.announceIncarnation("a", 2, 1, "")
	if _, err := r.send(route.Safe); err != nil || a.n.Load() != 2 {
		t.Fatalf("after a restart: %d requests, %v", a.n.Load(), err)
	}
}

// A retry that no other server can take does not go back to a leaving one.
func TestRetryAvoidsLeavingServer(t *testing.T) {
	r := newHarness(t)
	r.plan()
	a := r.counted("a", leave(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }))
	got, err := r.send(route.Safe)
	if err != nil || got.status != http.StatusInternalServerError || a.n.Load() != 1 {
		t.Fatalf("%d requests, status %d, %v", a.n.Load(), got.status, err)
	}
}

// An answer of low confidence is kept when its server leaves and is the only one.
func TestSecondRunAvoidsLeavingServer(t *testing.T) {
	r := newHarness(t)
	r.plan()
	a := r.counted("a", leave(func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set("Sure", "5")
		event(w, 1)
	}))
	if got, err := r.send(route.Streaming); err != nil || got.text() != "id: 1\ndata: 1\n\n" || a.n.Load() != 1 {
		t.Fatalf("%d requests, %q, %v", a.n.Load(), got.text(), err)
	}
}

// A stream that breaks off at a leaving server is not resumed there.
func TestResumeAvoidsLeavingServer(t *testing.T) {
	r := newHarness(t)
	r.plan()
	a := r.counted("a", leave(func(w http.ResponseWriter, _ *http.Request) {
		event(w, 1)
		hangUp(w)
	}))
	b := &counter{HandlerFunc: func(w http.ResponseWriter, _ *http.Request) { event(w, 2) }}
	ended := make(chan error, 1)
	got := &recordingSink{}
	go func() {
		ended <- r.entry.Forward(t.Context(), forward.Request{
			ID: "id-1", Method: "POST", Host: "h", Path: "/streaming/x", Target: "/streaming/x", Key: "k", Model: "*", Arrived: time.Now(),
		}, got)
	}()
	waitFor(t, "the first event", func() bool { return got.text() != "" })
	r.server("b", b.serve)
	if err := <-ended; err != nil || a.n.Load() != 1 || b.n.Load() != 1 {
		t.Fatalf("%d requests at the leaving server, %d at the other, %q, %v", a.n.Load(), b.n.Load(), got.text(), err)
	}
}

// The requests of a session stay at the release that they were assigned to when one of
// its servers leaves, and when all of them are held off.
func TestSessionKeepsItsReleaseAtAnotherServer(t *testing.T) {
	r := newHarness(t)
	r.plan()
	docs := r.entry.catalog.Load().Documents()
	docs.Rollouts = map[string]rollout.Order{"s": {Service: "s", Target: "new", Stage: rollout.StageFull}}
	docs.Revision++
	r.entry.applyDocuments(&docs)
	old := r.counted("old", succeed)
	leaving := r.counted("new-1", leave(succeed))
	var held atomic.Bool
	other := r.counted("new-2", func(w http.ResponseWriter, req *http.Request) {
		if held.Load() {
			holdOff(time.Minute)(w, req)
			return
		}
		succeed(w, req)
	})
	r.announceIncarnation("new-1", 1, 2, "new")
	r.announceIncarnation("new-2", 1, 2, "new")
	send := func() error {
		_, err := r.sendWith(t.Context(), forward.Request{Path: "/safe/x", Key: "k", Session: "session"})
		return err
	}
	waitFor(t, "a request at the leaving server", func() bool {
		if err := send(); err != nil {
			t.Fatal(err)
		}
		return leaving.n.Load() > 0
	})
	before := other.n.Load()
	for range 10 {
		if err := send(); err != nil {
			t.Fatal(err)
		}
	}
	if leaving.n.Load() != 1 || other.n.Load() != before+10 || old.n.Load() != 0 {
		t.Fatalf("%d requests at the leaving server, %d more at the other, %d at the old release", leaving.n.Load(), other.n.Load()-before, old.n.Load())
	}
	held.Store(true)
	for range 5 {
		if err := send(); codeOf(err) != forward.NoServer {
			t.Fatal(err)
		}
	}
	if other.n.Load() != before+11 || old.n.Load() != 0 {
		t.Fatalf("%d requests at the held-off server, %d at the old release", other.n.Load()-before-10, old.n.Load())
	}
}

// A request that waits for its turn is checked again: its only server asks for no
// requests meanwhile.
func TestQueuedRequestIsCheckedAgain(t *testing.T) {
	r := newHarness(t)
	r.plan()
	r.entry.plainAdmission = newAdmission(limit.NewFIFO(1, 10))
	reached, answer := make(chan struct{}, 2), make(chan struct{})
	a := r.counted("a", func(w http.ResponseWriter, req *http.Request) {
		reached <- struct{}{}
		<-answer
		holdOff(time.Minute)(w, req)
	})
	ended := make(chan error, 2)
	for range 2 {
		go func() {
			_, err := r.send(route.Unsafe)
			ended <- err
		}()
	}
	<-reached
	waitFor(t, "a queued request", func() bool { return r.entry.plainAdmission.waitingCount() == 1 })
	close(answer)
	for range 2 {
		if err := <-ended; codeOf(err) != forward.NoServer {
			t.Fatal(err)
		}
	}
	if n := a.n.Load(); n != 1 {
		t.Fatalf("%d requests", n)
	}
}

// A request whose server speaks while the connection is opened is not sent. It goes to
// another server without a retry, and the server has not failed.
func TestRequestIsCheckedBeforeItsFirstByte(t *testing.T) {
	for name, head := range map[string]forward.Head{"leaving": {Leaving: true}, "held off": {HoldOff: time.Minute}} {
		r := newHarness(t)
		r.plan()
		a := r.counted("a", succeed)
		f := r.entry.forwarder
		x := &activeRequest{forwarder: f, service: "s", route: route.Route{Kind: route.Unsafe, Timeout: time.Second}, deadline: time.Now().Add(time.Minute), sink: &recordingSink{}}
		placed, ok := f.chooseServer(x)
		if !ok {
			t.Fatal("no server")
		}
		if err := f.admit(placed); err != nil {
			t.Fatal(err)
		}
		f.hear(placed.server, head, time.Now(), "other")
		outcome, err := x.tryServer(t.Context(), placed)
		if outcome != forward.NotSent || err == nil || a.n.Load() != 0 || x.sends != 0 || len(x.tried) != 0 {
			t.Errorf("%s: %s, %v, %d requests, %d sends", name, outcome, err, a.n.Load(), x.sends)
		}
		if !f.health.IsAvailable(time.Now(), "a") {
			t.Errorf("%s: the server counts as failed", name)
		}
		if _, ok := f.chooseServer(x); ok {
			t.Errorf("%s: the server is chosen again", name)
		}
	}
}

// burst sends n concurrent requests and returns their errors.
func (r *harness) burst(n int, now time.Time) []error {
	errs := make([]error, n)
	var wg sync.WaitGroup
	for i := range errs {
		wg.Go(func() {
			errs[i] = r.entry.Forward(context.Background(), forward.Request{
				ID: fmt.Sprintf("id-%d", i), Method: "POST", Host: "h", Path: "/safe/x", Target: "/safe/x", Key: "k", Arrived: now,
			}, &recordingSink{})
		})
	}
	wg.Wait()
	return errs
}

// A burst at a server that asked for no requests reaches it at most twice. All of it is
// rejected at once, as the clock stands still, and told to return after the hold-off, some
// requests at a time.
func TestBurstAtHeldOffServer(t *testing.T) {
	r := newHarness(t)
	clock := testclock.NewClock(time.Now())
	r.entry.cfg.Clock = clock
	r.plan()
	a := r.counted("a", holdOff(time.Second))
	r.burst(1, clock.Now())
	inRound := make(map[time.Duration]int)
	for _, err := range r.burst(100, clock.Now()) {
		var f *forward.Failure
		if !errors.As(err, &f) || f.Code != forward.NoServer || f.RetryAfter < time.Second {
			t.Fatal(err)
		}
		if f.RetryAfter < 5*time.Second/retryAfterDivisor {
			inRound[(f.RetryAfter-time.Second)/(400*time.Millisecond)]++
		}
	}
	if n := a.n.Load(); n > 2 {
		t.Fatalf("%d requests reached the server", n)
	}
	if inRound[0] > 4 || inRound[0] == 0 {
		t.Fatalf("%d callers return in the first round to a server with 4 places", inRound[0])
	}
}

// After the hold-off, the server gets few requests until it answers. Those that wait for
// their turn are answered with the others.
func TestHerdAfterHoldOff(t *testing.T) {
	r := newHarness(t)
	clock := testclock.NewClock(time.Now())
	r.entry.cfg.Clock = clock
	r.plan()
	var turnedAway atomic.Bool
	var concurrent, most atomic.Int64
	release := make(chan struct{})
	a := r.counted("a", func(w http.ResponseWriter, req *http.Request) {
		if turnedAway.CompareAndSwap(false, true) {
			holdOff(time.Second)(w, req)
			return
		}
		n := concurrent.Add(1)
		defer concurrent.Add(-1)
		for old := most.Load(); n > old && !most.CompareAndSwap(old, n); old = most.Load() {
		}
		<-release
		succeed(w, req)
	})
	r.burst(1, clock.Now())
	clock.Advance(time.Second)
	ended := make(chan []error, 1)
	go func() { ended <- r.burst(50, clock.Now()) }()
	waitFor(t, "requests at the server", func() bool { return a.n.Load() >= 3 })
	waitFor(t, "requests that wait", func() bool { return r.entry.inFlight.Load() == 50 })
	if n := most.Load(); n != 2 {
		t.Fatalf("%d requests at once after the hold-off", n)
	}
	close(release)
	var errs []error
	waitFor(t, "the answers", func() bool {
		clock.Advance(time.Millisecond)
		select {
		case errs = <-ended:
			return true
		default:
			return false
		}
	})
	answered := 0
	for _, err := range errs {
		switch {
		case err == nil:
			answered++
		case codeOf(err) != forward.NoServer:
			t.Fatal(err)
		}
	}
	if answered < 2 {
		t.Fatalf("%d requests were answered", answered)
	}
}

// No request is rejected while one server has room.
func TestFreeServerTakesAll(t *testing.T) {
	r := newHarness(t)
	r.plan()
	a := r.counted("a", holdOff(time.Minute))
	b := r.counted("b", leave(succeed))
	r.server("c", succeed)
	r.sendUntil(route.Safe, "words of both servers", func() bool { return a.n.Load() > 0 && b.n.Load() > 0 })
	for _, err := range r.burst(50, time.Now()) {
		if err != nil {
			t.Fatal(err)
		}
	}
	if a.n.Load() != 1 || b.n.Load() != 1 {
		t.Fatalf("%d requests at the held-off server, %d at the leaving one", a.n.Load(), b.n.Load())
	}
}

// A stream that has begun can't be refused. It waits for the end of the hold-off.
func TestBegunStreamOutlastsHoldOff(t *testing.T) {
	r := newHarness(t)
	r.plan()
	const pause = 300 * time.Millisecond
	var n atomic.Int64
	var asked time.Time
	a := r.counted("a", func(w http.ResponseWriter, req *http.Request) {
		switch n.Add(1) {
		case 1:
			event(w, 1)
			hangUp(w)
		case 2:
			asked = time.Now()
			holdOff(pause)(w, req)
		default:
			if time.Since(asked) < pause {
				t.Error("a request arrives during the hold-off")
			}
			event(w, 2)
		}
	})
	got, err := r.send(route.Streaming)
	if want := "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"; err != nil || got.text() != want || a.n.Load() != 3 {
		t.Fatalf("%q after %d requests, %v", got.text(), a.n.Load(), err)
	}
}

// A silent engine that asked for no requests is not asked for its status, and keeps what
// it runs. One that leaves is asked, and its status may be the first to say so.
func TestStatusOfRestrainedEngine(t *testing.T) {
	for name, heldOff := range map[string]bool{"held off": true, "leaving": false} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t)
			clock := testclock.NewClock(time.Now())
			r.entry.cfg.Clock = clock
			r.planWithObjective(2 * time.Second)
			var runs, asked atomic.Int64
			release := make(chan struct{})
			r.server("a", func(w http.ResponseWriter, req *http.Request) {
				if req.URL.Path == "/status" {
					asked.Add(1)
					w.Header().Set("Leaving", "1")
					io.WriteString(w, "1 0 id-1")
					return
				}
				runs.Add(1)
				<-release
				event(w, 1)
			})
			got, ended := r.startStream(clock)
			waitFor(t, "the request", func() bool { return runs.Load() == 1 })
			rec, _ := r.entry.forwarder.roster.Find("a")
			if heldOff {
				r.entry.forwarder.hear(rec.Server, forward.Head{HoldOff: time.Minute}, time.Now(), "other")
			}
			start := clock.Now()
			waitFor(t, "a status or the end of the wait", func() bool {
				clock.Advance(20 * time.Millisecond)
				return asked.Load() > 0 || clock.Now().Sub(start) > 3*time.Second
			})
			if asked.Load() > 0 == heldOff {
				t.Fatalf("asked %d times", asked.Load())
			}
			if !heldOff {
				waitFor(t, "the word", func() bool {
					leaving, _ := r.entry.forwarder.countRestrained()
					return leaving == 1
				})
			}
			close(release)
			if err := <-ended; err != nil || got.text() != "id: 1\ndata: 1\n\n" || runs.Load() != 1 {
				t.Fatalf("%q after %d runs, %v", got.text(), runs.Load(), err)
			}
		})
	}
}

// A server whose record is removed and announced again by a late message is still known
// to leave.
func TestLeavingServerIsRememberedAfterItsRecord(t *testing.T) {
	r := newHarness(t)
	r.plan()
	a := r.counted("a", leave(succeed))
	if _, err := r.send(route.Safe); err != nil {
		t.Fatal(err)
	}
	rec, _ := r.entry.forwarder.roster.Find("a")
	f := r.entry.forwarder
	later := time.Now()
	for _, state := range []backend.State{backend.Leaving, backend.Serving} {
		rec.Server.State = state
		rec.Server.Sequence++
		f.updateRoster(later, roster.Delta{Records: []roster.Record{{Server: rec.Server}}})
		later = later.Add(serverRemoveAfter + cleanupInterval)
		f.updateRoster(later, roster.Delta{})
	}
	if known, ok := f.roster.Find("a"); !ok || known.Server.State != backend.Serving {
		t.Fatal("the late message does not bring the record back")
	}
	if _, err := r.send(route.Safe); codeOf(err) != forward.NoServer || a.n.Load() != 1 {
		t.Fatalf("%d requests, %v", a.n.Load(), err)
	}
}

// What an operator sees: each word once with the request that brought it, a line for each
// request that it kept away, and the numbers.
func TestWordsAreLoggedAndCounted(t *testing.T) {
	r := newHarness(t)
	var mu sync.Mutex
	var text strings.Builder
	r.entry.cfg.Logger = log.LoggerFunc(func(fields ...any) error {
		mu.Lock()
		defer mu.Unlock()
		return log.NewLogfmtLogger(&text).Log(fields...)
	})
	r.plan()
	r.counted("a", func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set("Unreadable", "soon")
		holdOff(time.Minute)(w, req)
	})
	r.counted("b", leave(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Unreadable", "soon")
		w.WriteHeader(http.StatusInternalServerError)
	}))
	for range 5 {
		r.send(route.Safe) //nolint:errcheck // rejected, or the server's failure
	}
	mu.Lock()
	logged := text.String()
	mu.Unlock()
	for part, want := range map[string]int{
		`msg="Backend server says that it leaves." id=id-1 server=b word=leaves`: 1,
		`msg="Backend server wants no requests." id=id-1 server=a word=held_off`: 1,
		`msg="Word of a backend server cannot be read." id=id-1`:                 2,
		`msg="Request is kept from a backend server." id=id-1 srv=a `:            4,
	} {
		if got := strings.Count(logged, part); got != want {
			t.Errorf("%s: %d times, want %d", part, got, want)
		}
	}
	w := httptest.NewRecorder()
	r.entry.ForwardMetrics().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, line := range []string{
		`rosereach_server_words_total{word="leaves"} 1`, `rosereach_server_words_total{word="held_off"} 1`, `rosereach_server_words_total{word="unreadable"} 2`,
		"rosereach_servers_leaving 1", "rosereach_servers_held_off 1",
	} {
		if !strings.Contains(w.Body.String(), line+"\n") {
			t.Errorf("%s is not shown", line)
		}
	}
}

// A stream that has begun looks for a server many times while all are held off. It is not
// rejected, and must not push back the callers that are.
func TestWaitingStreamIsNotCountedAsRejected(t *testing.T) {
	r := newHarness(t)
	clock := testclock.NewClock(time.Now())
	r.entry.cfg.Clock = clock
	r.plan()
	var n atomic.Int64
	r.server("a", func(w http.ResponseWriter, req *http.Request) {
		switch n.Add(1) {
		case 1:
			event(w, 1)
			hangUp(w)
		case 2:
			holdOff(time.Second)(w, req)
		default:
			event(w, 2)
		}
	})
	_, ended := r.startStream(clock)
	f, start := r.entry.forwarder, clock.Now()
	waitFor(t, "a part of the hold-off", func() bool {
		if n.Load() == 2 {
			clock.Advance(20 * time.Millisecond)
		}
		return clock.Now().Sub(start) >= 800*time.Millisecond
	})
	f.mu.Lock()
	rejected := f.turnedAway["s"]
	f.mu.Unlock()
	if rejected != 0 {
		t.Errorf("%d looks count as rejections", rejected)
	}
	waitFor(t, "the end", func() bool { clock.Advance(20 * time.Millisecond); return len(ended) > 0 })
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}
