package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/clock"
	"github.com/juju/clock/testclock"
	"github.com/juju/errors"

	"rosereach/core/drain"
	"rosereach/core/forward"
	"rosereach/core/limit"
	"rosereach/core/reach"
	"rosereach/core/route"
)

// stoppingEntry is an entry whose planned stop the test makes.
type stoppingEntry struct {
	*harness

	runs atomic.Int64 // of requests at servers
}

func newStoppingEntry(t *testing.T) *stoppingEntry {
	s := &stoppingEntry{harness: newHarness(t)}
	s.plan()
	return s
}

func (s *stoppingEntry) counting(id string, h http.HandlerFunc) {
	s.server(id, func(w http.ResponseWriter, r *http.Request) {
		s.runs.Add(1)
		h(w, r)
	})
}

// stopIn returns the schedule of a stop that begins now and exits after the given time.
// ListLife is how long callers use old lists.
func stopIn(listLife, left time.Duration) drain.Schedule {
	const maxExitMargin = 700 * time.Millisecond
	return drain.Settings{Grace: left + min(left/7, maxExitMargin), ListLife: listLife}.Begin(time.Now())
}

// close closes the entry, which has the given time until it exits.
func (s *stoppingEntry) close(left time.Duration) {
	s.entry.StopListing(context.Background(), stopIn(time.Millisecond, left))
}

// start sends a request and returns its error when it has ended.
func (s *stoppingEntry) start(kind route.Kind) chan error {
	ended := make(chan error, 1)
	go func() {
		_, err := s.send(kind)
		ended <- err
	}()
	return ended
}

// expectRefused expects that a request ends soon, refused as not run as the entry stops.
func (s *stoppingEntry) expectRefused(ended chan error) {
	s.t.Helper()
	select {
	case err := <-ended:
		if codeOf(err) != forward.Draining {
			s.t.Errorf("%v, want a refusal as the entry stops", err)
		}
	case <-time.After(2 * time.Second):
		s.t.Error("the request still waits")
	}
}

var stopKinds = []route.Kind{route.Safe, route.Unsafe, route.Streaming}

// In the planned stop of another system's instance, requests that came late were passed on and
// then cut without an answer as the process exited, among them ones that may run once. Here
// a request that has not run when the entry closes is refused at once, wherever it waits.
func TestWaitingRequestsAreRefusedAtTheStop(t *testing.T) {
	for _, kind := range stopKinds {
		t.Run("arrives later/"+string(kind), func(t *testing.T) {
			s := newStoppingEntry(t)
			s.counting("a", succeed)
			s.close(time.Minute)
			s.expectRefused(s.start(kind))
			if n := s.runs.Load(); n != 0 {
				t.Errorf("%d runs", n)
			}
		})
		t.Run("waits in the queue/"+string(kind), func(t *testing.T) {
			s := newStoppingEntry(t)
			s.entry.plainAdmission, s.entry.engineAdmission = newAdmission(limit.NewFIFO(1, 10)), newAdmission(limit.NewFIFO(1, 10))
			release := make(chan struct{})
			s.counting("a", func(w http.ResponseWriter, r *http.Request) {
				<-release
				event(w, 1)
			})
			first := s.start(kind)
			waitFor(t, "the first run", func() bool { return s.runs.Load() == 1 })
			second := s.start(kind)
			waitFor(t, "the second request in the queue", func() bool {
				return s.entry.plainAdmission.waitingCount()+s.entry.engineAdmission.waitingCount() == 1
			})
			s.close(time.Minute)
			s.expectRefused(second)
			close(release)
			if err := <-first; err != nil || s.runs.Load() != 1 {
				t.Errorf("the running request: %v; %d runs", err, s.runs.Load())
			}
		})
		t.Run("waits for the first server/"+string(kind), func(t *testing.T) {
			s := newStoppingEntry(t)
			ended := s.start(kind)
			time.Sleep(20 * time.Millisecond)
			s.close(time.Minute)
			s.expectRefused(ended)
		})
		t.Run("connects/"+string(kind), func(t *testing.T) {
			s := newStoppingEntry(t)
			s.counting("a", succeed)
			dialing, goOn := make(chan struct{}, 8), make(chan struct{})
			s.entry.forwarder.client.DialContext = func(ctx context.Context, address string, _ func(string) bool) (net.Conn, error) {
				dialing <- struct{}{}
				<-goOn
				return (&net.Dialer{}).DialContext(ctx, "tcp", address)
			}
			ended := s.start(kind)
			<-dialing
			s.close(time.Minute)
			close(goOn)
			s.expectRefused(ended)
			if n := s.runs.Load(); n != 0 {
				t.Errorf("%d runs", n)
			}
		})
		t.Run("is refused by a server/"+string(kind), func(t *testing.T) {
			s := newStoppingEntry(t)
			began, goOn := make(chan struct{}, 8), make(chan struct{})
			for _, id := range []string{"a", "b"} {
				s.counting(id, func(w http.ResponseWriter, r *http.Request) {
					began <- struct{}{}
					<-goOn
					w.Header().Set("Refused", "1")
					w.WriteHeader(http.StatusServiceUnavailable)
				})
			}
			ended := s.start(kind)
			<-began
			s.close(time.Minute)
			close(goOn)
			s.expectRefused(ended)
			if n := s.runs.Load(); n != 1 {
				t.Errorf("%d servers got the request", n)
			}
		})
	}
}

