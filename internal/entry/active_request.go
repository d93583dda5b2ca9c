package entry

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"rosereach/core/backend"
	"rosereach/core/forward"
	"rosereach/core/framing"
	"rosereach/core/placement"
	"rosereach/core/quarantine"
	"rosereach/core/residency"
	"rosereach/core/retry"
	"rosereach/core/route"
	"rosereach/core/stream"
	"rosereach/internal/httpd"
	"rosereach/io/upstream"
)

const (
	// maxExtraSends is how many times a request may be sent in addition to its
	// route's attempts when servers report that they did not run it.
	maxExtraSends = 3

	// minFailureSilence is the minimum silence that counts as a server failure
	// when the wait ended only because the request's deadline passed. A wait
	// counts as ended by the deadline when it ends less than deadlineMargin
	// before it.
	minFailureSilence = 2 * time.Second
	deadlineMargin    = 10 * time.Millisecond

	// resumePoll and maxResumePoll are the first and the longest pause before another
	// look for a server or a retry that lets a broken answer go on.
	resumePoll         = 100 * time.Millisecond
	maxResumePoll      = 800 * time.Millisecond
	maxResumeDoublings = 3

	// retryAfterDivisor is the divisor that limits Retry-After to a third of
	// the request's remaining time; callers do not honor longer waits.
	retryAfterDivisor = 3

	// maxBufferedBytes is the maximum size, in bytes, of an answer that is
	// buffered before it is forwarded.
	maxBufferedBytes = 1 << 20

	// growingBytes is how much of an answer is read into buffers that grow.
	growingBytes = 64 << 10
)

// Reasons for which the entry ends an attempt.
const (
	errHeadTimeout     = errors.ConstError("timed out waiting for the answer's header")
	errStalled         = errors.ConstError("timed out waiting for more of the answer")
	errUnprovenEnd     = errors.ConstError("nothing proves that the stream has ended")
	errContradictedEnd = errors.ConstError("the answer ends a stream of which more was seen")
	errIncomplete      = errors.ConstError("the answer broke off")
	errLowConfidence   = errors.ConstError("the model reports low confidence in its answer")
	errFalsePromise    = errors.ConstError("the server ran the request, and its answer promises that it did not run")
	errNotContinued    = errors.ConstError("the answer is not the rest of the stream that has begun")
	errNoRoom          = errors.ConstError("there is no room for the answer")
	errCallerWrite     = errors.ConstError("writing to the caller failed")
)

