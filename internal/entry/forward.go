package entry

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"

	"rosereach/core/backend"
	"rosereach/core/cascade"
	"rosereach/core/forward"
	"rosereach/core/health"
	"rosereach/core/limit"
	"rosereach/core/placement"
	"rosereach/core/request"
	"rosereach/core/retry"
	"rosereach/core/rollout"
	"rosereach/core/roster"
	"rosereach/core/route"
	"rosereach/io/member"
	"rosereach/io/upstream"
)

// notReadyRetry is when a caller may come back to an entry that has no plan
// yet: a leader is elected and the plan is told within that time.
const notReadyRetry = 1200 * time.Millisecond

// drainingRetry is when a caller of a stopping entry may come back: another
// entry takes it at once.
const drainingRetry = 100 * time.Millisecond

// tidyInterval is how often an entry forgets servers that are gone.
const tidyInterval = 10 * time.Second

type (
	// Dialect is the form of what passes between an entry and the backend
	// servers that it forwards to.
	Dialect interface {
		Attempt(r forward.Request, a forward.Attempt) map[string][]string
		Head(status int, header map[string][]string) forward.Head
	}

	// Forwarding are the settings of an entry that forwards requests as they
	// are. Controls gives the addresses of some controls, as they are now.
	// FailOpen lets it go on without a lease. Retries are the terms of the
	// budget that all entries share; ExposureShare is the share of a service's
	// requests that a new release may get until it has proved itself.
	Forwarding struct {
		Dialect       Dialect
		Controls      func() []string
		FailOpen      bool
		Retries       retry.Shared
		ExposureShare float64
	}

	// forwarding is the state of an entry that forwards requests as they are.
	forwarding struct {
		entry  *Entry
		feeds  *feeds
		client *upstream.Client
		sizes  cascade.Sizes

		metrics *forwardMetrics

		placement placement.Priced

		mu       sync.Mutex
		roster   *roster.Roster
		health   *health.Tracker
		slowness *placement.Slowness
		loads    map[string]backend.Load
		heardAt  map[string]time.Time
		downAt   map[string]time.Time
		budget   *retry.Window
		tallies  map[tallyKey]rollout.Tally
		reported uint64
		tidied   time.Time
		random   *rand.Rand
	}

	tallyKey struct{ service, release, route string }
)

func newForwarding(e *Entry) *forwarding {
	f := &forwarding{
		entry: e, client: upstream.NewClient(e.cfg.Clock),
		roster: newEntryRoster(e.cfg.Incarnation), health: health.NewTracker(), slowness: placement.NewSlowness(), placement: placement.NewPriced(), loads: make(map[string]backend.Load), heardAt: make(map[string]time.Time), downAt: make(map[string]time.Time),
		tallies: make(map[tallyKey]rollout.Tally), random: rand.New(rand.NewPCG(e.cfg.Seed, ^e.cfg.Incarnation)), //nolint:gosec // load is spread by it
	}
	f.feeds = newFeeds(e)
	f.metrics = newForwardMetrics(e)
	f.budget = retry.NewWindow(e.cfg.Forwarding.Retries)
	return f
}

// isServing reports whether the entry can serve callers: it has a plan, and a
// lease where its settings ask for one.
func (e *Entry) isServing() bool {
	if e.catalog.Load().Routes() == nil {
		return false
	}
	return e.cfg.Forwarding.FailOpen || e.Ready()
}

// IsOpen reports whether callers should be sent to this entry.
func (e *Entry) IsOpen() bool { return e.isServing() && !e.draining.Load() }

// Limits returns the bounds on what callers send, without bounds while there is
// no plan.
func (e *Entry) Limits() route.Limits {
	if t := e.catalog.Load().Routes(); t != nil {
		return t.Limits()
	}
	return route.Limits{}
}

// IdleTime returns how long a caller's connection may be without a request, 0
// for no bound.
func (e *Entry) IdleTime() time.Duration { return e.Limits().IdleTime }

// Forward passes a request on to a backend server of its route and the answer
// to the sink. The error is a *forward.Failure when no answer was begun.
func (e *Entry) Forward(ctx context.Context, req forward.Request, sink forward.Sink) error {
	e.handling.Add(1)
	defer e.handling.Add(-1)
	x, failure := e.accept(req, sink)
	if failure != nil {
		return e.reject(req, route.Route{}, failure)
	}
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	leave, err := e.gateOf(x.route).enter(ctx, e.cfg.Clock, x.ticket())
	if err != nil {
		return e.reject(req, x.route, overloaded(err))
	}
	defer leave()
	x.logAdmitted(req.Arrived)
	err = x.run(ctx)
	x.logEnd(err)
	x.f.metrics.ended(x.route, err, x.now().Sub(req.Arrived))
	return err
}

