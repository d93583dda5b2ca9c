package fake

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/juju/clock"
	"github.com/juju/clock/testclock"

	"rosereach/core/request"
	"rosereach/core/version"
	iobackend "rosereach/io/backend"
	"rosereach/io/platform"
)

var small1 = version.Ref{Model: "small", Version: "v1"}

func newTestEngine(c clock.Clock, capacity int) *Engine {
	return NewEngine(EngineConfig{
		ID: "engine-1", Incarnation: 1, Versions: []version.Ref{small1}, Capacity: capacity, CacheTokens: 1000,
		StepTime: 10 * time.Millisecond, StepPerSequence: time.Millisecond, PrefillPerToken: time.Millisecond,
		ResumeWindow: time.Second, LoadDelay: 3 * time.Second, HonorsFence: true, Clock: c,
	})
}

func add(t *testing.T, e *Engine, id string, priority int, want int64) (*sequence, chan struct{}) {
	t.Helper()
	s := &sequence{id: id, ref: small1, priority: priority, prompt: []request.Message{{Content: "x"}}, maxTokens: want}
	updated, ok := e.enqueue(s)
	if !ok {
		t.Fatalf("%s was refused", id)
	}
	return s, updated
}

// The duration of a step grows with the batch size and with the uncached prompt
// tokens of a sequence that joins it.
func TestEngineBatches(t *testing.T) {
	e := newTestEngine(testclock.NewClock(time.Unix(0, 0)), 100)
	for i := range 4 {
		add(t, e, fmt.Sprint(i), 0, 10)
	}
	for _, want := range []time.Duration{10 + 4 + 1, 10 + 4, 10 + 4} {
		if length, busy := e.prepareStep(); length != want*time.Millisecond || !busy {
			t.Errorf("step of %v, want %v ms", length, int64(want))
		}
		e.generateTokens()
	}
	if e.InFlight() != 4 {
		t.Errorf("%d busy", e.InFlight())
	}
	for range 7 {
		e.prepareStep()
		e.generateTokens()
	}
	if length, busy := e.prepareStep(); busy || e.InFlight() != 0 {
		t.Errorf("still busy, step of %v", length)
	}
	for _, r := range e.Log.Runs() {
		if !r.Completed || r.Tokens != 10 {
			t.Errorf("run %+v", r)
		}
	}
}

func TestEngineHonorsPriority(t *testing.T) {
	e := newTestEngine(testclock.NewClock(time.Unix(0, 0)), 1)
	for i, priority := range []int{0, 2, 1, 2} {
		add(t, e, fmt.Sprintf("%d-%d", priority, i), priority, 1)
	}
	for range 4 {
		e.prepareStep()
		e.generateTokens()
	}
	var order []string
	for _, r := range e.Log.Runs() {
		order = append(order, r.RequestID)
	}
	if got := strings.Join(order, " "); got != "2-1 2-3 1-2 0-0" {
		t.Errorf("order %s", got)
	}
}

// A run without a reader continues for the resume window and is then canceled.
// A sequence that is still waiting at that time has not run at all.
func TestEngineCancelsAbandonedRuns(t *testing.T) {
	c := testclock.NewClock(time.Unix(0, 0))
	e := newTestEngine(c, 1)
	first, updated := add(t, e, "first", 0, 100)
	second, secondUpdated := add(t, e, "second", 0, 100)
	e.prepareStep()
	e.generateTokens()
	e.detachStream(first, updated)
	e.detachStream(second, secondUpdated)
	c.Advance(900 * time.Millisecond)
	if e.prepareStep(); e.InFlight() != 2 {
		t.Errorf("%d busy within the resume window", e.InFlight())
	}
	if _, again, ok := e.resume("first", small1, first.runID); !ok {
		t.Error("the run was not resumed within the resume window")
	} else {
		e.detachStream(first, again)
	}
	c.Advance(time.Second)
	if e.prepareStep(); e.InFlight() != 0 {
		t.Errorf("%d busy after the resume window", e.InFlight())
	}
	if _, _, ok := e.resume("first", small1, first.runID); ok {
		t.Error("resumed a canceled run")
	}
	runs := e.Log.Runs()
	if len(runs) != 1 || runs[0].RequestID != "first" || runs[0].Completed || runs[0].Tokens != 1 {
		t.Errorf("runs %+v", runs)
	}
}

