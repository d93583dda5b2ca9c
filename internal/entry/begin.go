package entry

import (
	"context"
	"time"

	"github.com/juju/errors"

	"rosereach/core/ledger"
	"rosereach/core/request"
	iobackend "rosereach/io/backend"
	"rosereach/io/caller"
)

// resendRetryAfter is when to ask again for a request that still runs.
const resendRetryAfter = time.Second

// beginning is a begin record on its way to the ledger.
type beginning struct {
	done  chan struct{}
	reply ledger.Reply
	err   error
}

// beginBeside starts the begin record of a request that may be repeated; the
// request is dispatched beside it.
func (e *Entry) beginBeside(ctx context.Context, req request.Request) *beginning {
	b := &beginning{done: make(chan struct{})}
	record := e.beginRecord(req)
	go func() {
		defer close(b.done)
		b.reply, b.err = e.link.begin(context.WithoutCancel(ctx), record)
	}()
	return b
}

// beginBefore waits for the begin record of a request that must not be
// dispatched without it.
func (e *Entry) beginBefore(ctx context.Context, req request.Request) (*beginning, error) {
	b := e.beginBeside(ctx, req)
	return b, b.wait(ctx)
}

// wait returns nil once the request is recorded as new.
func (b *beginning) wait(ctx context.Context) error {
	select {
	case <-b.done:
	case <-ctx.Done():
		return request.NewUnknown(request.CodeLedger, "the deadline passed while the request was recorded")
	}
	if b.err != nil {
		return request.NewUnknown(request.CodeLedger, b.err.Error()).WithRetryAfter(resendRetryAfter)
	}
	switch b.reply.Status {
	case ledger.New:
		return nil
	case ledger.Mismatch:
		return request.NewNotRun(request.CodeBodyMismatch, "the request id was used for another request")
	case ledger.Expired:
		return request.NewNotRun(request.CodeIDExpired, "the request id is older than the ledger's horizon")
	case ledger.Finished:
		return request.NewUnknown(request.CodeAnswerNotKept, "the request has ended before")
	}
	return request.NewUnknown(request.CodeRunningElsewhere, "the request runs at "+b.reply.Owner.Entry).
		WithRetryAfter(resendRetryAfter)
}

// replay returns the recorded answer when the request had ended before.
func (b *beginning) replay() *request.Answer {
	<-b.done
	if b.err == nil && b.reply.Status == ledger.Finished {
		return b.reply.Answer
	}
	return nil
}

// isOwned reports whether the begin record was taken for this request.
func (b *beginning) isOwned() bool {
	<-b.done
	return b.err == nil && b.reply.Status == ledger.New
}

// fail records how a request failed and returns its refusal.
func (e *Entry) fail(ctx context.Context, req request.Request, b *beginning, cause error) error {
	refusal := refusalFor(cause)
	if !b.isOwned() {
		return refusal
	}
	a := request.Answer{Outcome: refusal.Outcome, Code: refusal.Code}
	if _, err := e.record(ctx, req, a, 0, true); err != nil {
		e.cfg.Logger.Log("msg", "End of a request is not recorded.", "request", req.ID, "err", err)
	}
	return refusal
}

// refusalFor returns what to tell the caller about a failure.
func refusalFor(cause error) *request.Refusal {
	var refusal *request.Refusal
	if errors.As(cause, &refusal) {
		return refusal
	}
	var attempt *iobackend.AttemptError
	if errors.As(cause, &attempt) && attempt.Outcome == request.NotRun {
		return request.NewNotRun(request.CodeBackendFailed, cause.Error()).WithRetryAfter(resendRetryAfter)
	}
	if errors.Is(cause, context.DeadlineExceeded) {
		return request.NewUnknown(request.CodeDeadline, "the deadline passed while the request ran")
	}
	return request.NewUnknown(request.CodeBackendFailed, cause.Error())
}

// repeat gives a resend the answer that was recorded for the request.
func (e *Entry) repeat(a request.Answer, sink caller.Sink) (request.Answer, error) {
	a.Repeated = true
	if a.Outcome != request.Done {
		return a, request.NewUnknown(a.Code, "the request ended before with outcome "+string(a.Outcome))
	}
	if a.Code == request.CodeAnswerNotKept {
		return a, &request.Refusal{Outcome: request.Done, Code: a.Code, Detail: "the request is done; its answer was too large to keep"}
	}
	if sink != nil && len(a.Body) > 0 {
		if err := sink.Text(a.Version, 0, string(a.Body)); err != nil {
			return a, errors.Trace(err)
		}
	}
	return a, nil
}
