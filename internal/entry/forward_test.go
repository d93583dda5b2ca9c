package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/juju/clock"
	"github.com/juju/clock/testclock"
	"github.com/juju/errors"

	"rosereach/core/backend"
	"rosereach/core/catalog"
	"rosereach/core/forward"
	"rosereach/core/framing"
	"rosereach/core/key"
	"rosereach/core/lease"
	"rosereach/core/limit"
	"rosereach/core/pacing"
	"rosereach/core/retry"
	"rosereach/core/roster"
	"rosereach/core/route"
)

type (
	// testDialect is a minimal Dialect.
	testDialect struct{}

	// recordingSink is a forward.Sink that records the answer.
	recordingSink struct {
		mu     sync.Mutex
		status int
		body   strings.Builder
	}

	// harness is a forwarding entry with backend servers on loopback.
	harness struct {
		t     *testing.T
		entry *Entry
	}
)

func (testDialect) Attempt(r forward.Request, a forward.Attempt) map[string][]string {
	return map[string][]string{"Id": {r.ID}, "Model": {a.Model}, "After": {strconv.FormatUint(a.LastEventID, 10)}, "Workspace": {a.Workspace}}
}

func (testDialect) Head(status int, header map[string][]string) forward.Head {
	h := http.Header(header)
	head := forward.Head{Status: status, RequestID: h.Get("Id"), Refused: h.Get("Refused") != "", Stamped: h.Get("Unstamped") == "", Confidence: -1}
	head.PromisesNotRun = slices.Contains(promises, status)
	if n, err := strconv.Atoi(h.Get("Sure")); err == nil {
		head.Confidence = n
	}
	head.Leaving, head.Unreadable = h.Get("Leaving") != "", h.Get("Unreadable")
	if holdOff, err := time.ParseDuration(h.Get("Hold-Off")); err == nil {
		head.HoldOff = holdOff
	}
	head.Brittle, _ = pacing.ParseBrittle(h.Values("Brittle"))
	return head
}

func (testDialect) StatusTarget() string { return "/status" }

func (testDialect) Status(body []byte, requestID string) (forward.ServerStatus, error) {
	var s forward.ServerStatus
	fields := strings.Fields(string(body))
	if len(fields) < 2 {
		return s, errors.Errorf("status %q", body)
	}
	s.Running, _ = strconv.Atoi(fields[0])
	s.Queued, _ = strconv.Atoi(fields[1])
	s.RunsRequest = slices.Contains(fields[2:], requestID)
	return s, nil
}

func (c *recordingSink) Begin(status int, _ map[string][]string, mark framing.Mark, _ int64) framing.Mark {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.status = status
	return mark
}

func (c *recordingSink) Write(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.body.Write(p)
	return nil
}

func (c *recordingSink) text() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.body.String()
}

func newHarness(t *testing.T) *harness {
	e := New(Config{
		ID: "entry-1", Incarnation: 1, Region: "r", Zone: "z", Terms: lease.DefaultConfig(), MaxRunning: 100, MaxWaiting: 100,
		Seed: 1, Clock: clock.WallClock, Logger: log.NewNopLogger(),
		Forwarding: &Forwarding{
			Dialect: testDialect{}, FailOpen: true, ExposureShare: 0.15, Controls: func() []string { return nil },
			Retries: retry.WindowBudgetConfig{Ratio: 1, Slack: 50, Window: 10 * time.Second},
		},
	})
	return &harness{t: t, entry: e}
}

// plan puts routes of all kinds into force: /safe/, /unsafe/ and /streaming/.
func (r *harness) plan() {
	to := []route.Target{{Service: "s", Weight: 1}}
	base := route.Route{Host: "h", Targets: to, MaxAttempts: 3, Timeout: 5 * time.Second, Objective: 400 * time.Millisecond}
	var routes []route.Route
	for _, kind := range []route.Kind{route.Safe, route.Unsafe, route.Streaming} {
		one := base
		one.Name, one.Prefix, one.Kind, one.Resumable = string(kind), "/"+string(kind)+"/", kind, kind == route.Streaming
		if kind == route.Streaming {
			one.Models = []string{"small", "large"}
		}
		routes = append(routes, one)
	}
	r.entry.applyDocuments(&catalog.Documents{Revision: r.entry.catalog.Load().Revision() + 1, Routing: &route.Document{Config: route.Config{
		Version: 1, Routes: routes, Services: []route.Service{{Name: "s"}},
		Workspaces: []route.Workspace{{Name: "w", KeyHashes: []string{key.Hash("k")}}},
	}}})
}

