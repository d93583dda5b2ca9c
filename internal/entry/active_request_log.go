package entry

import (
	"strings"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"rosereach/core/backend"
	"rosereach/core/forward"
	"rosereach/core/health"
)

// noAnswer stands in the log for an attempt that was sent and got no answer.
const noAnswer = "none"

// All log lines about a request carry its ID. docs/OPERATIONS.md lists the
// fields. Keys and bodies are never logged.

// logAdmitted logs that the request left the queue, and how long it waited.
func (x *activeRequest) logAdmitted(arrived time.Time) {
	now := x.now()
	level.Debug(x.log()).Log("msg", "Request is admitted.", "id", x.req.ID, "route", x.route.Name, "ws", x.workspace.Name,
		"sess", x.req.Session, "digest", x.digest, "prio", x.priority(), "plan", x.revision(), "waited", now.Sub(arrived), "left", x.deadline.Sub(now),
		"input", x.req.InputTokens, "output", x.req.OutputTokens)
}

// logRejected logs why a request is not run.
func (e *Entry) logRejected(req forward.Request, routeName string, f *forward.Failure) {
	if e.stopLog.logRejected(req, routeName, f) {
		return
	}
	level.Warn(e.cfg.Logger).Log("msg", "Request is rejected.", "id", req.ID, "path", req.Path, "code", f.Code, "why", f.Detail,
		"plan", e.catalog.Load().Revision(), "retry", f.RetryAfter, "running", e.inFlight.Load(),
		"waiting", e.engineAdmission.waitingCount()+e.plainAdmission.waitingCount())
}

// logPlaced logs the server of an attempt and the facts behind the choice.
func (x *activeRequest) logPlaced(a *attempt) {
	level.Debug(x.log()).Log("msg", "Attempt is placed.", "id", x.req.ID, "send", x.sends, "srv", a.server.ID, "addr", a.server.Address,
		"rel", a.server.Release, "model", x.model, "exp", a.expected, "unread", a.uncachedTokens, "of", a.candidates, "home", a.homeRank, "tried", len(x.tried),
		"last", x.lastEventID, "roster", a.rosterVersion, "running", a.server.Load.Running, "waiting", a.server.Load.Queued, "load_age", a.loadAge(), "plan", x.revision())
}

// logEscalation logs that a larger model is asked.
func (x *activeRequest) logEscalation(a *attempt, lateRisk, meanQueued float64) {
	level.Debug(x.log()).Log("msg", "Larger model is asked.", "id", x.req.ID, "srv", a.server.ID, "sure", a.head.Confidence,
		"late", lateRisk, "crowd", meanQueued, "model", x.model)
}

// logStatus logs what a silent engine reports about itself.
func (x *activeRequest) logStatus(server backend.Announcement, s forward.ServerStatus, err error) {
	level.Debug(x.log()).Log("msg", "Silent engine is asked for its status.", "id", x.req.ID, "srv", server.ID, "running", s.Running, "waiting", s.Queued,
		"runs", s.RunsRequest, "holds", err == nil && s.HoldsRequest(), "err", err)
}

// logSilence logs the decision about a silent attempt.
func (x *activeRequest) logSilence(a *attempt, s forward.Silence, next *attempt, why noSuccessor, d forward.SilenceDecision) {
	successor, expected := "", time.Duration(0)
	if next != nil {
		successor, expected = next.server.ID, next.expected
	}
	level.Warn(x.log()).Log("msg", "Silent attempt is judged.", "id", x.req.ID, "srv", a.server.ID, "next", successor, "why", why, "silent", s.Duration, "model", x.model,
		"hard", s.Hard, "alive", s.SignOfLife, "holds", s.Holds, "begun", s.Begun, "last", x.lastEventID, "next_exp", expected,
		"run", x.runs, "tried", len(x.tried), "left", x.deadline.Sub(x.now()), "decision", d)
}

// logUnreachable logs that a server that was to take a request over accepts no connection.
func (x *activeRequest) logUnreachable(a *attempt, err error) {
	level.Warn(x.log()).Log("msg", "Successor cannot be reached.", "id", x.req.ID, "srv", a.server.ID, "addr", a.server.Address, "err", err)
}

