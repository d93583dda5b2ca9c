package entry

import (
	"context"

	"github.com/juju/errors"

	"rosereach/core/placement"
	"rosereach/core/request"
	iobackend "rosereach/io/backend"
)

// Call runs a call of a plain service. A call that may not be repeated is sent
// at most once, after its begin record is durable.
func (e *Entry) Call(ctx context.Context, req request.Request) (request.Answer, error) {
	service, err := e.catalog.Load().PermitService(req.Workspace, req.Service)
	if err != nil {
		return request.Answer{}, refusalOf(err, req)
	}
	req.Idempotent = service.IsIdempotent(req.Method)
	leave, err := e.admit(ctx, req)
	if err != nil {
		return request.Answer{}, err
	}
	defer leave()
	if !req.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	begun, err := e.beginBefore(ctx, req)
	if replay := begun.replay(); replay != nil {
		return e.repeat(*replay, nil)
	}
	if err != nil {
		return request.Answer{}, err
	}
	answer, err := e.callAttempts(ctx, req)
	if err != nil {
		return request.Answer{}, e.fail(ctx, req, begun, err)
	}
	return e.record(ctx, req, answer, 0, false)
}

func (e *Entry) callAttempts(ctx context.Context, req request.Request) (request.Answer, error) {
	var (
		tried []string
		last  error
	)
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		c, err := e.dispatch(req, target{service: req.Service}, tried, placement.Demand{Priority: req.Priority})
		if err != nil {
			return request.Answer{}, firstFailure(last, err)
		}
		answer, err := e.callOnce(ctx, req, c, attempt)
		if err == nil {
			return answer, nil
		}
		last = err
		var failed *iobackend.AttemptError
		proven := errors.As(err, &failed) && failed.Outcome == request.NotRun
		if ctx.Err() != nil || (!req.Idempotent && !proven) {
			return request.Answer{}, err
		}
		tried = append(tried, c.server.ID)
	}
	return request.Answer{}, last
}

func (e *Entry) callOnce(ctx context.Context, req request.Request, c claim, attempt int) (request.Answer, error) {
	defer c.release()
	got, err := e.engines.Plain(ctx, iobackend.PlainCall{
		Address: c.server.Address, RequestID: req.ID, Attempt: attempt, Deadline: req.Deadline,
		Method: req.Method, Path: req.Path, ContentType: req.ContentType, Body: req.Body,
	})
	if err != nil {
		return request.Answer{}, err
	}
	a := request.Answer{
		Outcome: request.Done, Status: got.Status, ContentType: got.ContentType, Body: got.Body, Backend: c.server.ID,
	}
	return a, nil
}