// naming is a handler whose answers name their request, unless the handler says otherwise.
func naming(h http.Handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get("Id"); id != "" {
			w.Header().Set("Id", id)
		}
		h.ServeHTTP(w, r)
	}
}

// server starts a backend server and announces it.
func (r *harness) server(id string, h http.HandlerFunc) {
	r.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.t.Fatal(err)
	}
	s := &http.Server{Handler: naming(h), ReadHeaderTimeout: time.Minute}
	go s.Serve(l)
	r.t.Cleanup(func() { s.Close() })
	r.announce(id, l.Addr().String(), 1, backend.Serving)
}

func (r *harness) announce(id, address string, sequence uint64, state backend.State) {
	a := backend.Announcement{ID: id, Incarnation: 1, Sequence: sequence, Service: "s", Address: address, Capacity: 4, State: state, Region: "r", Zone: "z"}
	r.entry.forwarder.updateRoster(time.Now(), roster.Delta{Records: []roster.Record{{Server: a}}})
}

func (r *harness) send(kind route.Kind) (*recordingSink, error) {
	return r.sendWith(context.Background(), forward.Request{Path: "/" + string(kind) + "/x", Key: "k"})
}

func (r *harness) sendWith(ctx context.Context, req forward.Request) (*recordingSink, error) {
	req.ID, req.Method, req.Host, req.Target, req.Arrived = "id-1", "POST", "h", req.Path, time.Now()
	req.AnyModel = strings.HasPrefix(req.Path, "/streaming/")
	got := &recordingSink{}
	return got, r.entry.Forward(ctx, req, got)
}

func codeOf(err error) forward.Code {
	var f *forward.Failure
	if errors.As(err, &f) {
		return f.Code
	}
	return ""
}

// event writes one event of a stream.
func event(w io.Writer, id uint64) { fmt.Fprintf(w, "id: %d\ndata: %d\n\n", id, id) }

// hangUp closes the connection in the middle of an answer.
func hangUp(w http.ResponseWriter) {
	http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func TestForwardRejections(t *testing.T) {
	r := newHarness(t)
	if _, err := r.send(route.Safe); codeOf(err) != forward.NotReady {
		t.Errorf("without a plan: %v", err)
	}
	r.plan()
	if _, err := r.send(route.Safe); codeOf(err) != forward.NoServer {
		t.Errorf("without a server: %v", err)
	}
	if _, err := r.sendWith(context.Background(), forward.Request{Path: "/safe/", Key: "other"}); codeOf(err) != forward.Unauthorized {
		t.Errorf("with an unknown key: %v", err)
	}
	if _, err := r.sendWith(context.Background(), forward.Request{Path: "/none/", Key: "k"}); codeOf(err) != forward.NoRoute {
		t.Errorf("without a route: %v", err)
	}
}

// An unsafe request runs once. When its answer is lost, the failure does not claim
// that it did not run.
func TestUnsafeRunsOnce(t *testing.T) {
	r := newHarness(t)
	r.plan()
	var runs atomic.Int64
	for _, id := range []string{"a", "b"} {
		r.server(id, func(w http.ResponseWriter, _ *http.Request) { runs.Add(1); hangUp(w) })
	}
	_, err := r.send(route.Unsafe)
	if codeOf(err) != forward.AnswerLost || runs.Load() != 1 {
		t.Fatalf("%d runs, %v", runs.Load(), err)
	}
}

// A request that a server reports as not run is retried at another server, even if
// it is unsafe.
func TestRefusedRequestGoesElsewhere(t *testing.T) {
	for _, kind := range []route.Kind{route.Safe, route.Unsafe} {
		r := newHarness(t)
		r.plan()
		r.server("full", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Refused", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		r.server("free", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "done") })
		for range 8 {
			if got, err := r.send(kind); err != nil || got.body.String() != "done" {
				t.Fatalf("%s: %q, %v", kind, got.body.String(), err)
			}
		}
	}
}

func TestSafeIsRepeatedElsewhere(t *testing.T) {
	r := newHarness(t)
	r.plan()
	r.server("failing", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) })
	r.server("sound", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "done") })
	for range 8 {
		if got, err := r.send(route.Safe); err != nil || got.body.String() != "done" {
			t.Fatalf("%q, %v", got.body.String(), err)
		}
	}
}