type (
	// activeRequest is a request that the entry is forwarding, across all its
	// attempts.
	activeRequest struct {
		forwarder *forwarder
		req       forward.Request
		route     route.Route
		workspace route.Workspace
		sink      forward.Sink
		deadline  time.Time
		startedAt time.Time // when it left the queue

		service string
		parts   []quarantine.Key // of the prompt, as far as other requests share them
		digest  quarantine.Key   // of the whole request, the same when it comes again
		hasSlot bool             // it runs as the only suspect of its service
		ends    int              // servers that ended while they had the request
		model   string
		tried   []string // servers of the attempts so far
		ranAt   []string // servers at which it ran or may have run, each once
		// Subset of the tried servers to which no connection could be opened.
		unreachable  []string
		sends        int             // attempts sent
		pauses       int             // waits for a retry or a server
		runs         int             // attempts that ran or may have run
		headSent     bool            // the header of a stream was forwarded
		answerGate   *gate           // passed by the header of a stream, shut by the exit
		sentStatus   int             // status in that header
		lastEventID  uint64          // ID of the last event forwarded
		events       int             // events forwarded
		seenEventID  uint64          // highest ID of an event of which at least a part was seen
		confirmed    int             // answers by which nothing follows the last event
		awaitsEnd    bool            // the stream seems whole, and nothing proves that it has ended
		rescues      *rescues        // its own
		awaitsRescue bool            // it was taken from a silent server, and none has sent more of it
		answers      []string        // of servers, as far as their ends are concerned, for the log
		callerMark   string          // what marks the end of the caller's answer, for the log
		callerCut    bool            // the caller did not take its whole answer
		fallback     *fallbackAnswer // forwarded if no later attempt succeeds
		nextAttempt  *attempt        // placed already, by an escalation or to replace a silent attempt
		retryTaken   bool            // the retry for the next attempt was taken from the budget
		abandoned    bool            // no attempt may follow the last one

		// Highest ID of an event that one server wrote, which may belong to another stream.
		claimedEventID uint64
		gap            stream.Gap // the last one in the ids
		closes         int        // answers that ended with their connections after the last event
		unnumbered     bool       // the last event has no id, so that no server can go on behind it
		idsJump        bool       // two servers agree that ids are left out

		// For the log of a planned stop.
		expectation  expectation
		sentAt       time.Time // of the last attempt, zero if none was sent
		heardAt      time.Time // when the server of the last attempt sent data, zero for never
		spent        int       // attempts that the entry ended by choice: their servers had not failed
		deniedByStop bool      // the stop allowed no further attempt

		// The server that answered, for the log: the expected and the actual
		// time to its first byte, and the prompt tokens not in its cache.
		server         string
		expected       time.Duration
		firstByte      time.Duration
		uncachedTokens int64
	}

	// attempt is one try of a request at one server.
	attempt struct {
		server           backend.Announcement
		predicted        placement.Estimate // time to the first byte at a typical server
		expected         time.Duration      // predicted, corrected by this server's observed latency
		uncachedTokens   int64              // prompt tokens that the server has to process
		cachedTokens     int64              // prompt tokens estimated to be in the server's cache
		equivalentTokens int64              // tokens of a typical model that take as long as the uncached ones
		startedAt        time.Time
		head             forward.Head
		answer           framing.Answer
		room             *httpd.AnswerRoom // of its answer
		successRecorded  bool              // success was recorded
		soundRecorded    bool              // it was recorded as an answer that speaks for its prompt
		firstEventAt     time.Time
		waitTallied      bool // the wait for the first byte was tallied before it came
		pace             streamPace
		counted          bool // counted until its answer, as its server gets few requests after a hold-off
		begun            bool // it counts as being at its server
		paced            bool // it took a place at a server that named a limit
		homes            residency.Homes
		warming          bool   // it took a place at a server that warms up
		rescues          bool   // it takes over a begun answer whose server is silent
		withheld         string // why it was not sent, empty if it was

		placedAt      time.Time
		candidates    int
		meanQueued    float64 // mean number of requests queued at a server
		homeRank      int     // rank among the prompt's home servers, 0 for none
		rosterVersion uint64  // version of the roster that the choice is based on
		prompt        []placement.Chunk
	}

	// fallbackAnswer is a server's error answer, kept to be forwarded if no
	// later attempt succeeds.
	fallbackAnswer struct {
		status int
		header http.Header
		mark   framing.Mark
		body   forward.Body
	}
)

// run makes attempts until one is answered or no further attempt is allowed.
func (x *activeRequest) run(ctx context.Context) error {
	x.lastEventID, x.startedAt = x.req.LastEventID, x.now()
	x.forwarder.countRequest(x.service)
	if x.req.AnyModel {
		x.model = x.forwarder.sizes.First(x.route.Models)
	}
	lastOutcome := forward.NotSent
	for {
		a, failure := x.placeAttempt(ctx)
		if failure != nil {
			if failure.Code == forward.NoServer && x.awaitServer(ctx) {
				continue
			}
			return x.giveUp(ctx, lastOutcome, failure)
		}
		ends := x.ends
		outcome, err := x.tryServer(ctx, a)
		x.forwarder.metrics.attemptEnded(outcome)
		if err == nil {
			x.recordSound(a)
			x.endTrial(a, true, false)
			return nil
		}
		x.endTrial(a, false, x.ends > ends)
		x.logFailedAttempt(a, outcome, err)
		lastOutcome = outcome
		if a.withheld == withheldDraining {
			return x.giveUp(ctx, outcome, x.forwarder.entry.newDrainingFailure(x.deadline))
		}
		if !x.maySpread() {
			x.logNotSpread()
			return x.giveUp(ctx, outcome, nil)
		}
		if failure := x.drainingFailure(nil); failure != nil {
			return x.giveUp(ctx, outcome, failure)
		}
		if ctx.Err() != nil || !x.mayRetry(outcome) && !x.awaitRetry(ctx, outcome) {
			return x.giveUp(ctx, outcome, nil)
		}
	}
}