// A request that connected to a server that does not accept was refused only when that had
// failed, up to the exit.
func TestConnectingRequestIsRefusedAtTheClose(t *testing.T) {
	for _, kind := range stopKinds {
		s := newStoppingEntry(t)
		s.counting("a", succeed)
		dialing := make(chan struct{}, 8)
		s.entry.forwarder.client.DialContext = func(ctx context.Context, _ string, _ func(string) bool) (net.Conn, error) {
			dialing <- struct{}{}
			<-ctx.Done()
			return nil, ctx.Err()
		}
		ended := s.start(kind)
		<-dialing
		s.close(time.Minute)
		s.expectRefused(ended)
	}
}

// lateClock is a clock whose timers do not fire in time.
type lateClock struct{ clock.Clock }

func (lateClock) After(time.Duration) <-chan time.Time { return nil }

// On a busy instance the timer that closes the entry fired late, and the entry passed on requests
// meanwhile that nobody excuses.
func TestLateTimerDoesNotKeepTheEntryOpen(t *testing.T) {
	for _, kind := range stopKinds {
		s := newStoppingEntry(t)
		s.counting("a", func(w http.ResponseWriter, _ *http.Request) { event(w, 1) })
		s.entry.cfg.Clock = lateClock{clock.WallClock}
		schedule := stopIn(20*time.Millisecond, time.Minute)
		go s.entry.StopListing(t.Context(), schedule)
		waitFor(t, "the time of the close", func() bool { return time.Now().After(schedule.Closes()) && s.entry.IsDraining() })
		if _, err := s.send(kind); codeOf(err) != forward.Draining || s.runs.Load() != 0 {
			t.Errorf("%s: %v, %d runs", kind, err, s.runs.Load())
		}
	}
}

// A request that can't end before the process exits is refused, not passed on and cut, also
// while the entry is still listed. One that can is served.
func TestRequestsThatEndAfterTheExitAreRefused(t *testing.T) {
	for _, kind := range stopKinds {
		for _, c := range []struct {
			left, takes time.Duration
			want        forward.Code
		}{{10 * time.Second, time.Second, ""}, {time.Second, 2 * time.Second, forward.Draining}} {
			s := newStoppingEntry(t)
			s.counting("a", func(w http.ResponseWriter, _ *http.Request) { event(w, 1) })
			for range 50 {
				s.entry.forwarder.durations.Observe(string(kind), c.takes)
			}
			ctx, cancel := context.WithCancel(t.Context())
			listed := make(chan struct{})
			go func() {
				defer close(listed)
				s.entry.StopListing(ctx, stopIn(time.Hour, c.left))
			}()
			waitFor(t, "the stop", s.entry.IsDraining)
			if _, err := s.send(kind); codeOf(err) != c.want || s.runs.Load() != map[forward.Code]int64{"": 1}[c.want] {
				t.Errorf("%s, %s left for %s: %v, %d runs", kind, c.left, c.takes, err, s.runs.Load())
			}
			cancel()
			<-listed
		}
	}
}