// logMoved logs that a request leaves an engine's queue for a shorter one.
func (x *activeRequest) logMoved(a, next *attempt, s forward.ServerStatus, expected time.Duration) {
	level.Debug(x.log()).Log("msg", "Request moves to a shorter queue.", "id", x.req.ID, "srv", a.server.ID, "waiting", s.Queued, "exp", expected,
		"next", next.server.ID, "next_exp", next.expected, "load_age", next.loadAge())
}

// logRestrained logs that a request is rejected because its servers want no requests, and
// the words of some of them.
func (x *activeRequest) logRestrained(p prospect, order int) {
	for id, word := range p.words {
		level.Debug(x.log()).Log("msg", "Request is kept from a backend server.", "id", x.req.ID, "srv", id, "word_by", word.HeldBy,
			"word_age", x.now().Sub(word.HeldSince), "until", word.HeldUntil, "room_in", p.wait, "places", p.places, "order", order)
	}
}

// logWithheld logs that an attempt was placed at a server and not sent there, and the word
// of the server that forbids it.
func (x *activeRequest) logWithheld(a *attempt, word health.Restraint) {
	since, by := word.HeldSince, word.HeldBy
	if !word.LeavingSince.IsZero() {
		since, by = word.LeavingSince, word.LeavingBy
	}
	var age time.Duration
	if !since.IsZero() {
		age = x.now().Sub(since)
	}
	level.Debug(x.log()).Log("msg", "Attempt is withheld.", "id", x.req.ID, "srv", a.server.ID, "why", a.withheld, "word_by", by, "word_age", age)
}

// logFailedAttempt logs an attempt that got no answer. Escalations and withheld attempts
// have lines of their own.
func (x *activeRequest) logFailedAttempt(a *attempt, o forward.Outcome, err error) {
	if errors.Is(err, errLowConfidence) || a.withheld != "" {
		return
	}
	level.Warn(x.log()).Log("msg", "Attempt brings no answer.", "id", x.req.ID, "out", o, "answer", a.answerText(), "run", x.runs, "of", x.route.MaxAttempts, "err", err,
		"srv", a.server.ID, "begun", x.headSent, "last", x.lastEventID, "send", x.sends, "took", x.now().Sub(a.startedAt), "route", x.route.Name, "model", x.model)
}

// logEnd logs the result of the request.
func (x *activeRequest) logEnd(err error) {
	logger := level.Debug(x.log())
	if err != nil || x.fallback != nil && x.server == "" {
		logger = level.Warn(x.log())
	}
	line := append([]any{"msg", "Request ends."}, x.endFields(err)...)
	logger.Log(append(line, "srv", x.server, "begun", x.headSent, "last", x.lastEventID, "events", x.events, "send", x.sends, "took", x.now().Sub(x.req.Arrived),
		"route", x.route.Name, "ws", x.workspace.Name, "sess", x.req.Session, "model", x.model, "output", x.req.OutputTokens, "exp", x.expected, "first", x.firstByte,
		"unread", x.uncachedTokens)...)
}

// endFields returns the id and what tells why the request ended as it did: the first fields of a
// line, as readers may keep only its begin.
func (x *activeRequest) endFields(err error) []any {
	return []any{"id", x.req.ID, "caller", x.callerEnd(err), "err", err, "answers", strings.Join(x.answers, ","), "run", x.runs, "of", x.route.MaxAttempts}
}

// callerEnd returns what marks the end of the answer that the caller got, and whether it is
// cut, empty if none was begun.
func (x *activeRequest) callerEnd(err error) string {
	switch {
	case x.callerMark == "":
		return ""
	case err != nil || x.callerCut:
		return x.callerMark + ":cut"
	}
	return x.callerMark + ":whole"
}

func (x *activeRequest) log() log.Logger  { return x.forwarder.entry.cfg.Logger }
func (x *activeRequest) now() time.Time   { return x.forwarder.entry.cfg.Clock.Now() }
func (x *activeRequest) revision() uint64 { return x.forwarder.entry.catalog.Load().Revision() }

// answerText returns the attempt's answer for the log, empty if none has begun.
func (a *attempt) answerText() string {
	if a.answer.Status == 0 {
		return ""
	}
	return a.answer.String()
}

// loadAge returns the age of the server's load report when the attempt was
// placed, 0 without a report.
func (a *attempt) loadAge() time.Duration {
	if a.server.Load.MeasuredAt.IsZero() {
		return 0
	}
	return a.placedAt.Sub(a.server.Load.MeasuredAt)
}