// mayRetry reports whether another attempt is allowed. Unless the last one was
// not sent or the next one is placed already, it takes a retry from the budget
// of the service, shared by all entries.
func (x *activeRequest) mayRetry(o forward.Outcome) bool {
	if x.abandoned || !x.mayFollow(o) && !x.isRescued() || x.sends >= x.route.MaxAttempts+maxExtraSends {
		return false
	}
	return o == forward.NotSent || x.nextAttempt != nil || x.retryTaken || x.forwarder.takeRetry(x.service, x.headSent)
}

// isRescued reports whether an answer was taken from a silent server and may go on although its
// route's attempts are used up.
func (x *activeRequest) isRescued() bool { return x.awaitsRescue && x.mayRescue(x.headSent, x.runs) }

// mayRescue reports whether an answer whose server is silent may go on, as the entry stops, although
// its route's attempts are used up. Runs is the number of attempts that may have run.
func (x *activeRequest) mayRescue(begun bool, runs int) bool {
	return !x.unnumbered && forward.MayRescue(x.route, begun, !x.forwarder.entry.stopping.current().IsZero(), runs)
}

// recordRun records that the attempt ran or may have run.
func (x *activeRequest) recordRun(a *attempt) {
	x.runs++
	x.addServer(a.server.ID)
}

// addServer adds a server to those at which the request ran or may have run.
func (x *activeRequest) addServer(id string) {
	if !slices.Contains(x.ranAt, id) {
		x.ranAt = append(slices.Clip(x.ranAt), id)
	}
}

// awaitRetry waits until the budget has a retry for an answer that has begun, and reports
// whether it took one. Such an answer can't be refused, so it is given up only at its
// deadline, when its caller leaves, or when it can't end before the entry's exit.
func (x *activeRequest) awaitRetry(ctx context.Context, o forward.Outcome) bool {
	if !x.headSent || x.hasAgreedEnd(ctx) || !x.mayFollow(o) && !x.isRescued() {
		return false
	}
	for x.pause(ctx) && x.drainingFailure(nil) == nil {
		if o == forward.NotSent || x.forwarder.takeRetry(x.service, true) {
			return true
		}
	}
	return false
}

// awaitServer waits for a moment if the answer has begun, and reports whether another
// server may be looked for.
func (x *activeRequest) awaitServer(ctx context.Context) bool {
	if !x.headSent || x.hasAgreedEnd(ctx) {
		return false
	}
	x.unreachable = nil
	return x.pause(ctx)
}

// pause waits and reports whether the request is still wanted. The pauses of a request
// grow, so that one that is refused everywhere does not use up the budget.
func (x *activeRequest) pause(ctx context.Context) bool {
	d := min(resumePoll<<min(x.pauses, maxResumeDoublings), maxResumePoll)
	x.pauses++
	select {
	case <-x.forwarder.entry.cfg.Clock.After(d):
		return x.now().Before(x.deadline)
	case <-ctx.Done():
		return false
	}
}

// giveUp ends the request after its last attempt. A server's error answer is
// forwarded unchanged; a stream that has begun is cut off, unless servers agree on its end.
func (x *activeRequest) giveUp(ctx context.Context, lastOutcome forward.Outcome, refused *forward.Failure) error {
	x.deniedByStop = refused != nil && refused.Code == forward.Draining
	switch {
	case x.hasAgreedEnd(ctx):
		return nil
	case x.headSent:
		return errors.Trace(errIncomplete)
	case x.fallback != nil:
		x.beginWhole(x.fallback.status, x.fallback.header, x.fallback.mark, x.fallback.body)
		return x.writeBody(x.fallback.body)
	case refused != nil && refused.IsNotRun() && x.runs == 0:
		return refused
	case isExit(context.Cause(ctx)):
		return x.exitFailure(lastOutcome)
	case errors.Is(ctx.Err(), context.Canceled):
		return &forward.Failure{Code: forward.CallerGone, Detail: "the caller left"}
	}
	failure := forward.FailureFor(lastOutcome, x.runs, ctx.Err() != nil || !x.now().Before(x.deadline))
	if failure.Code == forward.NoServer {
		if restrained, ok := x.restrainedFailure(); ok {
			return restrained
		}
	}
	return failure
}

