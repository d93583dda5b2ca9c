package entry

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"rosereach/core/ledger"
	"rosereach/core/request"
	"rosereach/core/state"
	iobackend "rosereach/io/backend"
)

// minRecordWait is the minimum time that a caller waits for the end record of a
// complete answer, even if its deadline is closer.
const minRecordWait = time.Second

// finish records the end of a request durably and then ends it for its callers.
// The end record is also the bill: if it cannot be delivered before the callers'
// deadline, delivery goes on for as long as the entry runs.
func (e *Entry) finish(x *execution, a request.Answer, price int64, free bool) {
	now := e.cfg.Clock.Now()
	wait := max(x.req.Deadline.Sub(now), minRecordWait)
	late := e.cfg.Clock.AfterFunc(wait, func() {
		x.end(a, request.NewUnknown(request.CodeLedgerUnavailable, "the end of the request is not recorded yet; ask again").
			WithRetryAfter(resendRetryAfter))
	})
	defer late.Stop()
	reply, err := e.recordEnd(x, a, price, free)
	x.end(a, e.checkRecorded(x, a, reply, err))
	e.executions.remove(x)
}

// checkRecorded returns nil if the ledger recorded the answer as the request's
// end.
func (e *Entry) checkRecorded(x *execution, a request.Answer, reply ledger.Reply, err error) error {
	if err != nil {
		return request.NewUnknown(request.CodeLedgerUnavailable, "the end of the request could not be recorded: "+err.Error())
	}
	if reply.Status != ledger.Finished || reply.Answer.Outcome != a.Outcome {
		return request.NewUnknown(request.CodeLedgerUnavailable, "the ledger closed the request while it was running")
	}
	return x.fire(request.Finish)
}

func (e *Entry) recordEnd(x *execution, a request.Answer, price int64, free bool) (ledger.Reply, error) {
	f := ledger.Finish{
		Key: x.key(), Owner: e.owner(), Answer: a, Price: price, Free: free, At: e.cfg.Clock.Now().UTC(),
	}
	began := e.cfg.Clock.Now()
	reply, err := e.ledgerBatcher.deliver(e.ctx, state.Command{Finish: &f})
	if err != nil {
		level.Error(e.cfg.Logger).Log("msg", "Failed to record the end of a request.", "request", x.req.ID, "err", err)
		return reply, err
	}
	e.meter.finish(f, e.cfg.Clock.Now().Sub(began))
	return reply, nil
}

// failRequest ends the request immediately and without an answer. Its state
// machine decides whether the outcome is not_run or unknown. Callers get unknown in
// place of not_run as well if they chose the request's ID and the ledger has not
// replied to its begin record, as the request may have run before. The end record is
// delivered in the background; b is nil when no begin record was sent.
func (e *Entry) failRequest(x *execution, b *beginRecord, cause error) {
	refusal := e.refusalFor(x, cause)
	trigger := request.Lose
	if refusal.Outcome == request.NotRun {
		trigger = request.Refuse
	}
	if err := x.fire(trigger); err != nil && !mayHaveRunElsewhere(refusal) {
		level.Error(e.cfg.Logger).Log("msg", "Invalid state transition at the end of a request.", "request", x.req.ID, "err", err)
	}
	a := request.Answer{Outcome: refusal.Outcome, Code: refusal.Code}
	if b == nil {
		x.end(a, refusal)
		e.executions.remove(x)
		return
	}
	if refusal.Outcome == request.NotRun && x.req.IDFromCaller && !b.provesFirstRun() {
		refusal = unknownRefusal(refusal).WithRetryAfter(resendRetryAfter)
	}
	x.end(request.Answer{Outcome: refusal.Outcome, Code: refusal.Code}, refusal)
	go func() {
		defer e.executions.remove(x)
		<-b.done
		if b.isOwned() {
			e.recordEnd(x, a, 0, true) //nolint:errcheck // it is logged
		}
	}()
}

// refusalFor returns the refusal that callers get for a failure. Its outcome follows
// from the request's state here. Only a request that may have run elsewhere keeps the
// outcome that cause gives, as its state here doesn't tell.
func (e *Entry) refusalFor(x *execution, cause error) *request.Refusal {
	outcome := x.outcome()
	var refusal *request.Refusal
	if errors.As(cause, &refusal) {
		r := *refusal
		if !mayHaveRunElsewhere(refusal) {
			r.Outcome = outcome
		}
		return &r
	}
	r := request.Refusal{Outcome: outcome, Code: request.CodeBackendFailed, Detail: cause.Error(), RetryAfter: resendRetryAfter}
	switch {
	case errors.Is(context.Cause(x.ctx), errCallerGone):
		r.Code, r.Detail = request.CodeCallerGone, "the caller left before the request ended"
	case errors.Is(x.ctx.Err(), context.DeadlineExceeded):
		r.Code, r.Detail = request.CodeDeadlinePassed, "the deadline passed before the request ended"
	case x.tokenCount() > 0:
		r.Code = request.CodeAnswerCut
	}
	return &r
}

// replayRecorded ends a resent request with the answer that was recorded for
// it.
func (e *Entry) replayRecorded(x *execution, a request.Answer) {
	a.Repeated = true
	x.loadRecorded(a)
	switch {
	case a.Outcome != request.Done:
		x.end(a, request.NewUnknown(a.Code, "the request ended before with outcome "+string(a.Outcome)))
	case a.Code == request.CodeAnswerNotKept:
		x.end(a, &request.Refusal{Outcome: request.Done, Code: a.Code, Detail: "the request is done; its answer was not kept"})
	default:
		x.end(a, nil)
	}
	e.executions.remove(x)
}

// mayHaveRunElsewhere reports whether the request may have run earlier or at
// another entry, so that its state here does not determine its outcome.
func mayHaveRunElsewhere(r *request.Refusal) bool {
	return r.Code == request.CodeRunningElsewhere || r.Code == request.CodeIDExpired
}

// isProvenNotRun reports whether the attempt is known not to have run.
func isProvenNotRun(err error) bool {
	var attempt *iobackend.AttemptError
	return errors.As(err, &attempt) && attempt.Outcome == request.NotRun
}

func isRefusal(err error) bool {
	var r *request.Refusal
	return errors.As(err, &r)
}
