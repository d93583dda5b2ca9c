package entry

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/juju/clock"
	"github.com/juju/errors"

	"rosereach/core/backend"
	"rosereach/core/forward"
	"rosereach/core/pacing"
	"rosereach/core/placement"
	"rosereach/internal/httpd"
	"rosereach/io/upstream"
)

const (
	// aliveWindow is how recently a server must have sent data on any
	// connection to count as alive. An engine's step takes some tens of
	// milliseconds, and a chunk of a long prompt a hundred.
	aliveWindow = 300 * time.Millisecond

	// headSoftFactor, as a multiple of the expected time, and headSoftFloor
	// determine the soft timeout for an answer's header. Nine of ten headers
	// arrive within twice the expected time. Under load more take longer, and
	// retrying at another server would only add load.
	headSoftFactor = 4
	headSoftFloor  = 1200 * time.Millisecond

	// eventSoftFactor, as a multiple of the gap after which the stream is late,
	// and eventSoftFloor determine the soft timeout for the next event.
	eventSoftFactor = 1.0
	eventSoftFloor  = time.Second

	// headHardFactor determines the hard timeout for an answer's header, as a
	// multiple of the route's objective.
	headHardFactor = 2

	// eventHardFloor and eventHardFactor, as a multiple of the gap after which
	// the stream is late, determine the hard timeout for the next event.
	// Callers give up after two seconds or more.
	eventHardFloor  = 1800 * time.Millisecond
	eventHardFactor = 3

	// statusTimeout bounds the wait for an engine's status, which engines report
	// without queueing. It covers two attempts to connect to another region.
	statusTimeout = 700 * time.Millisecond

	// statusInterval is the pause between two status checks of a silent engine.
	statusInterval = time.Second

	// maxSuccessors is the maximum number of servers to which a connection is tried
	// before a silent attempt is left to wait on.
	maxSuccessors = 2

	// maxStatusBytes is the maximum size of a status in bytes.
	maxStatusBytes = 256 << 10
)

// Why no server takes over a request whose server is silent.
const (
	noRetry    noSuccessor = "no_retry"    // the budget is used up
	noServer   noSuccessor = "no_server"   // none may get the request now
	notInTime  noSuccessor = "not_in_time" // it could not answer before the deadline, or end before the exit
	notReached noSuccessor = "not_reached" // no connection could be opened
)

// noSuccessor is why no server takes a request over, empty if one could.
type noSuccessor string

// idleTimeouts holds the timeouts of a wait for a server: soft for a first check
// whether the server still has the request, hard for the end of the wait. No attempt
// may follow the last one, which ends at the deadline, except for a rescue in a planned stop.
type idleTimeouts struct {
	soft, hard time.Duration
	last       bool
}

// idleTimer cancels an attempt whose server sends nothing. From the soft timeout on
// it checks whether the server is alive and still has the request; if so, the wait
// goes on until the hard timeout.
type idleTimer struct {
	ctx context.Context //nolint:containedctx // the attempt's, for the status check
	// request is a copy from the start of the wait, as the original goes on when an
	// answer arrives.
	request  activeRequest
	attempt  *attempt
	timeouts idleTimeouts
	inBody   bool // the header has arrived
	cancel   func()

	mu       sync.Mutex
	timer    clock.Timer
	resets   uint64        // number of resets, to detect one during a check
	begun    bool          // part of the answer was forwarded
	final    bool          // no server can go on behind that part
	waited   time.Duration // time since the last reset at which the timer is due
	endWatch func() bool   // ends the watch for a planned stop
	stopped  bool
	handover handover
}

// handover is how an idle timer ended its attempt.
type handover struct {
	serverDead bool     // the server gave no sign of life
	retryTaken bool     // a retry was taken from the budget
	next       *attempt // the attempt that replaces it, nil if there is none
	moved      bool     // the request left a long queue; its server did not fail
	abandoned  bool     // no attempt may follow
}

// startIdleTimer starts a timer that cancels the attempt, with the reason as
// cause, if its server is silent for too long.
func (x *activeRequest) startIdleTimer(ctx context.Context, cancel context.CancelCauseFunc, reason error, a *attempt, timeouts idleTimeouts) *idleTimer {
	t := &idleTimer{ctx: ctx, request: *x, attempt: a, timeouts: timeouts, inBody: errors.Is(reason, errStalled), cancel: func() { cancel(reason) }}
	t.request.tried = append(slices.Clone(x.tried), a.server.ID)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.request.addServer(a.server.ID)
	t.begun, t.final = x.headSent, x.unnumbered
	t.waited = t.wait(timeouts.soft)
	t.timer = x.forwarder.entry.cfg.Clock.AfterFunc(t.waited, t.onTimeout)
	t.endWatch = func() bool { return true }
	if timeouts.last && x.canAskForRest() {
		t.endWatch = context.AfterFunc(x.forwarder.entry.stopping.signaled, t.onStop) //nolint:contextcheck // the stop is no part of the request
	}
	return t
}

