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
	// extraSends is how often a request may be sent beyond its route's attempts
	// when servers say that they did not run it.
	extraSends = 3

	// silenceProof is how long a server has to be silent until that speaks
	// against it even though the request had no more time; deadlineMargin tells
	// its end from one that came sooner.
	silenceProof   = 2 * time.Second
	deadlineMargin = 10 * time.Millisecond

	// retryShare is the part of its time for which a caller waits as told: one
	// third.
	retryShare = 3

	// maxBuffered bounds an answer that is collected before it is passed on.
	maxBuffered = 1 << 20
)

// The reasons for which an attempt is ended from this side.
const (
	errNoHead  = errors.ConstError("no answer in time")
	errStalled = errors.ConstError("the stream stands still")
	errForeign = errors.ConstError("the answer belongs to another request")
	errCut     = errors.ConstError("the answer broke off")
	errDoubted = errors.ConstError("the model doubts its answer")
	errCaller  = errors.ConstError("the caller takes no more")
)

type (
	// passage is one request on its way through the entry.
	passage struct {
		f         *forwarding
		req       forward.Request
		route     route.Route
		workspace route.Workspace
		sink      forward.Sink
		deadline  time.Time

		service string
		model   string
		tried   []string
		// unreached are the servers of the tried ones that took no connection.
		unreached []string
		sends     int
		runs      int
		begun     bool
		last      uint64
		held      *heldAnswer
		next      *attempt

		server    string
		expected  time.Duration
		firstByte time.Duration
		unread    int64
	}

	// attempt is one try at one server. Predicted is the time to the first byte
	// at a usual server, expected is it corrected by what this one showed. Unread
	// are the prompt tokens that the server has to read, kept those that it is
	// thought to hold, reading as many of a usual model as take as long as the
	// unread ones. Crowd is how many requests wait at a server
	// on average, Home the server's rank among the homes of the prompt.
	attempt struct {
		server    backend.Announcement
		predicted placement.Estimate
		expected  time.Duration
		unread    int64
		kept      int64
		reading   int64
		started   time.Time
		head      forward.Head
		answered  bool

		placed     time.Time
		candidates int
		crowd      float64
		home       int
		roster     uint64
		prompt     []placement.Chunk
	}

	// heldAnswer is a server's failure, which is passed on if nothing better
	// comes.
	heldAnswer struct {
		status int
		header http.Header
		body   []byte
	}
)

// run tries servers until one has answered, or nothing more may be tried.
func (x *passage) run(ctx context.Context) error {
	x.f.countRequest()
	x.last = x.req.After
	x.service = x.f.pickService(x.route)
	if x.req.AnyModel {
		x.model = x.f.sizes.First(x.route.Models)
	}
	last := forward.NotSent
	for {
		a, failure := x.place(ctx)
		if failure != nil {
			return x.giveUp(ctx, last, failure)
		}
		outcome, err := x.try(ctx, a)
		x.f.metrics.attempted(outcome)
		if err == nil {
			return nil
		}
		x.logAttempt(a, outcome, err)
		last = outcome
		if ctx.Err() != nil || !x.mayGoOn(outcome) {
			return x.giveUp(ctx, outcome, nil)
		}
	}
}

// mayGoOn reports whether another attempt may follow, and takes it from the
// budget that all entries share.
func (x *passage) mayGoOn(o forward.Outcome) bool {
	if !forward.MayFollow(x.route, o, x.runs) || x.sends >= x.route.Attempts+extraSends {
		return false
	}
	return o == forward.NotSent || x.next != nil || x.f.takeRepeat()
}

// giveUp ends the request. A failure that a server answered is passed on as it
// is; an answer that was begun is cut.
func (x *passage) giveUp(ctx context.Context, last forward.Outcome, refused *forward.Failure) error {
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
	return forward.FailureOf(last, x.runs, ctx.Err() != nil || !x.now().Before(x.deadline))
}

// try sends the request to a server and passes its answer on. The outcome says
// what is known when there is an error.
func (x *passage) try(ctx context.Context, a *attempt) (forward.Outcome, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	f := x.f
	now := f.entry.cfg.Clock.Now()
	a.started = now
	left := x.deadline.Sub(now)
	x.sends++
	x.logPlaced(a)
	watch := x.watchSilence(cancel, errNoHead, a, x.headPatience(a))
	defer watch.stop()
	f.start(now, a.server, a.reading)
	defer f.end(a.server)
	answer, err := f.client.Do(ctx, upstream.Call{
		Address: a.server.Address, Method: x.req.Method, Host: x.req.Host, Target: x.req.Target, Body: x.req.Body,
		Header: f.entry.cfg.Forwarding.Dialect.Attempt(x.req, forward.Attempt{
			Server: a.server.ID, Workspace: x.workspace.Name, Model: x.model, Left: left, Priority: -1, After: x.last,
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

// lost sorts out an attempt that brought no answer. Dead says that nothing at
// all is heard of the server.
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

// isProof reports whether silence until now speaks against the server: a
// request whose own time was short says nothing.
func (x *passage) isProof(a *attempt) bool {
	now := x.now()
	return now.Before(x.deadline.Add(-deadlineMargin)) || now.Sub(a.started) >= silenceProof
}

// place chooses the server for the next attempt.
func (x *passage) place(ctx context.Context) (*attempt, *forward.Failure) {
	if ctx.Err() != nil || !x.now().Before(x.deadline) {
		return nil, &forward.Failure{Code: forward.TimedOut, Detail: "no time is left"}
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

// noServer refuses a request that no server can take. A service that has been
// down for a while is likely to be down for as long again.
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
