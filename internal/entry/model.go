package entry

import (
	"context"

	"github.com/juju/errors"

	"rosereach/core/backend"
	"rosereach/core/placement"
	"rosereach/core/request"
	"rosereach/core/version"
	iobackend "rosereach/io/backend"
	"rosereach/io/caller"
)

// brokenStream identifies a stream that broke off: the engine, and the engine's
// ID of the run, empty if the stream cannot be resumed there.
type brokenStream struct {
	server backend.Announcement
	run    string
}

// Complete runs a model request and streams its text to the sink. The answer is
// returned once it is recorded. The error is a *request.Refusal.
func (e *Entry) Complete(ctx context.Context, req request.Request, sink caller.Sink) (request.Answer, error) {
	return e.execute(ctx, req, sink, e.runModel)
}

// runModel dispatches the request in parallel with delivering its begin record.
// Nothing is shown to callers before the record is durable.
func (e *Entry) runModel(x *execution) {
	ref, err := e.chooseVersion(x.req)
	if err != nil {
		e.refuse(x, err)
		return
	}
	ctx, stop := context.WithCancelCause(x.ctx)
	defer stop(nil)
	b := e.begin(x, func(owned bool) {
		if owned {
			x.makeVisible()
			return
		}
		stop(errNotOwned)
	})
	answer, err := e.runAttempts(ctx, x, ref)
	b, recorded, ownErr := e.awaitOwnershipAfter(x, b, err)
	switch {
	case recorded != nil:
		e.replayRecorded(x, *recorded)
		return
	case ownErr != nil:
		e.failRequest(x, b, ownErr)
		return
	}
	rerun := err != nil && errors.Is(context.Cause(ctx), errNotOwned) && x.ctx.Err() == nil
	if rerun {
		x.discardTokens()
	}
	x.makeVisible()
	if rerun {
		answer, err = e.runAttempts(x.ctx, x, ref)
	}
	if err != nil {
		e.failRequest(x, b, err)
		return
	}
	e.creditRetryBudget(x)
	e.finish(x, answer, e.price(ref, answer.Usage), false)
}

// awaitOwnershipAfter waits for the ledger's reply after the attempts. If they
// failed for good, the wait is at most ownershipTimeout; without a reply, their
// failure is returned.
func (e *Entry) awaitOwnershipAfter(x *execution, b *beginRecord, failure error) (*beginRecord, *request.Answer, error) {
	if failure == nil || errors.Is(failure, errNotOwned) {
		return e.awaitOwnership(x.ctx, x, b)
	}
	ctx, cancel := context.WithTimeout(x.ctx, ownershipTimeout)
	defer cancel()
	b, recorded, err := e.awaitOwnership(ctx, x, b)
	if err != nil && !isRefusal(err) {
		err = failure
	}
	return b, recorded, err
}

// runAttempts sends the request until it has a complete answer. An answer that
// broke off is resumed at its engine, or continued after its text at another
// engine.
func (e *Entry) runAttempts(ctx context.Context, x *execution, ref version.Ref) (request.Answer, error) {
	var (
		resume brokenStream
		tried  []string
		last   error
	)
	retry := retryPermit{entry: e, execution: x}
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		if attempt > 1 && !retry.await(ctx, attempt-1) {
			return request.Answer{}, last
		}
		c, call, err := e.placeAttempt(x, ref, resume, tried)
		if err != nil {
			return request.Answer{}, firstFailure(x, last, err)
		}
		call.Attempt = attempt
		call.OnStall = func() bool {
			return attempt < maxAttempts && e.hasEngine(x.req, ref) && retry.take()
		}
		end, err := e.streamAttempt(ctx, x, c, call)
		if err == nil {
			return x.completeAnswer(ref, c.server.ID, end.Usage), nil
		}
		last = attemptError(ctx, err)
		resume = brokenStream{}
		if call.RunID == "" {
			resume = brokenStream{server: c.server, run: end.RunID}
		}
		tried = append(tried, c.server.ID)
	}
	return request.Answer{}, last
}