// A canceled run ends immediately, and only the run with the given id is
// resumed.
func TestEngineCancelsByID(t *testing.T) {
	e := newTestEngine(testclock.NewClock(time.Unix(0, 0)), 1)
	first, _ := add(t, e, "first", 0, 100)
	add(t, e, "second", 0, 100)
	e.prepareStep()
	if _, _, ok := e.resume("first", small1, first.runID); !ok {
		t.Error("the run was not resumed by its id")
	}
	if _, _, ok := e.resume("first", small1, first.runID+"0"); ok {
		t.Error("a run with another id was resumed")
	}
	e.cancel("first")
	e.cancel("second")
	e.cancel("unknown")
	if runs := e.Log.Runs(); e.InFlight() != 0 || len(runs) != 1 || runs[0].Completed {
		t.Errorf("%d busy, runs %+v", e.InFlight(), runs)
	}
}

// Load reports are delayed by LoadDelay, also after the engine has become idle.
func TestEngineReportsLoadLate(t *testing.T) {
	c := testclock.NewClock(time.Unix(0, 0))
	e := newTestEngine(c, 10)
	e.prepareStep()
	add(t, e, "a", 0, 1)
	c.Advance(time.Second)
	e.prepareStep()
	e.generateTokens()
	c.Advance(time.Second)
	e.prepareStep()
	for _, want := range []struct {
		advance time.Duration
		running int
	}{{0, 0}, {2 * time.Second, 1}, {time.Second, 0}} {
		c.Advance(want.advance)
		if got := e.Announcement("x").Load.Running; got != want.running {
			t.Errorf("at %v: %d running, want %d", c.Now().Unix(), got, want.running)
		}
	}
}

func fence(term, sequence uint64) platform.Fence {
	return platform.Fence{Term: term, Sequence: sequence}
}

func TestOrders(t *testing.T) {
	for _, tc := range []struct {
		name             string
		honors           bool
		required, key    string
		first, second    platform.Fence
		status, versions int
	}{
		{"newer", true, "", "", fence(1, 1), fence(1, 2), 204, 2},
		{"same again", true, "", "", fence(1, 1), fence(1, 1), 204, 2},
		{"older term", true, "", "", fence(2, 1), fence(1, 9), 412, 1},
		{"older sequence", true, "", "", fence(1, 5), fence(1, 4), 412, 1},
		{"older term, fence ignored", false, "", "", fence(2, 1), fence(1, 9), 204, 2},
		{"right key", true, "k", "k", fence(1, 1), fence(1, 2), 204, 2},
		{"wrong key", true, "k", "x", fence(1, 1), fence(1, 2), 403, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e := NewEngine(EngineConfig{HonorsFence: tc.honors, OrderKey: tc.required, Clock: clock.WallClock})
			e.applyOrder(platform.Order{Fence: tc.first, Versions: []version.Ref{small1}})
			body := fmt.Sprintf(`{"fence":{"term":%d,"sequence":%d},"versions":[{"model":"small","version":"v1"},{"model":"small","version":"v2"}]}`, tc.second.Term, tc.second.Sequence)
			r := httptest.NewRequest(http.MethodPost, platform.PathOrders, strings.NewReader(body))
			r.Header.Set("Authorization", "Bearer "+tc.key)
			w := httptest.NewRecorder()
			e.Handler().ServeHTTP(w, r)
			if w.Code != tc.status || len(e.Announcement("").Versions) != tc.versions {
				t.Errorf("status %d, %d versions", w.Code, len(e.Announcement("").Versions))
			}
		})
	}
}

