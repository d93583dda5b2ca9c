package entry

import (
	"context"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/juju/clock"
	"github.com/juju/errors"

	"rosereach/core/drain"
	"rosereach/core/forward"
	"rosereach/core/placement"
	"rosereach/core/route"
	"rosereach/internal/httpd"
)

// A stop refuses a request at the moment of sending for its server's figures, which the choice of
// the next attempt does not ask: the entry chooses the same server again and again.
func TestRequestTooLongAtItsServerIsRefusedAtOnceAtTheStop(t *testing.T) {
	s := newStoppingEntry(t)
	s.counting("a", func(w http.ResponseWriter, _ *http.Request) { event(w, 1) })
	f := s.entry.forwarder
	req := forward.Request{Path: "/streaming/x", Key: "k", OutputTokens: 100}
	x, failure := s.entry.accept(forward.Request{Path: req.Path, Host: "h", Key: "k", AnyModel: true, OutputTokens: 100, Arrived: time.Now()}, &recordingSink{})
	if failure != nil {
		t.Fatal(failure)
	}
	for range 10 {
		f.paces.Observe(x.paceGroup(), 10*time.Millisecond)
		f.durations.Observe(string(route.Streaming), time.Second)
	}
	for range 40 {
		f.latencyModel.Observe(time.Now(), "m", "a", placement.Estimate{Own: 100 * time.Millisecond}, 500*time.Millisecond)
	}
	s.among(3)
	s.entry.stopping.begin(stopIn(time.Hour, 3*time.Second))
	began := time.Now()
	_, err := s.sendWith(t.Context(), req)
	took := time.Since(began)
	n := withheldCount(t, f, withheldDraining)
	if codeOf(err) != forward.Draining || s.runs.Load() != 0 {
		t.Errorf("%v, %d runs", err, s.runs.Load())
	}
	if n > 3 || took > 200*time.Millisecond {
		t.Errorf("placed %v times in %s before it was refused", n, took)
	}
}

// A stream whose server breaks off just after the signal is cut at once, with seconds left, if its
// entry knows nothing of its route, or if it has taken longer than others of it.
func TestBrokenStreamGoesOnWhileMuchOfAStopIsLeft(t *testing.T) {
	for name, takes := range map[string]time.Duration{"unknown": 0, "longer than others": 20 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			s := newStoppingEntry(t)
			s.planWithObjective(400 * time.Millisecond)
			if takes > 0 {
				s.takes(takes)
			}
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
			got, ended := &recordingSink{}, make(chan error, 1)
			go func() {
				var err error
				got, err = s.sendWith(context.Background(), forward.Request{Path: "/streaming/x", Key: "k"})
				ended <- err
			}()
			<-began
			time.Sleep(2 * takes)
			// The deadline of 5 s is after the end of requests without an answer.
			schedule := s.entry.stopping.begin(stopIn(3*time.Second, 4*time.Second))
			close(goOn)
			err := <-ended
			if err != nil || got.text() != "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n" {
				t.Errorf("%s before the exit: %q, %v, %d runs", time.Until(schedule.Exits()), got.text(), err, s.runs.Load())
			}
		})
	}
}

// A safe request whose server breaks off just after the signal gets 502, though others could
// answer it in seconds, if its entry knows nothing of its route.
func TestBrokenSafeRequestIsRepeatedWhileMuchOfAStopIsLeft(t *testing.T) {
	s := newStoppingEntry(t)
	s.among(3)
	began, goOn := make(chan struct{}, 2), make(chan struct{})
	for _, id := range []string{"a", "b"} {
		s.counting(id, func(w http.ResponseWriter, r *http.Request) {
			if s.runs.Load() == 1 {
				began <- struct{}{}
				<-goOn
				hangUp(w)
			}
			succeed(w, r)
		})
	}
	ended := s.start(route.Safe)
	<-began
	schedule := s.entry.stopping.begin(stopIn(3*time.Second, 4*time.Second))
	close(goOn)
	if err := <-ended; err != nil {
		t.Errorf("%s before the exit: %v, %d runs", time.Until(schedule.Exits()), err, s.runs.Load())
	}
}

// lateTimers is a clock whose functions are called late.
type lateTimers struct{ clock.Clock }

func (lateTimers) AfterFunc(d time.Duration, f func()) clock.Timer {
	return clock.WallClock.AfterFunc(d+time.Minute, f)
}