// onStop restarts the timer of a last attempt when a planned stop begins, which allows a rescue.
func (t *idleTimer) onStop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.stopped {
		t.waited = t.wait(t.timeouts.soft)
		t.timer.Reset(t.waited)
	}
}

// wait returns how long to wait for the server where that is usually the given time: up to the
// deadline if no attempt may follow. Callers hold t.mu.
func (t *idleTimer) wait(usual time.Duration) time.Duration {
	switch {
	case t.isLast():
		return t.request.deadline.Sub(t.request.now())
	case t.begun && t.inBody:
		return t.request.patience(usual)
	}
	return usual
}

// isLast reports whether no attempt may follow. Callers hold t.mu.
func (t *idleTimer) isLast() bool {
	mayRescue := t.request.mayRescue(t.begun, t.runs()) && t.request.sends < t.request.route.MaxAttempts+maxExtraSends
	return t.final || t.timeouts.last && !mayRescue
}

// runs returns the number of attempts that may have run, including this one.
func (t *idleTimer) runs() int {
	if t.inBody {
		return t.request.runs
	}
	return t.request.runs + 1
}

func (t *idleTimer) onTimeout() {
	t.mu.Lock()
	resets, waited, begun, last := t.resets, t.waited, t.begun, t.isLast()
	t.mu.Unlock()
	if last || t.request.isAtDeadline() {
		t.awaitDeadline(resets)
		return
	}
	if !begun {
		t.request.forwarder.tallyWait(t.attempt, &t.request)
	}
	s := forward.Silence{Duration: waited, Begun: begun, Hard: waited >= t.timeouts.hard}
	s.Stopping = t.inBody && !t.request.forwarder.entry.stopping.current().IsZero()
	start := t.request.now()
	var status forward.ServerStatus
	if !s.Hard {
		s.SignOfLife, status = t.request.checkSilent(t.ctx, t.attempt.server)
		s.Holds = s.SignOfLife && status.HoldsRequest()
		s.Runs = status.Reported && status.RunsRequest
	}
	if s.IsSuspect() {
		next, why := t.findSuccessor(s)
		if next == nil && s.Hard && !begun {
			s.SignOfLife, status = t.request.checkSilent(t.ctx, t.attempt.server)
			s.Holds = s.SignOfLife && status.HoldsRequest()
		}
		t.decide(resets, s, next, why, start)
		return
	}
	if !status.RunsRequest && !s.Begun && forward.MayChoose(t.request.route, t.request.runs+1) {
		if next, ok := t.request.shorterQueue(t.attempt, status); ok && t.request.mayReplace(false, next) && t.connect(next) {
			t.move(resets, next, start)
			return
		}
	}
	t.waitOn(resets, start)
}

// awaitDeadline ends the attempt at the request's deadline, which none may follow.
func (t *idleTimer) awaitDeadline(resets uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped || t.resets != resets {
		return
	}
	if left := t.request.deadline.Sub(t.request.now()); left > 0 {
		t.timer.Reset(left)
		return
	}
	t.cancel()
}

// findSuccessor chooses a server that could take the request over and opens a connection
// to it, so that the attempt is not given up for one that is gone. It returns nil if there
// is none, and why.
func (t *idleTimer) findSuccessor(s forward.Silence) (*attempt, noSuccessor) {
	if !t.request.forwarder.hasRetry(t.request.service, s.Begun) {
		return nil, noRetry
	}
	request := t.request
	request.unreachable = slices.Clone(t.request.unreachable)
	if !s.MayReturn() {
		request.unreachable = append(request.unreachable, t.attempt.server.ID)
	}
	why := noServer
	for range maxSuccessors {
		next, ok := t.request.forwarder.chooseServer(&request)
		if !ok {
			break
		}
		if !request.mayReplace(s.Begun, next) {
			return nil, notInTime
		}
		if t.connect(next) {
			next.rescues = s.Begun
			return next, ""
		}
		request.unreachable, why = append(request.unreachable, next.server.ID), notReached
	}
	return nil, why
}

// connect opens a connection for the attempt and reports whether that succeeded.
func (t *idleTimer) connect(a *attempt) bool { return t.request.connect(t.ctx, a) }