// startEngine runs an engine on the wall clock and returns its address.
func startEngine(t *testing.T, cfg EngineConfig) (*Engine, string) {
	t.Helper()
	cfg.ID, cfg.Incarnation, cfg.Clock = "engine-1", 1, clock.WallClock
	cfg.Versions, cfg.Capacity, cfg.CacheTokens = []version.Ref{small1}, 8, 1000
	e := NewEngine(cfg)
	go e.Run(t.Context())
	server := httptest.NewServer(e.Handler())
	t.Cleanup(server.Close)
	return e, strings.TrimPrefix(server.URL, "http://")
}

func call(address, id string, tokens int64) iobackend.ChatCall {
	return iobackend.ChatCall{
		Address: address, RequestID: id, Attempt: 1, Version: small1, MaxTokens: tokens,
		Messages: []request.Message{{Role: "user", Content: "x"}},
	}
}

var errReaderGone = fmt.Errorf("the reader disconnects")

// readAndDisconnect reads the given number of tokens, disconnects, and returns the text
// and the id of the run.
func readAndDisconnect(t *testing.T, client *iobackend.Client, c iobackend.ChatCall, tokens int) (string, string) {
	t.Helper()
	var text strings.Builder
	end, err := client.Stream(t.Context(), c, func(p iobackend.Piece) error {
		text.WriteString(p.Text)
		if tokens--; tokens == 0 {
			return errReaderGone
		}
		return nil
	})
	if err == nil {
		t.Fatal("the stream ended before the reader disconnected")
	}
	return text.String(), end.RunID
}

// A resumed answer continues the same run at its offset. A continued answer is a
// second run after the given prefix. The token texts distinguish the two.
func TestEngineResumesAndContinues(t *testing.T) {
	const tokens, readTokens = 40, 5
	e, address := startEngine(t, EngineConfig{StepTime: time.Millisecond, ResumeWindow: time.Minute, LoadDelay: time.Second})
	client := iobackend.NewClient(clock.WallClock, 8)
	for _, tc := range []struct {
		name           string
		prefix         bool
		runs, runMarks int
	}{
		{"resumed", false, 1, 1},
		{"continued", true, 2, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := call(address, tc.name, tokens)
			text, run := readAndDisconnect(t, client, c, readTokens)
			c.Attempt, c.Offset, c.RunID = 2, readTokens, run
			if tc.prefix {
				c.RunID, c.Prefix = "", text
			}
			next := int64(readTokens)
			end, err := client.Stream(t.Context(), c, func(p iobackend.Piece) error {
				if p.Offset != next {
					t.Errorf("offset %d, want %d", p.Offset, next)
				}
				next++
				text += p.Text
				return nil
			})
			if err != nil || end.Tokens != tokens || next != tokens {
				t.Fatalf("end %+v after %d tokens, %v", end, next, err)
			}
			runMarks := make(map[string]bool)
			for i, word := range strings.Fields(text) {
				if !strings.HasPrefix(word, fmt.Sprintf("t%d.small@v1.", i)) {
					t.Errorf("word %d is %s", i, word)
				}
				runMarks[word[strings.LastIndex(word, "."):]] = true
			}
			if runs := e.Log.ByRequest(tc.name); len(runs) != tc.runs || len(runMarks) != tc.runMarks {
				t.Errorf("%d run marks in %d runs", len(runMarks), len(runs))
			}
		})
	}
}

// A resume of an unknown run is refused, since the text of any other run would
// differ from the offset on.
func TestEngineRefusesUnknownResume(t *testing.T) {
	e, address := startEngine(t, EngineConfig{StepTime: time.Millisecond, LoadDelay: time.Second})
	c := call(address, "lost", 10)
	c.Offset, c.RunID = 5, "engine-1/0/7"
	_, err := iobackend.NewClient(clock.WallClock, 8).Stream(t.Context(), c, func(iobackend.Piece) error { return nil })
	if err == nil || len(e.Log.Runs()) != 0 {
		t.Errorf("error %v, runs %+v", err, e.Log.Runs())
	}
}
