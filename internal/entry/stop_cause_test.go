package entry

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/juju/clock/testclock"
	"github.com/juju/errors"

	"rosereach/core/forward"
	"rosereach/internal/httpd"
	"rosereach/internal/logs"
)

// A record of logs kept the first 200 characters of each line.
const recordedLine = 200

const errOutOfOrder = errors.ConstError("out of order")

// panickingSink takes the first event and panics at the next.
type panickingSink struct{ recordingSink }

func (s *panickingSink) Write(p []byte) error {
	if s.text() != "" {
		panic(errOutOfOrder)
	}
	return s.recordingSink.Write(p)
}

// startBegun starts a stream of which one event is passed on. Its servers go on once goOn is closed.
// Ended gets what it panics with.
func (s *stoppingEntry) startBegun(sink forward.Sink, rest func(http.ResponseWriter)) (ended chan any, goOn chan struct{}) {
	ended, goOn = make(chan any, 1), make(chan struct{})
	for _, id := range []string{"a", "b", "c"} {
		s.counting(id, func(w http.ResponseWriter, _ *http.Request) {
			event(w, 1)
			http.NewResponseController(w).Flush()
			<-goOn
			rest(w)
		})
	}
	go func() {
		defer func() { ended <- recover() }()
		s.entry.Forward(s.t.Context(), forward.Request{ //nolint:errcheck // the log tells
			ID: "id-1", Method: http.MethodPost, Host: "h", Path: "/streaming/x", Target: "/streaming/x", Key: "k", Arrived: time.Now(),
		}, sink)
	}()
	return ended, goOn
}

// A user's record had no line of a request whose answer broke off during a stop: failures are
// dropped when the log is busy. Every request that a stop ends badly after its answer has begun keeps its line.
func TestBusyLogKeepsRequestsThatFailInAStop(t *testing.T) {
	s := newStoppingEntry(t)
	var out lockedBuffer
	ctx, cancel := context.WithCancel(t.Context())
	logger := logs.New(ctx, &out, testclock.NewClock(time.Now()), 1)
	s.entry.cfg.Logger = logger
	ended, goOn := s.startBegun(&recordingSink{}, hangUp)
	waitFor(t, "an event", func() bool { return s.entry.stopLog.begun.Load() == 1 })
	s.close(time.Minute)
	close(goOn)
	<-ended
	cancel()
	logger.Wait(time.Minute)
	for _, want := range []string{`msg="Request fails in the stop." id=id-1`, "answers=200:chunks:truncated:1,", "run=3 of=3"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %s in\n%s", want, out.String())
		}
	}
}

// A record kept the begin of each line, and not what told the cause.
func TestLinesBeginWithTheCause(t *testing.T) {
	s := newStoppingEntry(t)
	var out lockedBuffer
	s.entry.cfg.Logger = log.WithPrefix(log.NewLogfmtLogger(&out), "part", "entry", "ts", log.DefaultTimestampUTC)
	ended, goOn := s.startBegun(&recordingSink{}, hangUp)
	waitFor(t, "an event", func() bool { return s.entry.stopLog.begun.Load() == 1 })
	s.close(time.Minute)
	close(goOn)
	<-ended
	wanted := map[string][]string{
		"Attempt brings no answer.":  {"id=id-1", "out=", "answer=200:chunks:truncated:", "run=", "of=3"},
		"Request ends.":              {"id=id-1", "caller=chunks:cut", "err=", "answers=200:chunks:truncated:1,"},
		"Request fails in the stop.": {"id=id-1", "caller=chunks:cut", "err=", "answers=200:chunks:truncated:1,"},
	}
	for line := range bytes.Lines([]byte(out.String())) {
		for msg, fields := range wanted {
			if !bytes.Contains(line, []byte(msg)) {
				continue
			}
			delete(wanted, msg)
			for _, field := range fields {
				if !bytes.Contains(line[:min(recordedLine, len(line))], []byte(" "+field)) {
					t.Errorf("no %s in the first %d characters of %s", field, recordedLine, line)
				}
			}
		}
	}
	if len(wanted) > 0 {
		t.Errorf("no lines %v in\n%s", wanted, out.String())
	}
}

// A handler that panicked cut its answer, was counted nowhere, and left its request counted as begun.
func TestPanicIsCountedAsCut(t *testing.T) {
	s := newLoggedStop(t)
	sink := &panickingSink{}
	ended, goOn := s.startBegun(sink, func(w http.ResponseWriter) { event(w, 2) })
	waitFor(t, "an event", func() bool { return sink.text() != "" })
	s.close(time.Minute)
	close(goOn)
	if v := <-ended; v != errOutOfOrder {
		t.Errorf("panic %v", v)
	}
	s.entry.LogExit()
	s.expect("Request is cut by the stop.", "id", "id-1", map[string]string{"caller": "chunks:cut", "begun": "true", "err": errAborted.Error()})
	s.expect("Entry exits.", "id", "entry-1", map[string]string{"running": "0", "begun": "0", "cut": "1", "finished": "0", "failed": "0"})
}

// An answer that was finished and did not reach its caller had no line of its own. Those of a stop are
// kept by a busy log, up to a bound.
func TestBusyLogKeepsAnswersLostInAStop(t *testing.T) {
	s := newStoppingEntry(t)
	var out lockedBuffer
	ctx, cancel := context.WithCancel(t.Context())
	logger := logs.New(ctx, &out, testclock.NewClock(time.Now()), 1)
	s.entry.cfg.Logger = logger
	s.entry.RecordLostAnswer(httpd.LostAnswer{Request: "early", End: httpd.AnswerFailed})
	s.close(time.Minute)
	for range 2 * maxReservedLost {
		s.entry.RecordLostAnswer(httpd.LostAnswer{Request: "late", End: httpd.AnswerReset, Left: 512})
	}
	s.entry.LogExit()
	cancel()
	logger.Wait(time.Minute)
	text := out.String()
	if n := strings.Count(text, "id=late end=reset missing=512 entry=entry-1 phase="); n != maxReservedLost {
		t.Errorf("%d lines of lost answers", n)
	}
	if !strings.Contains(text, `msg="Entry exits."`) || !strings.Contains(text, fmt.Sprintf("failed=0 lost=%d", 2*maxReservedLost)) || strings.Contains(text, "id=early") {
		t.Error(text[:min(len(text), 2000)])
	}
}
