package entry

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"rosereach/core/ledger"
	"rosereach/core/limit"
	"rosereach/core/placement"
	"rosereach/core/request"
	"rosereach/core/version"
	iobackend "rosereach/io/backend"
	"rosereach/io/caller"
)

const (
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 3

	// bytesPerToken estimates the tokens of a prompt from its length.
	bytesPerToken = 4
)

// Complete runs a model request and passes its text to the sink. The answer is
// returned once it is recorded; the error is a *request.Refusal.
func (e *Entry) Complete(ctx context.Context, req request.Request, sink caller.Sink) (request.Answer, error) {
	leave, err := e.admit(ctx, req)
	if err != nil {
		return request.Answer{}, err
	}
	defer leave()
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	ref, err := e.choose(req)
	if err != nil {
		return request.Answer{}, err
	}
	begun := e.beginBeside(ctx, req)
	out := &output{sink: sink, begun: func(ctx context.Context) error { return begun.wait(ctx) }}
	answer, err := e.attempts(ctx, req, ref, out)
	if replay := begun.replay(); replay != nil {
		return e.repeat(*replay, sink)
	}
	if err == nil {
		err = begun.wait(ctx)
	}
	if err != nil {
		return request.Answer{}, e.fail(ctx, req, begun, err)
	}
	return e.record(ctx, req, answer, e.priceOf(ref, answer.Usage), false)
}

// admit takes the request into the entry or refuses it.
func (e *Entry) admit(ctx context.Context, req request.Request) (func(), error) {
	if e.closed.Load() {
		return nil, request.NewNotRun(request.CodeDraining, "this entry is stopping; use another entry").
			WithAddresses(e.addresses(e.cfg.Region, e.cfg.Zone))
	}
	policy, err := e.catalog.Load().Policy(req.Workspace)
	if err != nil {
		return nil, refusalOf(err, req)
	}
	leave, err := e.gate.enter(ctx, e.cfg.Clock, limit.Ticket{
		Workspace: req.Workspace, Weight: max(policy.Weight, 1), Priority: req.Priority, Deadline: req.Deadline,
	})
	if err != nil {
		return nil, err
	}
	e.active.Add(1)
	return func() {
		leave()
		e.active.Done()
	}, nil
}

// attempts sends the request until an answer is whole. An answer that broke
// is resumed on its own engine, or continued behind its text on another.
func (e *Entry) attempts(ctx context.Context, req request.Request, ref version.Ref, out *output) (request.Answer, error) {
	var (
		tried []string
		last  error
	)
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		demand := placement.Demand{InputTokens: int64(len(req.Body) / bytesPerToken), OutputTokens: req.MaxTokens, Priority: req.Priority}
		c, err := e.dispatch(req, target{ref: ref}, tried, demand)
		if err != nil {
			return request.Answer{}, firstFailure(last, err)
		}
		end, err := e.stream(ctx, req, ref, c, attempt, out)
		if err == nil {
			return out.answer(ref, c.server.ID, end.Usage), nil
		}
		if ctx.Err() != nil || out.gone != nil || isRefusal(err) {
			return request.Answer{}, err
		}
		last = err
		tried = append(tried, c.server.ID)
	}
	return request.Answer{}, last
}

func (e *Entry) stream(ctx context.Context, req request.Request, ref version.Ref, c claim, attempt int, out *output) (iobackend.End, error) {
	defer c.release()
	call := iobackend.Call{
		Address: c.server.Address, RequestID: req.ID, Attempt: attempt, Deadline: req.Deadline, Priority: req.Priority,
		Version: ref, Messages: req.Messages, MaxTokens: req.MaxTokens, Offset: out.next, Prefix: out.text.String(),
	}
	end, err := e.engines.Stream(ctx, call, func(p iobackend.Piece) error { return out.take(ctx, ref, p) })
	if err != nil {
		return end, err
	}
	if end.Tokens != out.next {
		return end, errors.Errorf("answer of %d tokens, its engine counted %d", out.next, end.Tokens)
	}
	return end, nil
}

// firstFailure keeps the failure of an attempt that may have run over the
// refusal of the next one.
func firstFailure(last, refusal error) error {
	if last == nil {
		return refusal
	}
	var attempt *iobackend.AttemptError
	if errors.As(last, &attempt) && attempt.Outcome == request.NotRun {
		return refusal
	}
	return last
}

func isRefusal(err error) bool {
	var r *request.Refusal
	return errors.As(err, &r)
}

func (e *Entry) priceOf(ref version.Ref, u request.Usage) int64 {
	v := e.catalog.Load().Documents().Versions[ref.String()]
	return v.Price(u.InputTokens, u.OutputTokens)
}

func (e *Entry) beginRecord(req request.Request) ledger.Begin {
	return ledger.Begin{
		Key:      ledger.Key{Workspace: req.Workspace, RequestID: req.ID},
		BodyHash: bodyHash(req), Owner: e.owner(), Idempotent: req.Idempotent, At: e.cfg.Clock.Now().UTC(),
	}
}

// bodyHash identifies what the request asks for.
func bodyHash(req request.Request) uint64 {
	d := xxhash.New()
	for _, part := range []string{string(req.Kind), req.Service, req.Method, req.Path, req.Model, req.Session} {
		d.WriteString(part) //nolint:errcheck // a hash takes all bytes
		d.Write([]byte{0})  //nolint:errcheck // a hash takes all bytes
	}
	d.Write(req.Body) //nolint:errcheck // a hash takes all bytes
	return d.Sum64()
}

// recordTimeout bounds the wait for the end record after a caller's deadline.
const recordTimeout = 10 * time.Second

// record makes the end of a request durable. The end record is the bill.
func (e *Entry) record(ctx context.Context, req request.Request, a request.Answer, price int64, free bool) (request.Answer, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	f := ledger.Finish{
		Key:   ledger.Key{Workspace: req.Workspace, RequestID: req.ID},
		Owner: e.owner(), Answer: a, Price: price, Free: free, At: e.cfg.Clock.Now().UTC(),
	}
	reply, err := e.link.finish(ctx, f)
	if err != nil {
		return a, request.NewUnknown(request.CodeLedger, "the end of the request could not be recorded: "+err.Error())
	}
	if reply.Status != ledger.Finished || reply.Answer.Outcome != a.Outcome {
		return a, request.NewUnknown(request.CodeLedger, "the request was settled while it ran")
	}
	return a, nil
}
