package entry

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"rosereach/core/limit"
	"rosereach/core/request"
	"rosereach/core/retry"
	"rosereach/io/caller"
)

const (
	// maxAttempts is the maximum number of attempts of a request.
	maxAttempts = 3

	// bytesPerToken is used to estimate the number of tokens from a text's length.
	bytesPerToken = 4

	// ownershipTimeout bounds the wait for the ledger's reply about a request
	// that failed at this entry but may have ended at another.
	ownershipTimeout = 500 * time.Millisecond
)

var (
	// backoff is the delay between attempts of the same operation.
	backoff = retry.Backoff{Base: 10 * time.Millisecond, Max: time.Second}

	// resendBackoff is the delay between queries to the ledger about a request
	// that runs at another entry.
	resendBackoff = retry.Backoff{Base: 20 * time.Millisecond, Max: 250 * time.Millisecond}
)

// execute starts the request, or joins the execution already running under the
// same ID, and follows it to its end. The error is a *request.Refusal.
func (e *Entry) execute(ctx context.Context, req request.Request, sink caller.Sink, work func(*execution)) (request.Answer, error) {
	for {
		x, isNew, err := e.executions.join(e.ctx, req) //nolint:contextcheck // a request outlives the caller that sent it first
		if err != nil {
			return request.Answer{}, err
		}
		if isNew {
			woken := x.join()
			go e.run(x, work) //nolint:contextcheck // a request outlives the caller that sent it first
			return x.follow(ctx, woken, sink)
		}
		if !x.isEnded() {
			return e.followUntil(ctx, x, req.Deadline, sink)
		}
		if err := x.waitRecorded(ctx, req.Deadline); err != nil {
			return request.Answer{}, err
		}
	}
}

// followUntil follows a request that another sender started, until this
// sender's deadline.
func (e *Entry) followUntil(ctx context.Context, x *execution, deadline time.Time, sink caller.Sink) (request.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return x.follow(ctx, x.join(), sink)
}

// checkAdmission returns a refusal when the entry is stopping or holds no
// lease.
func (e *Entry) checkAdmission() error {
	if e.isClosed() {
		return request.NewNotRun(request.CodeDraining, "this entry is stopping; use another entry").
			WithAddresses(e.addresses(e.cfg.Region, e.cfg.Zone))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.checkLease(e.cfg.Clock.Now())
}

// run admits the request and does the work, or refuses it.
func (e *Entry) run(x *execution, work func(*execution)) {
	leave, err := e.admit(x)
	if err != nil {
		e.refuse(x, err)
		return
	}
	defer leave()
	work(x)
}

// admit waits in the queue until the request may run. The returned function
// frees its slot.
func (e *Entry) admit(x *execution) (func(), error) {
	if err := e.checkAdmission(); err != nil {
		return nil, err
	}
	if err := x.fire(request.Enqueue); err != nil {
		return nil, err
	}
	policy, err := e.catalog.Load().Policy(x.req.Workspace)
	if err != nil {
		return nil, catalogRefusal(err, x.req)
	}
	return e.admissionForKind(x.req.Kind).enter(x.ctx, e.cfg.Clock, limit.Ticket{
		Workspace: x.req.Workspace, Weight: max(policy.Weight, 1), Priority: x.req.Priority, Deadline: x.req.Deadline,
		Cost: estimatedCost(x.req),
	})
}

// spendRetry takes a retry from the budgets and reports whether one was left.
func (e *Entry) spendRetry(x *execution) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.retryBudgets.TrySpend(x.req.Workspace)
}

// creditRetryBudget credits the workspace's retry budget for a successful
// request.
func (e *Entry) creditRetryBudget(x *execution) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.retryBudgets.RecordSuccess(x.req.Workspace)
}

// bodyHash hashes the fields that must be equal in every resend of a request.
func bodyHash(req request.Request) uint64 {
	d := xxhash.New()
	for _, part := range []string{string(req.Kind), req.Service, req.Method, req.Path, req.Model, req.Session} {
		d.WriteString(part) //nolint:errcheck // a hash takes all bytes
		d.Write([]byte{0})  //nolint:errcheck // a hash takes all bytes
	}
	d.Write(req.Body) //nolint:errcheck // a hash takes all bytes
	return d.Sum64()
}