// When all attempts fail, a server's error answer is forwarded unchanged.
func TestFailureIsPassedOn(t *testing.T) {
	r := newHarness(t)
	r.plan()
	r.server("failing", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusInternalServerError)
		io.WriteString(w, "its own words")
	})
	got, err := r.send(route.Unsafe)
	if err != nil || got.status != http.StatusInternalServerError || got.body.String() != "its own words" {
		t.Fatalf("%d %q, %v", got.status, got.body.String(), err)
	}
}

// An answer that carries another request's ID is never forwarded.
func TestAnswerToOtherRequestIsDropped(t *testing.T) {
	r := newHarness(t)
	r.plan()
	r.server("a", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Id", "id-2")
		io.WriteString(w, "another's")
	})
	if got, err := r.send(route.Unsafe); codeOf(err) != forward.AnswerLost || got.body.Len() > 0 {
		t.Fatalf("%q, %v", got.body.String(), err)
	}
}

// A stream that breaks off, even within an event, is resumed at another server
// after its last complete event. Each event is forwarded once.
func TestStreamIsResumed(t *testing.T) {
	r := newHarness(t)
	r.plan()
	handler := func(w http.ResponseWriter, req *http.Request) {
		after, _ := strconv.ParseUint(req.Header.Get("After"), 10, 64)
		for id := after + 1; id <= 6; id++ {
			if after == 0 && id == 4 {
				io.WriteString(w, "id: 4\nda")
				hangUp(w)
			}
			event(w, id)
		}
	}
	r.server("a", handler)
	r.server("b", handler)
	got, err := r.send(route.Streaming)
	var want strings.Builder
	for id := range uint64(6) {
		event(&want, id+1)
	}
	if err != nil || got.body.String() != want.String() {
		t.Fatalf("%q, %v", got.body.String(), err)
	}
}

// A silent server does not end the last attempt: the caller's deadline decides how
// long to wait.
func TestLastAttemptOutlastsSilence(t *testing.T) {
	r := newHarness(t)
	c := testclock.NewClock(time.Now())
	r.entry.cfg.Clock = c
	r.plan()
	var runs atomic.Int64
	paused, resume := make(chan struct{}), make(chan struct{})
	r.server("a", func(w http.ResponseWriter, req *http.Request) {
		if runs.Add(1) < 3 {
			if req.Header.Get("After") == "0" {
				event(w, 1)
			}
			hangUp(w)
		}
		event(w, 2)
		http.NewResponseController(w).Flush()
		close(paused)
		<-resume
		event(w, 3)
	})
	got, ended := &recordingSink{}, make(chan error, 1)
	go func() {
		ended <- r.entry.Forward(t.Context(), forward.Request{
			ID: "id-1", Method: "POST", Host: "h", Path: "/streaming/x", Target: "/streaming/x", Key: "k", Arrived: c.Now(),
		}, got)
	}()
	<-paused
	waitFor(t, "the event before the pause", func() bool { return strings.Contains(got.text(), "data: 2") })
	c.Advance(3 * time.Second)
	close(resume)
	if err := <-ended; err != nil || !strings.HasSuffix(got.text(), "data: 3\n\n") {
		t.Fatalf("%q, %v", got.text(), err)
	}
}

// Callers that come back to an entry before its plan does are served when the plan
// arrives; without one they are rejected as not run, long before their deadline.
func TestRequestsAwaitTheFirstPlan(t *testing.T) {
	r := newHarness(t)
	c := testclock.NewClock(time.Now())
	r.entry.cfg.Clock = c
	send := func() chan error {
		ended := make(chan error, 1)
		go func() {
			ended <- r.entry.Forward(t.Context(), forward.Request{
				ID: "id-1", Method: "GET", Host: "h", Path: "/safe/x", Target: "/safe/x", Key: "k", Arrived: c.Now(),
			}, &recordingSink{})
		}()
		if err := c.WaitAdvance(0, waitLimit, 1); err != nil {
			t.Fatal(err)
		}
		return ended
	}
	ended := send()
	c.Advance(startupWait)
	if err := <-ended; codeOf(err) != forward.NotReady {
		t.Fatalf("without a plan: %v", err)
	}
	ended = send()
	r.plan()
	// The plan is there before any server is known: the second waiter is the poll
	// for servers, beside the one for the plan.
	if err := c.WaitAdvance(startupPoll, waitLimit, 2); err != nil {
		t.Fatal(err)
	}
	r.server("a", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "done") })
	waitFor(t, "the end of the request", func() bool {
		c.Advance(startupPoll)
		return len(ended) > 0
	})
	if err := <-ended; err != nil {
		t.Fatalf("the plan and a server arrived: %v", err)
	}
}

