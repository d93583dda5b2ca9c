package entry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/go-logfmt/logfmt"

	"rosereach/core/drain"
	"rosereach/core/forward"
	"rosereach/core/route"
)

// loggedStop is a stopping entry whose lines the test reads.
type loggedStop struct {
	*stoppingEntry

	lines lockedBuffer
}

func newLoggedStop(t *testing.T) *loggedStop {
	s := &loggedStop{stoppingEntry: newStoppingEntry(t)}
	s.entry.cfg.Logger = level.NewInjector(log.NewLogfmtLogger(&s.lines), level.InfoValue())
	return s
}

// forward sends a request with the given id, whose caller's connection lasts as long as the context.
func (s *loggedStop) forward(ctx context.Context, kind route.Kind, id string) chan error {
	ended := make(chan error, 1)
	go func() {
		req := forward.Request{ID: id, Method: http.MethodPost, Host: "h", Path: "/" + string(kind) + "/x", Key: "k", Arrived: time.Now()}
		req.Target = req.Path
		ended <- s.entry.Forward(ctx, req, &recordingSink{})
	}()
	return ended
}

// line returns the fields of the line with the message and the field, nil if there is none.
func (s *loggedStop) line(msg, field, value string) map[string]string {
	d := logfmt.NewDecoder(strings.NewReader(s.lines.String()))
	for d.ScanRecord() {
		fields := make(map[string]string)
		for d.ScanKeyval() {
			fields[string(d.Key())] = string(d.Value())
		}
		if fields["msg"] == msg && fields[field] == value {
			return fields
		}
	}
	return nil
}

func (s *loggedStop) expect(msg, field, value string, want map[string]string) {
	s.t.Helper()
	got := s.line(msg, field, value)
	for name, v := range want {
		if got[name] != v {
			s.t.Errorf("%s %s=%s: %s is %q, want %q; %v", msg, field, value, name, got[name], v, got)
		}
	}
}

// A user's record of a planned stop had no line that names the requests that it cut. Each has
// one, and the exit tells how many there were.
func TestStopNamesRequestsThatItCutsOrRefuses(t *testing.T) {
	s := newLoggedStop(t)
	goOn := make(chan struct{})
	defer close(goOn)
	s.counting("a", func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/streaming/") {
			event(w, 1)
			http.NewResponseController(w).Flush()
		}
		<-goOn
	})
	for range 50 {
		s.entry.forwarder.durations.Observe(string(route.Streaming), time.Millisecond)
	}
	caller, leave := context.WithCancel(t.Context())
	streaming, silent := s.forward(caller, route.Streaming, "stream"), s.forward(caller, route.Safe, "silent")
	waitFor(t, "both requests and an event", func() bool { return s.runs.Load() == 2 && s.entry.stopLog.begun.Load() == 1 })
	s.close(100 * time.Millisecond)
	if err := <-s.forward(t.Context(), route.Safe, "late"); codeOf(err) != forward.Draining {
		t.Errorf("after the close: %v", err)
	}
	waitFor(t, "the exit time", func() bool { return s.line("Entry ends what still runs.", "phase", "ending") != nil })
	waitFor(t, "the exit time", func() bool { return s.entry.stopping.current().Phase(time.Now()) == drain.Exit })
	leave() // as the end of the connections does
	<-streaming
	<-silent
	s.entry.Reject(forward.Request{ID: "body", Path: "/safe/x"}, &forward.Failure{Code: forward.BadRequest, Detail: "unexpected EOF"})
	s.entry.LogExit()

	s.expect("Request is cut by the stop.", "id", "stream", map[string]string{
		"level": "warn", "entry": "entry-1", "route": "streaming", "phase": "exit", "begun": "true", "srv": "a", "events": "1", "basis": "history", "send": "1", "run": "1", "of": "3", "spent": "0",
	})
	s.expect("Request is given up by the stop.", "id", "silent", map[string]string{
		"level": "warn", "route": "safe", "phase": "ending", "begun": "false", "srv": "a", "events": "0", "basis": "unknown", "expected": "0s",
	})
	s.expect("Request is cut by the stop.", "id", "body", map[string]string{"phase": "exit", "begun": "false", "path": "/safe/x"})
	s.expect("Request is refused by the stop.", "id", "late", map[string]string{"level": "warn", "phase": "closed", "begun": "false", "code": "draining"})
	cut := s.line("Request is cut by the stop.", "id", "stream")
	for field, isRight := range map[string]func(time.Duration) bool{
		"since":      func(d time.Duration) bool { return d >= 100*time.Millisecond },
		"exit_in":    func(d time.Duration) bool { return d <= 0 },
		"sent_since": func(d time.Duration) bool { return d < 0 },
		"age":        func(d time.Duration) bool { return d > 100*time.Millisecond },
		"silent":     func(d time.Duration) bool { return d >= 100*time.Millisecond },
	} {
		if d, err := time.ParseDuration(cut[field]); err != nil || !isRight(d) {
			t.Errorf("%s is %q", field, cut[field])
		}
	}
	s.expect("Entry drains.", "id", "entry-1", map[string]string{"phase": "delisted", "running": "2", "begun": "1", "relayed": "0"})
	s.expect("Entry takes no more requests.", "id", "entry-1", map[string]string{"phase": "closed", "running": "2", "begun": "1"})
	s.expect("Entry exits.", "id", "entry-1", map[string]string{"running": "0", "begun": "0", "refused": "1", "finished": "0", "given_up": "1", "cut": "2", "failed": "0"})
	if n := strings.Count(s.lines.String(), "Entry ends what still runs."); n != 1 {
		t.Errorf("%d lines about the end phase", n)
	}
	metrics := httptest.NewRecorder()
	s.entry.ForwardMetrics().ServeHTTP(metrics, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, want := range []string{
		`rosereach_stop_requests_total{outcome="cut",phase="exit"} 2`, `rosereach_stop_requests_total{outcome="given_up",phase="ending"} 1`, `rosereach_stop_requests_total{outcome="refused",phase="closed"} 1`,
		`rosereach_stop_phase{phase="exit"} 1`, "rosereach_stop_left_seconds 0", "rosereach_requests_begun 0", "rosereach_relayed_connections 0",
	} {
		if !strings.Contains(metrics.Body.String(), want+"\n") {
			t.Errorf("no %s in\n%s", want, metrics.Body)
		}
	}
}

