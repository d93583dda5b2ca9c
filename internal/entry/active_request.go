package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"rosereach/core/backend"
	"rosereach/core/forward"
	"rosereach/core/placement"
	"rosereach/core/retry"
	"rosereach/core/route"
	"rosereach/io/upstream"
)

const (
	// extraSends is how many times a request may be sent in addition to its
	// route's attempts when servers report that they did not run it.
	extraSends = 3

	// silenceProof is the minimum silence that counts as a server failure
	// when the wait ended only because the request's deadline passed. A wait
	// counts as ended by the deadline when it ends less than deadlineMargin
	// before it.
	silenceProof   = 2 * time.Second
	deadlineMargin = 10 * time.Millisecond

	// retryShare is the divisor that limits Retry-After to a third of
	// the request's remaining time; callers do not honor longer waits.
	retryShare = 3

	// maxBuffered is the maximum size, in bytes, of an answer that is
	// buffered before it is forwarded.
	maxBuffered = 1 << 20
)

// Reasons for which the entry ends an attempt.
const (
	errNoHead  = errors.ConstError("timed out waiting for the answer's header")
	errStalled = errors.ConstError("timed out waiting for more of the answer")
	errForeign = errors.ConstError("the answer belongs to another request")
	errCut     = errors.ConstError("the answer broke off")
	errDoubted = errors.ConstError("the model reports low confidence in its answer")
	errCaller  = errors.ConstError("writing to the caller failed")
)

type (
	// passage is a request that the entry is forwarding, across all its
	// attempts.
	passage struct {
		f         *forwarding
		req       forward.Request
		route     route.Route
		workspace route.Workspace
		sink      forward.Sink
		deadline  time.Time

		service string
		model   string
		tried   []string // servers of the attempts so far
		// Subset of the tried servers to which no connection could be opened.
		unreached []string
		sends     int         // attempts sent
		runs      int         // attempts that ran or may have run
		begun     bool        // the header of a stream was forwarded
		last      uint64      // ID of the last event forwarded
		held      *heldAnswer // forwarded if no later attempt succeeds
		next      *attempt    // placed already, by an escalation

		// The server that answered, for the log: the expected and the actual
		// time to its first byte, and the prompt tokens not in its cache.
		server    string
		expected  time.Duration
		firstByte time.Duration
		unread    int64
	}

	// attempt is one try of a request at one server.
	attempt struct {
		server    backend.Announcement
		predicted placement.Estimate // time to the first byte at a typical server
		expected  time.Duration      // predicted, corrected by this server's observed slowness
		unread    int64              // prompt tokens that the server has to process
		kept      int64              // prompt tokens estimated to be in the server's cache
		reading   int64              // tokens of a typical model that take as long as the uncached ones
		started   time.Time
		head      forward.Head
		answered  bool // success was recorded

		placed     time.Time
		candidates int
		crowd      float64 // mean number of requests queued at a server
		home       int     // rank among the prompt's home servers, 0 for none
		roster     uint64  // version of the roster that the choice is based on
		prompt     []placement.Chunk
	}

	// heldAnswer is a server's error answer, kept to be forwarded if no
	// later attempt succeeds.
	heldAnswer struct {
		status int
		header http.Header
		body   []byte
	}
)

// run makes attempts until one is answered or no further attempt is allowed.
func (x *passage) run(ctx context.Context) error {
	x.f.countRequest()
	x.last = x.req.After
	x.service = x.f.pickService(x.route)
	if x.req.AnyModel {
		x.model = x.f.sizes.First(x.route.Models)
	}
	lastOutcome := forward.NotSent
	for {
		a, failure := x.place(ctx)
		if failure != nil {
			return x.giveUp(ctx, lastOutcome, failure)
		}
		outcome, err := x.try(ctx, a)
		x.f.metrics.attempted(outcome)
		if err == nil {
			return nil
		}
		x.logAttempt(a, outcome, err)
		lastOutcome = outcome
		if ctx.Err() != nil || !x.mayGoOn(outcome) {
			return x.giveUp(ctx, outcome, nil)
		}
	}
}

// mayGoOn reports whether another attempt is allowed. Unless the last one was
// not sent or the next one is placed already, it takes a retry from the budget
// shared by all entries.
func (x *passage) mayGoOn(o forward.Outcome) bool {
	if !forward.MayFollow(x.route, o, x.runs) || x.sends >= x.route.Attempts+extraSends {
		return false
	}
	return o == forward.NotSent || x.next != nil || x.f.takeRepeat()
}