// The server ends a request at the exit with a cause of its own. If that comes first, the entry
// takes its caller for gone, who gets no answer.
func TestRequestThatTheServerEndsFirstIsAnswered(t *testing.T) {
	for _, kind := range stopKinds {
		s := newStoppingEntry(t)
		s.entry.cfg.Clock = lateTimers{clock.WallClock}
		arrived, leave := make(chan struct{}), make(chan struct{})
		defer close(leave)
		s.counting("a", func(http.ResponseWriter, *http.Request) {
			close(arrived)
			<-leave
		})
		ctx, cancel := context.WithCancelCause(t.Context())
		ended := make(chan error, 1)
		go func() {
			_, err := s.sendWith(ctx, forward.Request{Path: "/" + string(kind) + "/x", Key: "k"})
			ended <- err
		}()
		<-arrived
		s.entry.stopping.begin(drain.Settings{Grace: time.Millisecond}.Begin(time.Now()))
		time.Sleep(2 * time.Millisecond)
		cancel(httpd.ErrStopped)
		if err := <-ended; codeOf(err) != forward.AnswerLost && codeOf(err) != forward.TimedOut {
			t.Errorf("%s: %v, %s", kind, err, errors.Details(err))
		}
	}
}

// Two entries that stop at the same time take each other for one that could take their requests.
func TestEntriesThatStopTogetherAreAlone(t *testing.T) {
	c := newCutFleet(t, 1, succeed)
	one, two := c.startForwardingEntry("forwarding-1"), c.startForwardingEntry("forwarding-2")
	waitFor(t, "both", func() bool {
		return one.forwarder.watcher.liveEntryCount() == 2 && two.forwarder.watcher.liveEntryCount() == 2
	})
	for _, e := range []*Entry{one, two} {
		go e.StopListing(t.Context(), stopIn(10*time.Second, 60*time.Second))
	}
	waitFor(t, "both stop", func() bool { return one.IsDraining() && two.IsDraining() })
	end := time.Now().Add(time.Second)
	for time.Now().Before(end) {
		if one.isAlone() && two.isAlone() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Errorf("a second after both have left the lists: alone %v and %v", one.isAlone(), two.isAlone())
}

// withheldCount returns how many attempts were placed and not sent for the reason.
func withheldCount(t *testing.T, f *forwarder, why string) float64 {
	families, err := f.metrics.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		if family.GetName() != "rosereach_withheld_attempts_total" {
			continue
		}
		for _, m := range family.GetMetric() {
			if m.GetLabel()[0].GetValue() == why {
				return m.GetCounter().GetValue()
			}
		}
	}
	return 0
}

// Where the stopping entry is the only one through which another reaches a service, that one goes on
// to send new requests over the connection that it has kept, until the exit cuts them.
func TestKeptDetourThroughTheOnlyRelayIsNotUsedAgain(t *testing.T) {
	c := newCutFleet(t, 1, succeed)
	cut, relay := c.startForwardingEntry("forwarding-1"), c.startForwardingEntry("forwarding-2")
	waitFor(t, "a relay", func() bool { return cut.forwarder.detours.relayCount() == 1 })
	c.cut(cut, refusingAddress(t))
	send := func() error {
		return cut.Forward(context.Background(), forward.Request{
			ID: "request", Method: http.MethodGet, Host: "h", Path: "/safe/x", Target: "/safe/x", Key: "k", Arrived: time.Now(),
		}, &recordingSink{})
	}
	if err := send(); err != nil {
		t.Fatal(err)
	}
	go relay.StopListing(t.Context(), stopIn(time.Second, 10*time.Second))
	waitFor(t, "the close", relay.isClosed)
	time.Sleep(time.Second) // some lists of relays
	before := c.runs.Load()
	if err := send(); err == nil || c.runs.Load() != before {
		t.Errorf("%s after the close a request passes through the entry: %v", time.Since(relay.stopping.current().Closes()).Round(time.Millisecond), err)
	}
}

// Requests leave nothing behind at the contexts of a stop that has not come.
func TestRequestsLeaveNothingAtTheStop(t *testing.T) {
	s := newStoppingEntry(t)
	s.counting("a", succeed)
	for range 5 {
		if _, err := s.send(route.Safe); err != nil {
			t.Fatal(err)
		}
	}
	before := runtime.NumGoroutine()
	for range 300 {
		if _, err := s.send(route.Safe); err != nil {
			t.Fatal(err)
		}
	}
	if n := runtime.NumGoroutine() - before; n > 10 {
		t.Errorf("%d more goroutines after 300 requests", n)
	}
}