// tryServer sends the request to a server and forwards its answer. When the
// error is not nil, the outcome says whether the server may have run the
// request.
func (x *activeRequest) tryServer(ctx context.Context, a *attempt) (forward.Outcome, error) {
	ctx, cancel, sending := x.untilSent(ctx)
	defer cancel(nil)
	f := x.forwarder
	now := f.entry.cfg.Clock.Now()
	a.startedAt = now
	if err := x.admit(a); err != nil {
		x.withhold(a)
		return forward.NotSent, err
	}
	defer f.endAtServer(a)
	defer f.settle(a, false)
	remaining := x.deadline.Sub(now)
	x.sends++
	x.retryTaken, x.abandoned = false, false
	x.logPlaced(a)
	watch := x.startIdleTimer(ctx, cancel, errHeadTimeout, a, x.headTimeouts(a))
	defer watch.stop()
	a.room = httpd.NewAnswerRoom(ctx, func() { cancel(errNoRoom) })
	defer a.room.Close()
	f.trackStart(now, a.server, a.equivalentTokens)
	defer f.trackEnd(a.server)
	answer, err := f.client.Do(ctx, upstream.Call{
		Address: a.server.Address, Method: x.req.Method, Host: x.req.Host, Target: x.req.Target, Body: x.req.Body,
		Header: f.entry.cfg.Forwarding.Dialect.Attempt(x.req, forward.Attempt{
			Server: a.server.ID, Workspace: x.workspace.Name, Model: x.model, TimeLeft: remaining, Priority: x.serverPriority(), LastEventID: x.lastEventID,
		}),
		NewConn: x.sends > 1 && (!x.route.IsRetryable() || slices.Contains(x.tried, a.server.ID)), UnusedConn: forward.NeedsUnusedConn(x.route, x.headSent, x.runs), Via: viaOf(a.homes), Hold: a.room.Add,
		IsForeign: func(status int, header http.Header) bool {
			return f.entry.cfg.Forwarding.Dialect.Head(status, header).IsForeign(x.req.ID)
		},
	}, func() error { return x.admitToSend(a, sending) })
	if err != nil {
		return x.handleSendError(ctx, a, err, x.takeOver(watch))
	}
	x.takeOver(watch)
	if answer.Foreign > 0 {
		level.Warn(x.log()).Log("msg", "Answers of other requests are read past.", "id", x.req.ID, "srv", a.server.ID, "n", answer.Foreign)
	}
	f.recordActivity(a.server.ID)
	a.head = f.entry.cfg.Forwarding.Dialect.Head(answer.Status, answer.Header)
	f.hear(a.server, a.head, a.startedAt, x.req.ID) //nolint:contextcheck // a report about the server outlives the request
	f.settle(a, !a.head.Refused && !a.head.PromisesNotRun && a.head.HoldOff == 0)
	return x.handleAnswer(ctx, cancel, a, answer)
}

// handleSendError classifies an attempt that got no answer.
func (x *activeRequest) handleSendError(ctx context.Context, a *attempt, err error, h handover) (forward.Outcome, error) {
	if a.withheld != "" {
		x.sends--
		x.withhold(a)
		return forward.NotSent, err
	}
	if errors.Is(err, upstream.ErrNotSent) {
		x.forwarder.returnPlace(a)
		if ctx.Err() == nil && !errors.Is(err, errNoPath) {
			x.forwarder.recordFailure(a, x, true)
		}
		x.tried = append(x.tried, a.server.ID)
		x.unreachable = append(x.unreachable, a.server.ID)
		return forward.NotSent, err
	}
	x.answers = append(x.answers, noAnswer)
	x.recordRun(a)
	x.tried = append(x.tried, a.server.ID)
	if cause := context.Cause(ctx); cause == nil && !errors.Is(err, upstream.ErrNoRoom) && !errors.Is(err, upstream.ErrForeign) || errors.Is(cause, errHeadTimeout) && x.countsAsFailure(a) && !h.moved {
		x.forwarder.recordFailure(a, x, h.serverDead)
		if cause == nil {
			x.recordEnd(ctx, a)
		}
	}
	return forward.Unknown, err
}