// giveUp ends the request after its last attempt. A server's error answer is
// forwarded unchanged; a stream that has begun is cut off.
func (x *passage) giveUp(ctx context.Context, lastOutcome forward.Outcome, refused *forward.Failure) error {
	switch {
	case x.begun:
		return errors.Trace(errCut)
	case x.held != nil:
		x.sink.Begin(x.held.status, x.held.header, int64(len(x.held.body)))
		return x.sink.Write(x.held.body)
	case refused != nil && refused.IsNotRun() && x.runs == 0:
		return refused
	case errors.Is(ctx.Err(), context.Canceled):
		return &forward.Failure{Code: forward.Gone, Detail: "the caller left"}
	}
	return forward.FailureOf(lastOutcome, x.runs, ctx.Err() != nil || !x.now().Before(x.deadline))
}

// try sends the request to a server and forwards its answer. When the
// error is not nil, the outcome says whether the server may have run the
// request.
func (x *passage) try(ctx context.Context, a *attempt) (forward.Outcome, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	f := x.f
	now := f.entry.cfg.Clock.Now()
	a.started = now
	remaining := x.deadline.Sub(now)
	x.sends++
	x.logPlaced(a)
	watch := x.watchSilence(cancel, errNoHead, a, x.headPatience(a))
	defer watch.stop()
	f.start(now, a.server, a.reading)
	defer f.end(a.server)
	answer, err := f.client.Do(ctx, upstream.Call{
		Address: a.server.Address, Method: x.req.Method, Host: x.req.Host, Target: x.req.Target, Body: x.req.Body,
		Header: f.entry.cfg.Forwarding.Dialect.Attempt(x.req, forward.Attempt{
			Server: a.server.ID, Workspace: x.workspace.Name, Model: x.model, Left: remaining, Priority: -1, After: x.last,
		}),
		Fresh: x.sends > 1 && !x.route.MayRepeat(),
	}, func() error { return f.recheck(a.server) })
	if err != nil {
		return x.lost(ctx, a, err, watch.isDead())
	}
	watch.stop()
	f.hear(a.server.ID)
	a.head = f.entry.cfg.Forwarding.Dialect.Head(answer.Status, answer.Header)
	return x.receive(ctx, cancel, a, answer)
}

// lost classifies an attempt that got no answer. Dead means that the
// server is silent on all connections.
func (x *passage) lost(ctx context.Context, a *attempt, err error, dead bool) (forward.Outcome, error) {
	if errors.Is(err, upstream.ErrNotSent) {
		if ctx.Err() == nil {
			x.f.fail(a, x, true)
		}
		x.tried = append(x.tried, a.server.ID)
		x.unreached = append(x.unreached, a.server.ID)
		return forward.NotSent, err
	}
	x.runs++
	x.tried = append(x.tried, a.server.ID)
	if cause := context.Cause(ctx); cause == nil || errors.Is(cause, errNoHead) && x.isProof(a) {
		x.f.fail(a, x, dead)
	}
	return forward.Unknown, err
}

// isProof reports whether the server's silence counts as a failure. It
// does not if a short request deadline ended the wait.
func (x *passage) isProof(a *attempt) bool {
	now := x.now()
	return now.Before(x.deadline.Add(-deadlineMargin)) || now.Sub(a.started) >= silenceProof
}

// place returns the next attempt with the server chosen for it.
func (x *passage) place(ctx context.Context) (*attempt, *forward.Failure) {
	if ctx.Err() != nil || !x.now().Before(x.deadline) {
		return nil, &forward.Failure{Code: forward.TimedOut, Detail: "the deadline has passed"}
	}
	if a := x.next; a != nil {
		x.next = nil
		return a, nil
	}
	a, ok := x.f.pick(x)
	if !ok {
		return nil, x.noServer()
	}
	x.f.noteUp(x.service)
	return a, nil
}

// noServer returns the failure of a request that no server can take.
// Retry-After grows with the time that the service has been down, as the outage
// is likely to last about as long again.
func (x *passage) noServer() *forward.Failure {
	f, now := x.f, x.now()
	f.mu.Lock()
	defer f.mu.Unlock()
	since, down := f.downAt[x.service]
	if !down {
		since = now
		f.downAt[x.service] = now
	}
	wait := retry.Spread(max(noServerRetry, now.Sub(since)), f.random)
	return &forward.Failure{Code: forward.NoServer, Detail: "no backend server can take the request", RetryAfter: min(wait, x.deadline.Sub(now)/retryShare)}
}