// A request that the stop allows no further attempt is named, although its caller gets an answer.
func TestStopNamesRequestsThatItGivesUp(t *testing.T) {
	s := newLoggedStop(t)
	began, goOn := make(chan struct{}, 1), make(chan struct{})
	s.counting("a", func(w http.ResponseWriter, _ *http.Request) {
		began <- struct{}{}
		<-goOn
		hangUp(w)
	})
	for range 50 {
		s.entry.forwarder.durations.Observe(string(route.Safe), time.Second)
	}
	ended := s.forward(t.Context(), route.Safe, "lost")
	<-began
	s.close(500 * time.Millisecond)
	close(goOn)
	if err := <-ended; codeOf(err) != forward.AnswerLost {
		t.Errorf("%v", err)
	}
	s.entry.LogExit()
	s.expect("Request is given up by the stop.", "id", "lost", map[string]string{"phase": "closed", "begun": "false", "basis": "history", "srv": "a", "run": "1"})
	s.expect("Entry exits.", "id", "entry-1", map[string]string{"given_up": "1", "cut": "0", "failed": "0"})
}

// Requests that end whole during a stop are counted and have a routine line, which is none of what the
// stop does to requests.
func TestStopCountsRequestsThatFinish(t *testing.T) {
	s := newLoggedStop(t)
	began, goOn := make(chan struct{}, 1), make(chan struct{})
	s.counting("a", func(w http.ResponseWriter, _ *http.Request) {
		began <- struct{}{}
		<-goOn
		io.WriteString(w, "done")
	})
	ended := s.forward(t.Context(), route.Safe, "whole")
	<-began
	s.close(time.Minute)
	close(goOn)
	if err := <-ended; err != nil {
		t.Error(err)
	}
	s.entry.LogExit()
	s.expect("Entry exits.", "id", "entry-1", map[string]string{"finished": "1", "cut": "0", "failed": "0"})
	s.expect("Request finishes in the stop.", "stop", "finished", map[string]string{"level": "debug", "id": "whole", "caller": "length:whole", "run": "1", "phase": "closed"})
	if strings.Contains(s.lines.String(), "by the stop.") {
		t.Error(s.lines.String())
	}
}
