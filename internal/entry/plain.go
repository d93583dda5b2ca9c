package entry

import (
	"context"

	"rosereach/core/placement"
	"rosereach/core/request"
	iobackend "rosereach/io/backend"
)

// Call runs a call to a plain service. A call that is not idempotent is sent at
// most once, only after its begin record is durable, and runs to its end even if
// the caller disconnects.
func (e *Entry) Call(ctx context.Context, req request.Request) (request.Answer, error) {
	service, err := e.catalog.Load().PermitService(req.Workspace, req.Service)
	if err != nil {
		return e.execute(ctx, req, nil, func(x *execution) { e.refuse(x, catalogRefusal(err, req)) }) //nolint:contextcheck // a request outlives the caller that sent it first
	}
	req.Idempotent = service.IsIdempotent(req.Method)
	return e.execute(ctx, req, nil, e.runCall)
}

func (e *Entry) runCall(x *execution) {
	b, recorded, err := e.awaitOwnership(x.ctx, x, e.begin(x, nil))
	if recorded != nil {
		e.replayRecorded(x, *recorded)
		return
	}
	if err != nil {
		e.failRequest(x, b, err)
		return
	}
	answer, err := e.runCallAttempts(x)
	if err != nil {
		e.failRequest(x, b, err)
		return
	}
	e.creditRetryBudget(x)
	e.finish(x, answer, 0, false)
}

func (e *Entry) runCallAttempts(x *execution) (request.Answer, error) {
	var (
		tried []string
		last  error
	)
	retry := retryPermit{entry: e, execution: x}
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		if attempt > 1 && !retry.await(x.ctx, attempt-1) {
			return request.Answer{}, last
		}
		c, err := e.dispatchPreferUntried(x.req, target{service: x.req.Service}, tried, placement.Demand{Priority: x.req.Priority})
		if err != nil {
			return request.Answer{}, firstFailure(x, last, err)
		}
		answer, err := e.callOnce(x, c, attempt)
		if err == nil {
			return answer, nil
		}
		last = err
		if !x.req.Idempotent && !isProvenNotRun(err) {
			return request.Answer{}, err
		}
		tried = append(tried, c.server.ID)
	}
	return request.Answer{}, last
}

func (e *Entry) callOnce(x *execution, c *claim, attempt int) (request.Answer, error) {
	defer c.release()
	if err := x.fire(request.Dispatch); err != nil {
		return request.Answer{}, err
	}
	got, err := e.backends.Plain(x.ctx, iobackend.PlainCall{
		Address: c.server.Address, RequestID: x.req.ID, Attempt: attempt, Deadline: x.req.Deadline, Idempotent: x.req.Idempotent,
		Method: x.req.Method, Path: x.req.Path, ContentType: x.req.ContentType, Body: x.req.Body, Gate: c,
	})
	if err != nil {
		return request.Answer{}, x.failAttempt(err)
	}
	a := request.Answer{
		Outcome: request.Done, Status: got.Status, ContentType: got.ContentType, Body: got.Body, Backend: c.server.ID,
	}
	return a, nil
}