// Once an entry has started, a service without servers is rejected at once.
func TestServiceWithoutServersIsRejectedAtOnce(t *testing.T) {
	r := newHarness(t)
	r.plan()
	c := testclock.NewClock(time.Now())
	r.entry.cfg.Clock = c
	r.entry.forwarder.startedAt = c.Now().Add(-startup)
	_, err := r.sendWith(t.Context(), forward.Request{Path: "/safe/x", Key: "k"})
	if codeOf(err) != forward.NoServer {
		t.Fatal(err)
	}
}

// A stream that cannot be completed must not look complete to the caller.
func TestBrokenStreamIsNotWhole(t *testing.T) {
	r := newHarness(t)
	r.plan()
	r.server("a", func(w http.ResponseWriter, req *http.Request) {
		if req.Header.Get("After") == "0" {
			event(w, 1)
		}
		hangUp(w)
	})
	got, err := r.send(route.Streaming)
	if err == nil || codeOf(err) != "" {
		t.Fatalf("%q, %v", got.body.String(), err)
	}
}

// A small model's answer with low confidence is replaced by the largest model's
// before any of it is forwarded.
func TestLowConfidenceAnswerIsEscalated(t *testing.T) {
	r := newHarness(t)
	r.plan()
	r.server("a", func(w http.ResponseWriter, req *http.Request) {
		model := req.Header.Get("Model")
		w.Header().Set("Sure", map[string]string{"small": "10", "large": "90"}[model])
		fmt.Fprintf(w, "id: 1\ndata: %s\n\n", model)
	})
	got, err := r.send(route.Streaming)
	if err != nil || got.body.String() != "id: 1\ndata: large\n\n" {
		t.Fatalf("%q, %v", got.body.String(), err)
	}
}