// A safe request whose first server failed is sent again after the close if it can end
// before the exit, and ends with the failure otherwise: it may have run.
func TestRetriesAfterTheCloseEndBeforeTheExit(t *testing.T) {
	for _, c := range []struct {
		left time.Duration
		runs int64
	}{{10 * time.Second, 2}, {500 * time.Millisecond, 1}} {
		s := newStoppingEntry(t)
		began, goOn := make(chan struct{}, 8), make(chan struct{})
		for _, id := range []string{"a", "b"} {
			s.counting(id, func(w http.ResponseWriter, _ *http.Request) {
				if s.runs.Load() == 1 {
					began <- struct{}{}
					<-goOn
					hangUp(w)
				}
				io.WriteString(w, "done")
			})
		}
		for range 50 {
			s.entry.forwarder.durations.Observe(string(route.Safe), time.Second)
		}
		ended := s.start(route.Safe)
		<-began
		s.close(c.left)
		close(goOn)
		if err := <-ended; s.runs.Load() != c.runs || (err == nil) != (c.runs == 2) || err != nil && codeOf(err) != forward.AnswerLost {
			t.Errorf("%s left: %d runs, %v", c.left, s.runs.Load(), err)
		}
	}
}

// among sets how many entries the entry knows of, itself included.
func (s *stoppingEntry) among(entries int) {
	w := s.entry.forwarder.watcher
	w.mu.Lock()
	defer w.mu.Unlock()
	w.liveEntries = entries
}

// stoppingAmong returns an entry that begins its stop, beside other entries, and exits after the
// given time. It has not closed yet. The test's end ends the stop.
func stoppingAmong(t *testing.T, entries int, left time.Duration) *stoppingEntry {
	s := newStoppingEntry(t)
	s.among(entries)
	ctx, cancel := context.WithCancel(t.Context())
	listed := make(chan struct{})
	go func() {
		defer close(listed)
		s.entry.StopListing(ctx, stopIn(time.Hour, left))
	}()
	t.Cleanup(func() { cancel(); <-listed })
	waitFor(t, "the stop", s.entry.IsDraining)
	return s
}

// Requests of which nothing was known were passed on during a stop, and cut at its exit. Beside
// other entries they are refused at once; alone, only what is known not to end is. A request whose
// deadline ends it in time is known.
func TestRequestsOfUnknownDurationAreRefusedAtTheStop(t *testing.T) {
	const left = 3 * time.Second // the routes' timeout is longer
	for _, c := range []struct {
		name     string
		entries  int
		history  time.Duration
		deadline time.Duration
		want     forward.Code
	}{
		{"unknown", 3, 0, 0, forward.Draining},
		{"unknown, with a deadline", 3, 0, time.Second, ""},
		{"unknown, with a late deadline", 3, 0, 4 * time.Second, forward.Draining},
		{"short", 3, 500 * time.Millisecond, 0, ""},
		{"unknown, alone", 1, 0, 0, ""},
		{"long, alone", 1, 4 * time.Second, 0, forward.Draining},
	} {
		for _, kind := range stopKinds {
			t.Run(c.name+"/"+string(kind), func(t *testing.T) {
				s := stoppingAmong(t, c.entries, left)
				s.counting("a", func(w http.ResponseWriter, _ *http.Request) { event(w, 1) })
				for range 50 {
					if c.history > 0 {
						s.entry.forwarder.durations.Observe(string(kind), c.history)
					}
				}
				req := forward.Request{Path: "/" + string(kind) + "/x", Key: "k"}
				if c.deadline > 0 {
					req.Deadline = time.Now().Add(c.deadline)
				}
				_, headFailure := s.entry.CheckHead(t.Context(), forward.Request{Host: "h", Path: req.Path, Key: "k", Arrived: time.Now(), Deadline: req.Deadline})
				if (headFailure != nil) != (c.want != "") {
					t.Errorf("the head: %v", headFailure)
				}
				_, err := s.sendWith(t.Context(), req)
				if codeOf(err) != c.want || s.runs.Load() != map[forward.Code]int64{"": 1}[c.want] {
					t.Fatalf("%v, %d runs", err, s.runs.Load())
				}
				if f, ok := asFailure(err); ok {
					if c.entries > 1 && f.RetryAfter != drainingRetryAfter || c.entries == 1 && f.RetryAfter < left/3 {
						t.Errorf("Retry-After of %s beside %d entries", f.RetryAfter, c.entries)
					}
				}
			})
		}
	}
}