// placeAttempt claims the engine for the next attempt: the one where the answer
// broke off if it can resume, else another one.
func (e *Entry) placeAttempt(x *execution, ref version.Ref, resume brokenStream, tried []string) (*claim, iobackend.ChatCall, error) {
	call := iobackend.ChatCall{
		RequestID: x.req.ID, Deadline: x.req.Deadline, Priority: x.req.Priority, Version: ref,
		Messages: x.req.Messages, MaxTokens: x.req.MaxTokens, Offset: x.tokenCount(),
	}
	if resume.run != "" && call.Offset > 0 {
		if c, err := e.reclaim(x.req, target{ref: ref}, resume.server); err == nil {
			call.Address, call.RunID = c.server.Address, resume.run
			return c, call, x.fire(request.Dispatch)
		}
	}
	demand := placement.Demand{
		InputTokens: int64(len(x.req.Body) / bytesPerToken), OutputTokens: x.req.MaxTokens, Priority: x.req.Priority,
	}
	c, err := e.dispatchPreferUntried(x.req, target{ref: ref}, tried, demand)
	if err != nil {
		return c, call, err
	}
	call.Address = c.server.Address
	if call.Offset > 0 {
		call.Prefix = x.text()
	}
	return c, call, x.fire(request.Dispatch)
}

// hasEngine reports whether an engine could take the request over.
func (e *Entry) hasEngine(req request.Request, ref version.Ref) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.cfg.Clock.Now()
	return e.checkLease(now) == nil && e.checkPermission(req, target{ref: ref}) == nil && len(e.registry.Engines(now, ref)) > 0
}

// dispatchPreferUntried dispatches to a server that was not tried yet, or to a
// tried one if there is no other.
func (e *Entry) dispatchPreferUntried(req request.Request, t target, tried []string, demand placement.Demand) (*claim, error) {
	c, err := e.dispatch(req, t, tried, demand)
	var refusal *request.Refusal
	if len(tried) > 0 && errors.As(err, &refusal) && refusal.Code == request.CodeNoBackend {
		return e.dispatch(req, t, nil, demand)
	}
	return c, err
}

// reclaim claims another attempt at the same server, with the same checks as
// dispatch.
func (e *Entry) reclaim(req request.Request, t target, server backend.Announcement) (*claim, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkAttempt(req, t, server); err != nil {
		return nil, err
	}
	return e.claimAttempt(req, t, server, 0), nil
}

func (e *Entry) streamAttempt(ctx context.Context, x *execution, c *claim, call iobackend.ChatCall) (iobackend.StreamEnd, error) {
	defer c.release()
	call.Gate = c
	end, err := e.backends.Stream(ctx, call, func(p iobackend.Piece) error { return x.appendPiece(call.Version, p) })
	if err == nil && end.Tokens != x.tokenCount() {
		err = errors.Errorf("received %d tokens, but the engine reports %d", x.tokenCount(), end.Tokens)
	}
	if err == nil {
		return end, nil
	}
	if ctx.Err() != nil {
		go e.backends.Cancel(e.ctx, call.Address, call.RequestID) //nolint:errcheck,contextcheck // the request's own context has ended
	}
	return end, x.failAttempt(err)
}

// failAttempt records the failure of an attempt in the state machine and
// returns its error.
func (x *execution) failAttempt(err error) error {
	trigger := request.Retry
	if isProvenNotRun(err) {
		trigger = request.Requeue
	}
	if fireErr := x.fire(trigger); fireErr != nil {
		return fireErr
	}
	return err
}

// attemptError returns the error of an attempt, errNotOwned if it was canceled for
// that reason.
func attemptError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); errors.Is(cause, errNotOwned) {
		return cause
	}
	return err
}

// firstFailure returns the failure of the last attempt if that may have run, else
// the refusal of the next one.
func firstFailure(x *execution, last, refusal error) error {
	if last == nil || x.outcome() == request.NotRun {
		return refusal
	}
	return last
}

func (e *Entry) price(ref version.Ref, u request.Usage) int64 {
	v := e.catalog.Load().Documents().Versions[ref.String()]
	return v.Price(u.InputTokens, u.OutputTokens)
}