// takeOver stops the idle timer of the last attempt and adopts what it decided about the
// next one.
func (x *activeRequest) takeOver(watch *idleTimer) handover {
	h := watch.stop()
	if h.moved {
		x.spent++
	}
	x.awaitsRescue = x.awaitsRescue || h.next != nil && h.next.rescues
	if h.retryTaken || h.abandoned {
		x.retryTaken, x.nextAttempt, x.abandoned = h.retryTaken, h.next, h.abandoned
	}
	return h
}

// isAtDeadline reports whether the request's deadline has passed or is about to.
func (x *activeRequest) isAtDeadline() bool { return !x.now().Before(x.deadline.Add(-deadlineMargin)) }

// countsAsFailure reports whether the server's silence counts as a failure. It
// does not if a short request deadline ended the wait.
func (x *activeRequest) countsAsFailure(a *attempt) bool {
	return !x.isAtDeadline() || x.now().Sub(a.startedAt) >= minFailureSilence
}

// placeAttempt returns the next attempt with the server chosen for it.
func (x *activeRequest) placeAttempt(ctx context.Context) (*attempt, *forward.Failure) {
	if ctx.Err() != nil || !x.now().Before(x.deadline) {
		return nil, &forward.Failure{Code: forward.TimedOut, Detail: "the deadline has passed"}
	}
	if failure := cmp.Or(x.drainingFailure(nil), x.quarantinedFailure()); failure != nil {
		return nil, failure
	}
	if x.runs == 0 {
		var endWait context.CancelFunc
		ctx, endWait = x.forwarder.entry.UntilClosed(ctx)
		defer endWait()
	}
	if failure := x.awaitTrial(ctx); failure != nil {
		return nil, cmp.Or(x.drainingFailure(nil), failure)
	}
	if a := x.nextAttempt; a != nil {
		x.nextAttempt = nil
		return a, nil
	}
	a, ok := x.forwarder.chooseAndCommit(x)
	if !ok && x.awaitFirstServer(ctx) {
		a, ok = x.forwarder.chooseAndCommit(x)
	}
	if !ok {
		a, ok = x.awaitRoom(ctx)
	}
	if !ok {
		x.endTrial(nil, false, false)
		return nil, cmp.Or(x.drainingFailure(nil), x.noServerFailure())
	}
	x.forwarder.markServiceUp(x.service)
	return a, nil
}

// awaitFirstServer waits until a server of the request's service is known, for
// startupWait at most, and reports whether one is. It waits only while the entry is
// starting: after a mass restart the controls hear of the servers with their next
// announcements, often after the plan is in force.
func (x *activeRequest) awaitFirstServer(ctx context.Context) bool {
	f := x.forwarder
	c := f.entry.cfg.Clock
	if f.prospectFor(x).restrained {
		return false
	}
	end := c.Now().Add(startupWait)
	for c.Now().Sub(f.startedAt) < startup && c.Now().Before(end) {
		select {
		case <-c.After(startupPoll):
		case <-ctx.Done():
			return false
		}
		if f.hasServers(x.service) {
			return true
		}
	}
	return false
}

// noServerFailure returns the failure of a request that no server can take.
// Retry-After grows with the time that the service has been down, as the outage
// is likely to last about as long again.
func (x *activeRequest) noServerFailure() *forward.Failure {
	if failure, ok := x.restrainedFailure(); ok {
		return failure
	}
	if failure, ok := x.unlocatedFailure(); ok {
		return failure
	}
	f, now := x.forwarder, x.now()
	f.mu.Lock()
	defer f.mu.Unlock()
	since, down := f.downSince[x.service]
	if !down {
		since = now
		f.downSince[x.service] = now
	}
	wait := retry.WithJitter(max(minNoServerRetryAfter, now.Sub(since)), f.random)
	return &forward.Failure{Code: forward.NoServer, Detail: "no backend server can take the request", RetryAfter: min(wait, x.deadline.Sub(now)/retryAfterDivisor)}
}