// decide ends the attempt or lets the wait go on, unless the server has sent data since
// the given number of resets. Next is the attempt that may replace it, nil for none, and why is why
// there is none.
func (t *idleTimer) decide(resets uint64, s forward.Silence, next *attempt, why noSuccessor, start time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped || t.resets != resets {
		return
	}
	f, left := t.request.forwarder, t.request.deadline.Sub(t.request.now())
	var expected time.Duration
	if next != nil {
		expected = max(next.expected, 1)
	}
	decision := s.Decide(expected, left, func() bool {
		if s.Begun && s.Stopping {
			return f.takeRescue(t.request.service, t.request.rescues)
		}
		return f.takeRetry(t.request.service, s.Begun)
	})
	f.metrics.silent.WithLabelValues(string(decision)).Inc()
	switch {
	case next == nil || decision == forward.Replace:
	case expected > left:
		why = notInTime
	default:
		why = noRetry // another request took the last one meanwhile
	}
	t.request.logSilence(t.attempt, s, next, why, decision)
	switch decision {
	case forward.KeepWaiting:
		t.rearm(start)
	case forward.Replace:
		f.commitAttempt(next)
		t.handover = handover{serverDead: !s.Hard && !s.SignOfLife, retryTaken: true, next: next}
		t.cancel()
	case forward.Abandon:
		t.handover = handover{serverDead: !s.SignOfLife, abandoned: true}
		t.cancel()
	}
}

// move ends the attempt, whose server is sound, in favor of one with a shorter queue if a
// retry is left.
func (t *idleTimer) move(resets uint64, next *attempt, start time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped || t.resets != resets {
		return
	}
	f := t.request.forwarder
	if !f.takeRetry(t.request.service, false) {
		t.rearm(start)
		return
	}
	f.commitAttempt(next)
	t.handover = handover{retryTaken: true, next: next, moved: true}
	t.cancel()
}

// waitOn lets the wait go on, unless the server has sent data since the given number of
// resets. Start is when the last check began.
func (t *idleTimer) waitOn(resets uint64, start time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped || t.resets != resets {
		return
	}
	t.rearm(start)
}

// rearm sets the timer to the next status check or to the hard timeout, whichever is
// first. Callers hold t.mu.
func (t *idleTimer) rearm(start time.Time) {
	interval := statusInterval
	if untilHard := t.timeouts.hard - t.waited; untilHard > 0 {
		interval = min(interval, untilHard)
	}
	if t.begun && t.inBody {
		interval = t.request.patience(interval)
	}
	t.waited += interval
	t.timer.Reset(max(interval-t.request.now().Sub(start), 0))
}

// reset restarts the timer after the server has sent data. Begun says that part of the
// answer was forwarded, final that no server can go on behind it.
func (t *idleTimer) reset(begun, final bool) {
	t.request.forwarder.recordActivity(t.attempt.server.ID)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.resets++
	t.begun, t.final = begun, final
	t.waited = t.wait(t.timeouts.soft)
	t.timer.Reset(t.waited)
}

// stop stops the timer and returns how it ended the attempt.
func (t *idleTimer) stop() handover {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
	t.endWatch()
	return t.handover
}

// checkSilent reports whether a silent server is alive, and its status. An engine is
// asked for it. Any other server is judged by the entry's other requests, and runs
// the request if it is alive. An engine that wants no or few requests is not asked
// either: it was alive when it said so, and has until the hard timeout. One that leaves is
// asked, as what it runs goes on and a status takes none of its work.
func (x *activeRequest) checkSilent(ctx context.Context, server backend.Announcement) (alive bool, status forward.ServerStatus) {
	if x.req.Model == "" {
		alive = x.forwarder.isAlive(server.ID)
		return alive, forward.ServerStatus{RunsRequest: alive}
	}
	if x.forwarder.isHeldOff(server) || x.forwarder.isLimited(server) {
		return true, forward.ServerStatus{RunsRequest: true}
	}
	status, err := x.forwarder.fetchStatus(ctx, server, x.req.ID)
	x.logStatus(server, status, err)
	status.Reported = err == nil
	return err == nil, status
}

// patience returns how long the server of the request, whose answer has begun, may be silent from
// now on, where that usually takes the given time.
func (x *activeRequest) patience(usual time.Duration) time.Duration {
	return x.forwarder.entry.stopping.current().Patience(x.now(), usual)
}

// shorterQueue returns an attempt at another engine that is expected to answer much
// sooner than the one in whose queue the request waits.
func (x *activeRequest) shorterQueue(a *attempt, status forward.ServerStatus) (*attempt, bool) {
	next, ok := x.forwarder.chooseServer(x)
	if !ok || slices.Contains(x.tried, next.server.ID) {
		return nil, false
	}
	here := a.predicted
	here.Wait = time.Duration(status.Queued) * x.forwarder.placement.DelayPerQueued
	expected := x.forwarder.expectedTime(x.now(), x, a.server.ID, here)
	ok = placement.ShouldMove(expected, next.expected)
	if ok {
		x.logMoved(a, next, status, expected)
	}
	return next, ok
}

