package entry

import (
	"context"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"rosereach/core/backend"
	"rosereach/core/forward"
	"rosereach/core/placement"
	"rosereach/core/retry"
	"rosereach/core/rollout"
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
		first     time.Time
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
	// at a usual server, expected is it corrected by what this one showed.
	attempt struct {
		server    backend.Announcement
		predicted time.Duration
		expected  time.Duration
		unread    int64
		started   time.Time
		head      forward.Head
		answered  bool

		placed     time.Time
		candidates int
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
	if x.first.IsZero() {
		x.first = now
	}
	left := x.deadline.Sub(now)
	x.sends++
	x.logPlaced(a)
	watch := x.watchSilence(cancel, errNoHead, a, x.headPatience(a, left))
	defer watch.stop()
	f.start(now, a.server, a.unread)
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

// receive takes an answer whose first lines are here.
func (x *passage) receive(ctx context.Context, cancel context.CancelCauseFunc, a *attempt, answer *upstream.Answer) (forward.Outcome, error) {
	x.f.observe(a)
	if a.head.Echo != "" && a.head.Echo != x.req.ID {
		answer.Discard()
		x.runs++
		x.tried = append(x.tried, a.server.ID)
		return forward.Unknown, errors.Trace(errForeign)
	}
	if a.head.Refused {
		_, err := io.CopyN(io.Discard, answer, maxBuffered)
		answer.Close()
		x.tried = append(x.tried, a.server.ID)
		if a.head.Wrong {
			x.f.fail(a, x, true)
		}
		return forward.NotRun, errors.Errorf("not run, status %d, %v", a.head.Status, err)
	}
	x.runs++
	if x.escalates(a) {
		answer.Discard()
		return forward.Failed, errors.Trace(errDoubted)
	}
	if x.route.Kind == route.Streaming && a.head.Status/100 == 2 {
		return x.passStream(ctx, cancel, a, answer)
	}
	return x.passWhole(ctx, cancel, a, answer)
}

// escalates reports whether the answer is to be dropped and a larger model
// asked, at a server that is chosen for it. Nothing of it was shown yet.
func (x *passage) escalates(a *attempt) bool {
	if !x.req.AnyModel || x.begun || a.head.Status/100 != 2 || a.head.Confidence < 0 || x.runs >= x.route.Attempts {
		return false
	}
	asked := x.model
	larger, ok := x.f.sizes.Larger(x.route.Models, asked)
	if !ok {
		return false
	}
	x.model = larger
	next, ok := x.f.pick(x)
	if ok {
		spent := x.f.entry.cfg.Clock.Now().Sub(x.req.Arrived)
		late := placement.LateRisk(spent+next.expected, x.route.Objective)
		ok = x.f.sizes.IsWorthAsking(a.head.Confidence, late) && x.f.takeRepeat()
		if ok {
			x.logAgain(a, late)
		}
	}
	if !ok {
		x.model = asked
		return false
	}
	x.next = next
	return true
}

// passWhole collects an answer and passes it on, so that one that breaks off
// can still be asked for again.
func (x *passage) passWhole(ctx context.Context, cancel context.CancelCauseFunc, a *attempt, answer *upstream.Answer) (forward.Outcome, error) {
	watch := x.watchSilence(cancel, errStalled, a, patience{soft: stallMost, hard: stallMost})
	defer watch.stop()
	body, err := io.ReadAll(io.LimitReader(answer, maxBuffered+1))
	watch.stop()
	x.tried = append(x.tried, a.server.ID)
	if err != nil || len(body) > maxBuffered {
		answer.Discard()
		if ctx.Err() == nil || errors.Is(context.Cause(ctx), errStalled) {
			x.f.fail(a, x, false)
		}
		return forward.Broken, errors.Errorf("after %d bytes: %v", len(body), err)
	}
	answer.Close()
	if a.head.Status >= http.StatusInternalServerError {
		x.f.fail(a, x, false)
		x.held = &heldAnswer{status: answer.Status, header: answer.Header, body: body}
		return forward.Failed, errors.Errorf("status %d", a.head.Status)
	}
	x.f.succeed(a, x)
	x.sink.Begin(answer.Status, answer.Header, int64(len(body)))
	if err := x.sink.Write(body); err != nil {
		level.Debug(x.f.entry.cfg.Logger).Log("msg", "Caller left before its answer.", "id", x.req.ID, "err", err)
	}
	return "", nil
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

func (f *forwarding) noteUp(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.downAt, service)
}

// pickService draws one of the route's services.
func (f *forwarding) pickService(r route.Route) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return r.Pick(f.random)
}

func (f *forwarding) countRequest() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budget.Request(f.entry.cfg.Clock.Now())
}

func (f *forwarding) takeRepeat() bool {
	members := f.feeds.fleetSize()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.budget.Take(f.entry.cfg.Clock.Now(), members) {
		f.metrics.denied.Inc()
		return false
	}
	return true
}

// recheck tells, just before the first byte, whether the server may still get
// the request.
func (f *forwarding) recheck(server backend.Announcement) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if rec, ok := f.roster.Find(server.ID); !ok || rec.Server.State != backend.Serving || rec.Server.Incarnation != server.Incarnation {
		return errors.Errorf("backend server %s takes no work any more", server.ID)
	}
	return nil
}

func (f *forwarding) start(now time.Time, server backend.Announcement, tokens int64) {
	e := f.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tracker.Start(now, server.ID, tokens)
}

func (f *forwarding) end(server backend.Announcement) {
	e := f.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tracker.End(e.cfg.Clock.Now(), server.ID)
}

// observe takes the load that an answer tells.
func (f *forwarding) observe(a *attempt) {
	if a.head.Slots == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loads[a.server.ID] = backend.Load{At: f.entry.cfg.Clock.Now(), Running: a.head.Running, Queued: a.head.Waiting}
}

func (f *forwarding) succeed(a *attempt, x *passage) {
	now := f.entry.cfg.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.health.Succeed(now, a.server.ID)
	x.server, x.expected, x.firstByte, x.unread = a.server.ID, a.expected, now.Sub(a.started), a.unread
	f.slowness.Learn(now, x.group(), a.server.ID, a.predicted, now.Sub(a.started))
	f.count(a, x, false, now.Sub(a.started))
}

func (f *forwarding) fail(a *attempt, x *passage, hard bool) {
	now := f.entry.cfg.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.health.Fail(now, a.server.ID, hard)
	if !hard {
		f.count(a, x, true, 0)
	}
}

// count adds an attempt to what the roll-out of its service is judged by.
// Callers hold f.mu.
func (f *forwarding) count(a *attempt, x *passage, failed bool, took time.Duration) {
	o, ok := f.entry.catalog.Load().Rollout(x.service)
	if !ok || o.IsFinal() {
		maps.DeleteFunc(f.tallies, func(k tallyKey, _ rollout.Tally) bool { return k.service == x.service })
		return
	}
	key := tallyKey{service: x.service, release: a.server.Release, route: x.route.Name}
	t := f.tallies[key]
	t.Service, t.Release, t.Route = key.service, key.release, key.route
	f.tallies[key] = t.WithAttempt(failed, float64(took)/float64(time.Millisecond))
}

func contains(list []string, id string) bool { return slices.Contains(list, id) }