// A stream of many tokens was passed on during a stop as most streams of its route were short.
func TestStreamTooLongByItsTokensIsRefusedAtTheStop(t *testing.T) {
	for tokens, want := range map[int64]forward.Code{10: "", 1000: forward.Draining} {
		s := newStoppingEntry(t)
		s.counting("a", func(w http.ResponseWriter, _ *http.Request) {
			for id := range uint64(10) {
				event(w, id+1)
				http.NewResponseController(w).Flush()
				time.Sleep(4 * time.Millisecond)
			}
		})
		stream := func(tokens int64) error {
			_, err := s.sendWith(t.Context(), forward.Request{Path: "/streaming/x", Key: "k", OutputTokens: tokens})
			return err
		}
		for range 10 {
			if err := stream(10); err != nil {
				t.Fatal(err)
			}
		}
		before := s.runs.Load()
		s.among(3)
		s.entry.stopping.begin(stopIn(time.Hour, 3*time.Second))
		err := stream(tokens)
		if codeOf(err) != want || s.runs.Load()-before != map[forward.Code]int64{"": 1}[want] {
			t.Errorf("%d tokens: %v, %d runs", tokens, err, s.runs.Load()-before)
		}
	}
}

// takes lets the entry know that streams take so long.
func (s *stoppingEntry) takes(d time.Duration) {
	for range 50 {
		s.entry.forwarder.durations.Observe(string(route.Streaming), d)
	}
}

// A stream that broke off during a stop was resumed though it could not end before the exit, and
// was cut there. Its caller goes on elsewhere at once instead.
func TestBrokenStreamIsResumedOnlyIfItEndsBeforeTheExit(t *testing.T) {
	for _, c := range []struct {
		takes time.Duration
		runs  int64
	}{{300 * time.Millisecond, 2}, {4 * time.Second, 1}} {
		s := newStoppingEntry(t)
		s.takes(c.takes)
		s.among(3)
		began, goOn := make(chan struct{}), make(chan struct{})
		for _, id := range []string{"a", "b"} {
			s.counting(id, func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("After") != "0" {
					event(w, 2)
					return
				}
				event(w, 1)
				http.NewResponseController(w).Flush()
				close(began)
				<-goOn
				hangUp(w)
			})
		}
		var got *recordingSink
		ended := make(chan error, 1)
		go func() {
			var err error
			got, err = s.send(route.Streaming)
			ended <- err
		}()
		<-began
		schedule := s.entry.stopping.begin(stopIn(time.Millisecond, 3*time.Second))
		close(goOn)
		err := <-ended
		if left := time.Until(schedule.Exits()); left < time.Second {
			t.Errorf("ends %s before the exit", left)
		}
		if s.runs.Load() != c.runs || (err == nil) != (c.runs == 2) || err == nil && got.text() != "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n" {
			t.Errorf("streams of %s: %q, %v, %d runs", c.takes, got.text(), err, s.runs.Load())
		}
	}
}

// A silent attempt was replaced during a stop by one that could not end before the exit. A
// server's silence is no reason to end an answer sooner: the entry waits, unless the answer has
// begun, which would be cut.
func TestSilentAttemptIsReplacedBeforeTheExitOnlyIfBegun(t *testing.T) {
	for _, begun := range []bool{false, true} {
		s := newStoppingEntry(t)
		c := testclock.NewClock(time.Now())
		s.entry.cfg.Clock = c
		s.planWithObjective(500 * time.Millisecond)
		s.takes(10 * time.Second)
		s.among(3)
		began, goOn := make(chan struct{}), make(chan struct{})
		for _, id := range []string{"a", "b"} {
			s.counting(id, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/status" {
					s.runs.Add(-1)
					io.WriteString(w, "1 0 other")
					return
				}
				if s.runs.Load() > 1 {
					event(w, 2)
					return
				}
				if begun {
					event(w, 1)
					http.NewResponseController(w).Flush()
				}
				close(began)
				<-goOn
				if !begun {
					event(w, 1)
				}
				event(w, 2)
			})
		}
		got, ended := s.startStream(c)
		<-began
		if begun {
			waitFor(t, "the first event", func() bool { return got.text() != "" })
		}
		s.entry.stopping.begin(drain.Settings{Grace: 5 * time.Second, ListLife: time.Millisecond}.Begin(c.Now()))
		// Each check has been made when its timer is set again; an attempt that was replaced has none.
		for _, d := range []time.Duration{700 * time.Millisecond, 700 * time.Millisecond, 700 * time.Millisecond, 0} {
			if err := c.WaitAdvance(d, 2*time.Second, 1); err != nil {
				if !begun {
					t.Error(err)
				}
				break
			}
		}
		close(goOn)
		runs := int64(1)
		if begun {
			runs++
		}
		if err := <-ended; err != nil || s.runs.Load() != runs || got.text() != "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n" {
			t.Errorf("begun %v: %q, %v, %d runs", begun, got.text(), err, s.runs.Load())
		}
	}
}