// A leaving server gets no requests, not even those placed before it left.
func TestLeavingServerGetsNoRequests(t *testing.T) {
	r := newHarness(t)
	r.plan()
	var runs atomic.Int64
	r.server("a", func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	rec, _ := r.entry.forwarder.roster.Find("a")
	r.announce("a", rec.Server.Address, 2, backend.Leaving)
	if _, err := r.send(route.Safe); codeOf(err) != forward.NoServer || runs.Load() != 0 {
		t.Fatalf("%d runs, %v", runs.Load(), err)
	}
	if r.entry.forwarder.admit(&attempt{server: rec.Server}) == nil {
		t.Fatal("an attempt placed before may still be sent")
	}
}

// When the caller disconnects, the request to the server is canceled.
func TestCallerDisconnectCancelsRequest(t *testing.T) {
	r := newHarness(t)
	r.plan()
	began, ended := make(chan struct{}), make(chan struct{})
	r.server("a", func(w http.ResponseWriter, req *http.Request) {
		event(w, 1)
		http.NewResponseController(w).Flush()
		close(began)
		<-req.Context().Done()
		close(ended)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-began
		cancel()
	}()
	if _, err := r.sendWith(ctx, forward.Request{Path: "/streaming/", Key: "k"}); err == nil {
		t.Fatal("no error")
	}
	<-ended
}

// An entry never replaces its documents with older ones.
func TestDocumentsOnlyBecomeNewer(t *testing.T) {
	r := newHarness(t)
	r.plan()
	now := r.entry.catalog.Load().Revision()
	r.entry.applyDocuments(&catalog.Documents{Revision: now - 1})
	if r.entry.catalog.Load().Revision() != now || r.entry.catalog.Load().Routes() == nil {
		t.Fatal("older documents came into force")
	}
}

// A request past its deadline ends immediately, even if the timer of its context
// has not fired yet. Retrying in a loop until then kept a processor busy for
// seconds.
func TestExpiredRequestEndsAtOnce(t *testing.T) {
	r := newHarness(t)
	future := testclock.NewClock(time.Now().Add(24 * time.Hour))
	r.entry.cfg.Clock = future
	r.plan()
	r.server("a", func(http.ResponseWriter, *http.Request) { t.Error("the request was sent") })
	ended := make(chan error, 1)
	go func() {
		ended <- r.entry.Forward(context.Background(), forward.Request{
			ID: "id-1", Method: "POST", Host: "h", Path: "/unsafe/x", Target: "/unsafe/x", Key: "k",
			Arrived: future.Now(), Deadline: future.Now(),
		}, &recordingSink{})
	}()
	select {
	case err := <-ended:
		if f, ok := asFailure(err); !ok || !f.IsNotRun() {
			t.Fatalf("%v, want a failure that promises that it did not run", err)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the request is retried without end")
	}
}

// When no server accepts a connection, the request is rejected after one attempt
// at each.
func TestUnreachableServersAreTriedOnce(t *testing.T) {
	r := newHarness(t)
	r.plan()
	for _, id := range []string{"a", "b"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		l.Close()
		r.announce(id, l.Addr().String(), 1, backend.Serving)
	}
	var lines strings.Builder
	r.entry.cfg.Logger = log.NewLogfmtLogger(&lines)
	_, err := r.send(route.Unsafe)
	if f, ok := asFailure(err); !ok || f.Code != forward.NoServer || f.RetryAfter <= 0 {
		t.Fatalf("%v", err)
	}
	if n := strings.Count(lines.String(), "Attempt is placed."); n != 2 {
		t.Fatalf("%d attempts at two servers", n)
	}
}

// A planned stop removes the entry from the address list immediately and lets
// running requests complete. Once callers' lists have expired, new requests are
// refused as not run.
func TestPlannedStopCutsNothing(t *testing.T) {
	r := newHarness(t)
	r.plan()
	began, resume := make(chan struct{}), make(chan struct{})
	r.server("a", func(w http.ResponseWriter, _ *http.Request) {
		event(w, 1)
		http.NewResponseController(w).Flush()
		close(began)
		<-resume
		event(w, 2)
	})
	if !r.entry.IsOpen() {
		t.Fatal("an entry with a plan is not open")
	}
	type result struct {
		got *recordingSink
		err error
	}
	ended := make(chan result, 1)
	go func() {
		got, err := r.send(route.Streaming)
		ended <- result{got, err}
	}()
	<-began
	r.entry.StopListing(context.Background(), stopIn(time.Millisecond, time.Minute))
	if r.entry.IsOpen() || !r.entry.forwarder.watcher.presence().Draining {
		t.Error("a stopping entry reports that it is open")
	}
	if _, err := r.send(route.Safe); codeOf(err) != forward.Draining {
		t.Errorf("a new request: %v, want a refusal as not run", err)
	}
	close(resume)
	if e := <-ended; e.err != nil || e.got.body.String() != "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n" {
		t.Errorf("the running request: %q, %v", e.got.body.String(), e.err)
	}
}

// fullQueue refuses every ticket.
type fullQueue struct{ limit.Queue }

func (fullQueue) Submit(time.Time, limit.Ticket) limit.Decision {
	return limit.Decision{Verdict: limit.Refuse, RetryAfter: time.Second}
}

func (fullQueue) Expire(time.Time) []uint64 { return nil }

// A request that a full queue rejects is counted in the metrics.
func TestOverloadedRequestIsCounted(t *testing.T) {
	r := newHarness(t)
	r.plan()
	r.entry.plainAdmission = newAdmission(fullQueue{})
	failure, ok := asFailure(r.entry.Forward(t.Context(), forward.Request{
		ID: "a", Method: http.MethodGet, Host: "h", Path: "/safe/x", Target: "/safe/x", Key: "k", Arrived: time.Now(),
	}, &recordingSink{}))
	if !ok || failure.Code != forward.Overloaded {
		t.Fatalf("ends with %v", failure)
	}
	w := httptest.NewRecorder()
	r.entry.ForwardMetrics().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	if want := `rosereach_requests_total{code="overloaded",kind="safe"} 1`; !strings.Contains(w.Body.String(), want) {
		t.Errorf("no line %s", want)
	}
}
