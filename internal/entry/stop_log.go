package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"rosereach/core/drain"
	"rosereach/core/forward"
	"rosereach/internal/httpd"
	"rosereach/internal/logs"
)

// How requests end during a planned stop.
const (
	stopRefused  = "refused"  // as not run
	stopFinished = "finished" // answered whole
	stopGivenUp  = "given_up" // answered with a failure, as the stop allowed no further attempt or wait
	stopCut      = "cut"      // without an answer, or before its end
	stopFailed   = "failed"   // for other reasons than the stop
	stopLost     = "lost"     // the caller did not get the end of an answer that counts as one of the above
)

// maxReservedLost bounds the lines of lost answers that are taken from the log's reserve.
const maxReservedLost = 512

const msgLostAnswer = "Caller does not get the answer's end."

type (
	// stopLog logs and counts what a planned stop of the entry does to requests.
	stopLog struct {
		entry   *Entry
		metrics *stopMetrics
		begun   atomic.Int64 // running requests whose answer has begun

		mu       sync.Mutex
		schedule drain.Schedule // zero before the stop
		logged   drain.Phase    // the last one that has a line
		outcomes map[string]int // requests that ended since the signal, and lost answers
	}

	// stopTimes are the phase of a stop and how far it has come.
	stopTimes struct {
		phase      drain.Phase
		since      time.Duration // since the signal
		left       time.Duration // until the exit
		signaledAt time.Time
	}

	// expectation is how long a request may well take from the time on at which it is passed on,
	// 0 if that is unknown, and what that is based on.
	expectation struct {
		longest time.Duration
		basis   drain.Basis
	}
)

var (
	phaseMessages = map[drain.Phase]logs.Reserved{
		drain.Delisted: "Entry drains.", drain.Closed: "Entry takes no more requests.", drain.Ending: "Entry ends what still runs.", drain.Exit: "Entry exits.",
	}
	outcomeMessages = map[string]any{
		stopRefused:  "Request is refused by the stop.",
		stopFinished: "Request finishes in the stop.",
		stopGivenUp:  logs.Reserved("Request is given up by the stop."),
		stopCut:      logs.Reserved("Request is cut by the stop."),
		stopFailed:   logs.Reserved("Request fails in the stop."), // only after its answer began
	}
)

func newStopLog(e *Entry) *stopLog {
	return &stopLog{entry: e, metrics: newStopMetrics(), outcomes: make(map[string]int)}
}

// LogExit logs that the process exits, with what its planned stop did to requests. It logs
// nothing if there was none.
func (e *Entry) LogExit() { e.stopLog.enter(drain.Exit) }

// begin logs the begin of a stop, and its ending phase unless the context ends before.
func (s *stopLog) begin(ctx context.Context, schedule drain.Schedule) {
	s.mu.Lock()
	s.schedule = schedule
	s.mu.Unlock()
	s.enter(drain.Delisted)
	c := s.entry.cfg.Clock
	go func() {
		select {
		case <-c.After(schedule.Ends().Sub(c.Now())):
			s.enter(drain.Ending)
		case <-ctx.Done():
		}
	}()
}

// enter logs a phase when it begins. Before a stop, and once the phase or a later one has a line,
// it does nothing.
func (s *stopLog) enter(phase drain.Phase) {
	s.mu.Lock()
	if s.schedule.IsZero() || phase <= s.logged {
		s.mu.Unlock()
		return
	}
	s.logged = phase
	s.mu.Unlock()
	s.logPhase(phase)
}

func (s *stopLog) logPhase(phase drain.Phase) {
	e, now := s.entry, s.entry.cfg.Clock.Now()
	s.mu.Lock()
	keyvals := []any{
		"msg", phaseMessages[phase], "id", e.cfg.ID, "phase", phase, "since", now.Sub(s.schedule.Signaled()), "exit_in", s.schedule.Exits().Sub(now),
		"running", e.inFlight.Load(), "waiting", e.engineAdmission.waitingCount() + e.plainAdmission.waitingCount(), "begun", s.begun.Load(),
		"relayed", e.forwarder.detours.relayedCount(),
	}
	for _, outcome := range []string{stopRefused, stopFinished, stopGivenUp, stopCut, stopFailed, stopLost} {
		keyvals = append(keyvals, outcome, s.outcomes[outcome])
	}
	s.mu.Unlock()
	s.metrics.enter(phase)
	e.cfg.Logger.Log(keyvals...)
}

// times returns how far the stop has come, ok false without a stop.
func (s *stopLog) times(now time.Time) (t stopTimes, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.schedule.IsZero() {
		return stopTimes{}, false
	}
	return stopTimes{phase: s.schedule.Phase(now), since: now.Sub(s.schedule.Signaled()), left: s.schedule.Exits().Sub(now), signaledAt: s.schedule.Signaled()}, true
}

// isEnding reports whether requests are ended, with a failure or a cut.
func (t stopTimes) isEnding() bool { return t.phase >= drain.Ending }

// timeLeft returns the time until the exit, 0 without a stop and after it.
func (s *stopLog) timeLeft() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.schedule.IsZero() {
		return 0
	}
	return max(s.schedule.Exits().Sub(s.entry.cfg.Clock.Now()), 0)
}