// An answer at hand was dropped during a stop for a larger model's that could not end before the
// exit.
func TestAnswerAtHandIsDeliveredRatherThanEscalatedAtTheStop(t *testing.T) {
	for _, c := range []struct {
		takes time.Duration
		want  string
	}{{100 * time.Millisecond, "id: 1\ndata: large\n\n"}, {4 * time.Second, "id: 1\ndata: small\n\n"}} {
		s := newStoppingEntry(t)
		s.takes(c.takes)
		s.among(3)
		began, goOn := make(chan struct{}, 2), make(chan struct{})
		s.counting("a", func(w http.ResponseWriter, r *http.Request) {
			began <- struct{}{}
			<-goOn
			w.Header().Set("Sure", map[string]string{"small": "10", "large": "90"}[r.Header.Get("Model")])
			io.WriteString(w, "id: 1\ndata: "+r.Header.Get("Model")+"\n\n")
		})
		var got *recordingSink
		ended := make(chan error, 1)
		go func() {
			var err error
			got, err = s.send(route.Streaming)
			ended <- err
		}()
		<-began
		s.entry.stopping.begin(stopIn(time.Millisecond, 3*time.Second))
		close(goOn)
		if err := <-ended; err != nil || got.text() != c.want {
			t.Errorf("streams of %s: %q, %v", c.takes, got.text(), err)
		}
	}
}

// stopByClock begins a stop of 4 s by the clock, and waits until its timers are set.
func (s *stoppingEntry) stopByClock(c *testclock.Clock) drain.Schedule {
	schedule := drain.Settings{Grace: 4 * time.Second, ListLife: time.Millisecond}.Begin(c.Now())
	listed := make(chan struct{})
	ctx, cancel := context.WithCancel(s.t.Context())
	go func() {
		defer close(listed)
		s.entry.StopListing(ctx, schedule)
	}()
	s.t.Cleanup(func() { cancel(); <-listed })
	waitFor(s.t, "the stop", s.entry.IsDraining)
	return schedule
}

// In the same state, at a server and without an answer, some requests got 502 at the exit and
// others were cut. Each gets an answer before the exit: 503 only if it has not run.
func TestRequestsWithoutAnAnswerGetOneBeforeTheExit(t *testing.T) {
	for _, kind := range stopKinds {
		for state, want := range map[string]forward.Code{"at a server": forward.AnswerLost, "connecting": forward.Draining} {
			s := newStoppingEntry(t)
			c := testclock.NewClock(time.Now())
			s.entry.cfg.Clock = c
			s.withAttempts(1)
			reached := make(chan struct{}, 1)
			s.counting("a", func(_ http.ResponseWriter, r *http.Request) {
				reached <- struct{}{}
				<-r.Context().Done()
			})
			if state == "connecting" {
				s.entry.forwarder.client.DialContext = func(ctx context.Context, _ string, _ func(string) bool) (net.Conn, error) {
					reached <- struct{}{}
					<-ctx.Done()
					return nil, ctx.Err()
				}
			}
			ended := s.start(kind)
			<-reached
			schedule := s.stopByClock(c)
			c.Advance(schedule.Ends().Sub(c.Now()))
			select {
			case err := <-ended:
				if codeOf(err) != want {
					t.Errorf("%s, %s: %v, want %s", kind, state, err, want)
				}
			case <-time.After(2 * time.Second):
				t.Errorf("%s, %s: no answer before the exit", kind, state)
			}
		}
	}
}