// reject notes a request that is not run, and why.
func (e *Entry) reject(req forward.Request, r route.Route, f *forward.Failure) error {
	e.logRejected(req, f)
	e.forwarding.metrics.ended(r, f, e.cfg.Clock.Now().Sub(req.Arrived))
	return f
}

// accept finds route and workspace of a request, or refuses it.
func (e *Entry) accept(req forward.Request, sink forward.Sink) (*passage, *forward.Failure) {
	table := e.catalog.Load().Routes()
	switch {
	case e.closed.Load():
		return nil, &forward.Failure{Code: forward.Draining, Detail: "this entry stops; use another", RetryAfter: drainingRetry}
	case table == nil:
		return nil, &forward.Failure{Code: forward.NotReady, Detail: "this entry knows no routing plan yet; use another", RetryAfter: notReadyRetry}
	}
	r, ok := table.Match(req.Host, req.Path)
	if !ok {
		return nil, &forward.Failure{Code: forward.NoRoute, Detail: "no route fits host and path"}
	}
	var w route.Workspace
	if table.NeedsKey(r) {
		if w, ok = table.Owner(req.Key); !ok {
			return nil, &forward.Failure{Code: forward.Unauthorized, Detail: "the key belongs to no workspace"}
		}
	}
	x := &passage{f: e.forwarding, req: req, route: r, workspace: w, sink: sink, deadline: req.Arrived.Add(r.Timeout)}
	if !req.Deadline.IsZero() && req.Deadline.Before(x.deadline) {
		x.deadline = req.Deadline
	}
	return x, nil
}

// gateOf returns the queue for requests of the route: those of plain services
// do not wait for engines.
func (e *Entry) gateOf(r route.Route) *admission {
	if r.Kind == route.Streaming {
		return e.gate
	}
	return e.plainGate
}

// ticket stands for the request in the queue, where higher priorities go first.
func (x *passage) ticket() limit.Ticket {
	return limit.Ticket{
		Workspace: x.workspace.Name, Weight: 1, Priority: -x.priority(), Deadline: x.deadline, Cost: x.work(),
	}
}

// priority returns the request's rank, 0 for the most urgent.
func (x *passage) priority() int {
	if x.workspace.Priority != nil {
		return *x.workspace.Priority
	}
	return x.route.Priority
}

// work estimates the request's work in prompt tokens.
func (x *passage) work() float64 {
	const perOutput = 10
	return float64(max(x.req.Input+perOutput*x.req.Output, 1))
}

func overloaded(err error) *forward.Failure {
	f := &forward.Failure{Code: forward.Overloaded, Detail: "too many requests run and wait"}
	if refusal, ok := err.(*request.Refusal); ok { //nolint:errorlint // admission returns it as it is
		f.RetryAfter = refusal.RetryAfter
	}
	return f
}

func failureOf(err error) (*forward.Failure, bool) {
	var f *forward.Failure
	ok := errors.As(err, &f)
	return f, ok
}

// learn takes what a control tells of the backend servers.
func (f *forwarding) learn(now time.Time, d roster.Delta) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.roster.Learn(now, d)
	if now.Sub(f.tidied) >= tidyInterval {
		f.tidied = now
		f.tidy(now)
	}
}

// tidy forgets what is known of servers that are gone, and closes connections
// that are not used. Callers hold f.mu.
func (f *forwarding) tidy(now time.Time) {
	f.roster.ForgetGone(now)
	addresses := make(map[string]bool)
	known := make(map[string]bool)
	for _, r := range f.roster.All() {
		known[r.Server.ID] = true
		addresses[r.Server.Address] = true
	}
	isKnown := func(id string) bool { return known[id] }
	f.health.Keep(isKnown)
	f.slowness.Keep(isKnown)
	maps.DeleteFunc(f.loads, func(id string, _ backend.Load) bool { return !known[id] })
	maps.DeleteFunc(f.heardAt, func(id string, _ time.Time) bool { return !known[id] })
	f.client.CloseIdle(func(address string) bool { return addresses[address] })
}

// report returns what was counted of releases under roll-out, nil when there
// is none.
func (f *forwarding) report() *member.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.tallies) == 0 {
		return nil
	}
	f.reported++
	r := &member.Report{Entry: f.entry.cfg.ID, Incarnation: f.entry.cfg.Incarnation, Sequence: f.reported}
	for _, t := range f.tallies {
		r.Tallies = append(r.Tallies, t)
	}
	return r
}