// count counts an outcome and returns how often it was counted.
func (s *stopLog) count(t stopTimes, outcome string) int {
	s.mu.Lock()
	s.outcomes[outcome]++
	n := s.outcomes[outcome]
	s.mu.Unlock()
	s.metrics.ended(t.phase, outcome)
	return n
}

// RecordLostAnswer logs an answer that was finished here and whose caller did not get its end, and
// counts it if the entry stops.
func (e *Entry) RecordLostAnswer(a httpd.LostAnswer) {
	line := []any{"msg", msgLostAnswer, "id", a.Request, "end", a.End, "missing", a.Left, "entry", e.cfg.ID}
	if t, ok := e.stopLog.times(e.cfg.Clock.Now()); ok {
		if e.stopLog.count(t, stopLost) <= maxReservedLost {
			line[1] = logs.Reserved(msgLostAnswer)
		}
		line = append(line, "phase", t.phase, "since", t.since, "exit_in", t.left)
	}
	level.Warn(e.cfg.Logger).Log(line...)
}

// logRejected logs and counts a request that is rejected before it is placed. It reports whether
// the stop is the reason.
func (s *stopLog) logRejected(req forward.Request, routeName string, f *forward.Failure) bool {
	now := s.entry.cfg.Clock.Now()
	t, ok := s.times(now)
	if !ok {
		return false
	}
	outcome := stopFailed
	switch {
	case f.Code == forward.Draining:
		outcome = stopRefused
	case f.Code == forward.BadRequest && t.isEnding(): // its body did not arrive
		outcome = stopCut
	}
	s.count(t, outcome)
	if outcome == stopFailed {
		return false
	}
	s.logRequest(outcome, t, []any{"id", req.ID, "code", f.Code, "why", f.Detail}, "route", routeName, "path", req.Path,
		"expected", time.Duration(0), "basis", drain.Unknown, "begun", false, "age", now.Sub(req.Arrived))
	return true
}

// logRequest logs what the stop did to a request. The head names the request and the cause, as
// readers may keep only the begin of a line.
func (s *stopLog) logRequest(outcome string, t stopTimes, head []any, keyvals ...any) {
	logger := level.Warn(s.entry.cfg.Logger)
	if outcome == stopFinished {
		logger = level.Debug(s.entry.cfg.Logger)
	}
	line := append([]any{"msg", outcomeMessages[outcome]}, head...)
	line = append(line, "entry", s.entry.cfg.ID, "stop", outcome, "phase", t.phase, "since", t.since, "exit_in", t.left)
	logger.Log(append(line, keyvals...)...)
}

// expect records what the decision to pass the request on was based on.
func (x *activeRequest) expect(longest time.Duration, basis drain.Basis) {
	x.expectation = expectation{longest, basis}
}

// basisOf returns the basis of a duration that was taken from the route's history.
func basisOf(history time.Duration) drain.Basis {
	if history == 0 {
		return drain.Unknown
	}
	return drain.History
}

// logStop logs and counts how the request ended if the entry stops. One that fails for other
// reasons before its answer begins has only the line of every request. The context is the request's.
func (x *activeRequest) logStop(ctx context.Context, err error) {
	s, now := x.forwarder.entry.stopLog, x.now()
	if x.hasAnswer() {
		s.begun.Add(-1)
	}
	t, ok := s.times(now)
	if !ok {
		return
	}
	outcome := x.stopOutcome(t, err, errors.Is(context.Cause(ctx), context.Canceled))
	s.count(t, outcome)
	if outcome == stopFailed && !x.hasAnswer() {
		return
	}
	sentSince := ""
	if !x.sentAt.IsZero() {
		sentSince = x.sentAt.Sub(t.signaledAt).String()
	}
	s.logRequest(outcome, t, x.endFields(err), "spent", x.spent, "route", x.route.Name, "expected", x.expectation.longest, "basis", x.expectation.basis, "sent_since", sentSince,
		"begun", x.hasAnswer(), "srv", x.lastServer(), "silent", x.silence(now), "send", x.sends, "events", x.events, "last", x.lastEventID,
		"age", now.Sub(x.req.Arrived), "left", x.deadline.Sub(now))
}

// stopOutcome returns how the request ended as to the stop. Gone means that its caller's
// connection is closed.
func (x *activeRequest) stopOutcome(t stopTimes, err error, gone bool) string {
	failed := err != nil || x.callerCut
	failure, _ := asFailure(err)
	switch {
	case errors.Is(err, errAborted), t.isEnding() && failed && (gone || x.hasAnswer()), x.deniedByStop && failed && x.hasAnswer():
		return stopCut
	case failure != nil && failure.Code == forward.Draining:
		return stopRefused
	case x.deniedByStop, t.isEnding() && failed:
		return stopGivenUp
	case failed:
		return stopFailed
	}
	return stopFinished
}

// hasAnswer reports whether the head of an answer was sent to the caller.
func (x *activeRequest) hasAnswer() bool { return x.callerMark != "" }

// silence returns for how long the server of the last attempt has sent nothing of its answer.
func (x *activeRequest) silence(now time.Time) time.Duration {
	if x.sentAt.IsZero() {
		return 0
	}
	if x.heardAt.IsZero() {
		return now.Sub(x.sentAt)
	}
	return now.Sub(x.heardAt)
}

// lastServer returns the server that the request was last sent to, or that answered it.
func (x *activeRequest) lastServer() string {
	if n := len(x.tried); n > 0 {
		return x.tried[n-1]
	}
	return x.server
}