// An answer that has begun goes on until the exit, and is cut there.
func TestBegunAnswerIsCutAtTheExitOnly(t *testing.T) {
	s := newStoppingEntry(t)
	c := testclock.NewClock(time.Now())
	s.entry.cfg.Clock = c
	s.withAttempts(1)
	goOn := make(chan struct{})
	s.counting("a", func(w http.ResponseWriter, r *http.Request) {
		event(w, 1)
		http.NewResponseController(w).Flush()
		<-goOn
		event(w, 2)
		http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	got, ended := s.startStream(c)
	waitFor(t, "the first event", func() bool { return got.text() != "" })
	schedule := s.stopByClock(c)
	c.Advance(schedule.Ends().Sub(c.Now()))
	waitFor(t, "the end of requests without an answer", func() bool { return s.entry.stopping.ending.Err() != nil })
	close(goOn)
	waitFor(t, "the second event", func() bool { return got.text() == "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n" })
	select {
	case err := <-ended:
		t.Fatalf("ends before the exit: %v", err)
	default:
	}
	c.Advance(schedule.Exits().Sub(c.Now()))
	select {
	case err := <-ended:
		if !errors.Is(err, errIncomplete) {
			t.Errorf("%v, want a cut answer", err)
		}
	case <-time.After(2 * time.Second):
		t.Error("not cut at the exit")
	}
}

// The first event of a stream and the end of requests without an answer exclude each other.
func TestGateIsPassedOrShut(t *testing.T) {
	for range 1000 {
		var g gate
		var passed, shut bool
		var both sync.WaitGroup
		both.Go(func() { passed = g.pass() })
		both.Go(func() { shut = g.shut() })
		both.Wait()
		if passed == shut || g.pass() != passed || g.shut() != shut {
			t.Fatalf("passed %v, shut %v", passed, shut)
		}
	}
}

// A request of an entry that is cut off was passed on through one that stopped, and cut at that
// one's exit, which excuses nothing. A stopping entry opens no detour.
func TestNoDetourThroughStoppingEntry(t *testing.T) {
	c := newCutFleet(t, 1, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "done") })
	cutOff, relay := c.startForwardingEntry("forwarding-1"), c.startForwardingEntry("forwarding-2")
	waitFor(t, "a relay", func() bool { return cutOff.forwarder.detours.relayCount() > 0 })
	c.cut(cutOff, refusingAddress(t))
	send := func() error {
		return cutOff.Forward(t.Context(), forward.Request{ID: "request", Method: http.MethodGet, Host: "h", Path: "/safe/x", Target: "/safe/x", Key: "k", Arrived: time.Now()}, &recordingSink{})
	}
	if err := send(); err != nil || c.runs.Load() != 1 {
		t.Fatalf("before the stop: %v, %d runs", err, c.runs.Load())
	}
	go relay.StopListing(t.Context(), stopIn(time.Hour, time.Minute))
	waitFor(t, "the stop", relay.IsDraining)
	cutOff.forwarder.client.CloseIdle(func(string) bool { return false })
	if err := send(); codeOf(err) != forward.NoServer || c.runs.Load() != 1 {
		t.Errorf("%v, %d runs", err, c.runs.Load())
	}
}