// connect opens a connection for an attempt that is to replace a running one, and reports
// whether that succeeded.
func (x *activeRequest) connect(ctx context.Context, a *attempt) bool {
	err := x.forwarder.client.Connect(ctx, a.server.Address, viaOf(a.homes))
	if err != nil && ctx.Err() == nil && !x.isAtDeadline() && !errors.Is(err, errNoPath) {
		x.logUnreachable(a, err)
		x.forwarder.recordFailure(a, x, true)
	}
	return err == nil
}

// fetchStatus asks an engine for its status and whether it runs the request.
func (f *forwarder) fetchStatus(ctx context.Context, server backend.Announcement, requestID string) (forward.ServerStatus, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	start := f.entry.cfg.Clock.Now()
	defer f.entry.cfg.Clock.AfterFunc(statusTimeout, cancel).Stop()
	room := httpd.NewAnswerRoom(ctx, cancel)
	defer room.Close()
	dialect := f.entry.cfg.Forwarding.Dialect
	answer, err := f.client.Do(ctx, upstream.Call{
		Address: server.Address, Method: http.MethodGet, Host: server.Address, Target: dialect.StatusTarget(), NewConn: true, Hold: room.Add,
	}, func() error { return nil })
	if err != nil {
		return forward.ServerStatus{}, err
	}
	defer answer.Close()
	head := dialect.Head(answer.Status, answer.Header)
	if head.Limit.Kind == pacing.Unlimited {
		head.Limit = pacing.Statement{} // A status need not repeat the limit.
	}
	f.hear(server, head, start, requestID) //nolint:contextcheck // a report about the server outlives the request
	body, err := io.ReadAll(heldReader{io.LimitReader(answer, maxStatusBytes), room, growingCost})
	if err != nil {
		return forward.ServerStatus{}, errors.Trace(err)
	}
	if answer.Status != http.StatusOK {
		return forward.ServerStatus{}, errors.Errorf("asking %s for its status: got status %d", server.ID, answer.Status)
	}
	status, err := dialect.Status(body, requestID)
	if err == nil {
		f.recordLoad(server, status.Running, status.Queued)
	}
	return status, err
}

// recordActivity records that the server has sent data.
func (f *forwarder) recordActivity(server string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastActivity[server] = f.entry.cfg.Clock.Now()
}

func (f *forwarder) isAlive(server string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.entry.cfg.Clock.Now().Sub(f.lastActivity[server]) < aliveWindow
}

// mayRetryAfter reports whether another attempt is allowed after the given
// number of runs. Only then does silence end an attempt: the last one is waited
// for as long as the caller waits.
func (x *activeRequest) mayRetryAfter(runs int) bool {
	return x.route.IsRetryable() && runs < x.route.MaxAttempts && x.sends < x.route.MaxAttempts+maxExtraSends
}

// deadlineTimeouts returns the timeouts of a last attempt: the request's
// remaining time.
func (x *activeRequest) deadlineTimeouts() idleTimeouts {
	remaining := x.deadline.Sub(x.now())
	return idleTimeouts{soft: remaining, hard: remaining, last: true}
}

// headTimeouts returns the timeouts for the header of an attempt's answer.
func (x *activeRequest) headTimeouts(a *attempt) idleTimeouts {
	last := x.deadlineTimeouts()
	isLast := !x.mayRetryAfter(x.runs + 1)
	if isLast && !x.headSent || x.route.Objective <= 0 {
		return last
	}
	hard := headHardFactor * x.route.Objective
	soft := max(time.Duration(headSoftFactor*float64(a.expected)), min(headSoftFloor, hard))
	return idleTimeouts{soft: min(soft, last.soft), hard: min(max(hard, soft), last.hard), last: isLast}
}

// bodyTimeouts returns the timeouts for the body of an answer that is no
// stream.
func (x *activeRequest) bodyTimeouts() idleTimeouts {
	if !x.mayRetryAfter(x.runs) {
		return x.deadlineTimeouts()
	}
	return idleTimeouts{soft: eventHardFloor, hard: eventHardFloor}
}

// eventTimeouts returns the timeouts for the next event of a stream.
func (x *activeRequest) eventTimeouts() idleTimeouts {
	soft := max(time.Duration(eventSoftFactor*float64(x.route.EventGap)), eventSoftFloor)
	return idleTimeouts{soft: soft, hard: max(eventHardFloor, eventHardFactor*x.route.EventGap), last: !x.mayRetryAfter(x.runs)}
}