// A connection through an entry that stopped was used for further requests. It is not once the
// controls name that entry as a relay no more.
func TestConnectionThroughStoppingEntryIsStale(t *testing.T) {
	s := newStoppingEntry(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	d, now := s.entry.forwarder.detours, time.Now()
	d.mu.Lock()
	d.link("s").Judge(now, now)
	d.mu.Unlock()
	d.setRelays(now, []reach.Relay{{ID: "a"}, {ID: "b"}}, nil)
	through, ok := d.detoured("s", "a", "", conn).(*detouredConn)
	if !ok || through.IsStale() {
		t.Fatalf("%v is stale", through)
	}
	d.setRelays(now, []reach.Relay{{ID: "b"}}, nil)
	if !through.IsStale() {
		t.Error("it is used again")
	}
}

// Streams of a route whose long ones had not ended yet were passed on during a stop: the short
// ones that had ended told too little.
func TestRunningStreamsTellOfLongOnesAtTheStop(t *testing.T) {
	for _, running := range []int{0, 20} {
		s := newStoppingEntry(t)
		s.among(3)
		c := testclock.NewClock(time.Now())
		s.entry.cfg.Clock = c
		s.withAttempts(1)
		s.takes(100 * time.Millisecond)
		s.counting("a", func(w http.ResponseWriter, r *http.Request) {
			event(w, 1)
			http.NewResponseController(w).Flush()
			if s.runs.Load() <= int64(running) {
				<-r.Context().Done()
			}
		})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		send := func() error {
			return s.entry.Forward(ctx, forward.Request{ID: "id-1", Method: "POST", Host: "h", Path: "/streaming/x", Target: "/streaming/x", Key: "k", Model: "*", Arrived: c.Now()}, &recordingSink{})
		}
		var ended sync.WaitGroup
		defer ended.Wait()
		defer cancel()
		for range running {
			ended.Go(func() { send() })
		}
		waitFor(t, "the streams", func() bool { return s.runs.Load() == int64(running) })
		c.Advance(3 * time.Second)
		s.stopByClock(c)
		want := map[int]forward.Code{20: forward.Draining}[running]
		if err := send(); codeOf(err) != want {
			t.Errorf("beside %d long streams: %v, want %q", running, err, want)
		}
	}
}

// A stream that its server had made whole was cut during a stop where only the end of the
// connection marked its own, or where bytes of no event followed: the proof that nothing follows takes no
// longer than a first byte.
func TestEndOfWholeStreamIsProvedDuringTheStop(t *testing.T) {
	for name, behind := range map[string]string{"nothing": "", "wrong bytes": "\x00\xf1 wrong bytes"} {
		s := newStoppingEntry(t)
		s.takes(4 * time.Second)
		s.among(3)
		began, goOn := make(chan struct{}), make(chan struct{})
		runs := s.serveInTurn(func(conn net.Conn) {
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: id-1\r\nConnection: close\r\n\r\nid: 1\ndata: 1\n\n")
			close(began)
			<-goOn
			io.WriteString(conn, behind)
		}, emptyAnswer)
		got := &recordingSink{}
		ended := make(chan error, 1)
		go func() {
			ended <- s.entry.Forward(t.Context(), forward.Request{ID: "id-1", Method: "POST", Host: "h", Path: "/streaming/x", Target: "/streaming/x", Key: "k", Arrived: time.Now()}, got)
		}()
		<-began
		s.entry.stopping.begin(stopIn(time.Millisecond, 3*time.Second))
		close(goOn)
		if err := <-ended; err != nil || got.text() != "id: 1\ndata: 1\n\n" || runs.Load() != 3 {
			t.Errorf("%s: %q after %d runs, %v", name, got.text(), runs.Load(), err)
		}
	}
}

// A request that waited in the queue at the signal and was not known to end in time was refused
// only at the close.
func TestQueuedRequestOfUnknownDurationIsRefusedAtTheSignal(t *testing.T) {
	for _, kind := range stopKinds {
		s := newStoppingEntry(t)
		s.among(3)
		s.withRoutes(func(one *route.Route) { one.Timeout = time.Minute })
		s.entry.plainAdmission, s.entry.engineAdmission = newAdmission(limit.NewFIFO(1, 10)), newAdmission(limit.NewFIFO(1, 10))
		release := make(chan struct{})
		s.counting("a", func(w http.ResponseWriter, _ *http.Request) {
			<-release
			event(w, 1)
		})
		first := s.start(kind)
		waitFor(t, "the first run", func() bool { return s.runs.Load() == 1 })
		second := s.start(kind)
		waitFor(t, "the second request in the queue", func() bool {
			return s.entry.plainAdmission.waitingCount()+s.entry.engineAdmission.waitingCount() == 1
		})
		ctx, cancel := context.WithCancel(t.Context())
		listed := make(chan struct{})
		go func() {
			defer close(listed)
			s.entry.StopListing(ctx, stopIn(time.Hour, 20*time.Second))
		}()
		s.expectRefused(second)
		close(release)
		if err := <-first; err != nil || s.runs.Load() != 1 {
			t.Errorf("the running request: %v; %d runs", err, s.runs.Load())
		}
		cancel()
		<-listed
	}
}
