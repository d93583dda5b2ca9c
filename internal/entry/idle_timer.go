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
	"rosereach/core/placement"
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

	// maxStatusBytes is the maximum size of a status in bytes.
	maxStatusBytes = 256 << 10
)

// idleTimeouts holds the timeouts of a wait for a server: soft for a first check
// whether the server still has the request, hard for the end of the wait.
type idleTimeouts struct{ soft, hard time.Duration }

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
	cancel   func()

	mu         sync.Mutex
	timer      clock.Timer
	resets     uint64        // number of resets, to detect one during a check
	waited     time.Duration // time since the last reset at which the timer is due
	stopped    bool
	serverDead bool     // the attempt ended because the server gave no sign of life
	retryTaken bool     // a retry was taken from the budget when the attempt ended
	next       *attempt // the attempt that replaces it, if one is placed already
}

// startIdleTimer starts a timer that cancels the attempt, with the reason as
// cause, if its server is silent for too long.
func (x *activeRequest) startIdleTimer(ctx context.Context, cancel context.CancelCauseFunc, reason error, a *attempt, timeouts idleTimeouts) *idleTimer {
	t := &idleTimer{ctx: ctx, request: *x, attempt: a, timeouts: timeouts, cancel: func() { cancel(reason) }}
	t.request.tried = append(slices.Clone(x.tried), a.server.ID)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waited = timeouts.soft
	t.timer = x.forwarder.entry.cfg.Clock.AfterFunc(timeouts.soft, t.onTimeout)
	return t
}

func (t *idleTimer) onTimeout() {
	t.mu.Lock()
	resets, isHard := t.resets, t.waited >= t.timeouts.hard
	t.mu.Unlock()
	if isHard {
		t.endWait(resets, false, nil)
		return
	}
	start := t.request.now()
	alive, status := t.request.checkSilent(t.ctx, t.attempt.server)
	switch {
	case !alive || !status.HoldsRequest():
		t.endWait(resets, !alive, nil)
	case !status.RunsRequest && !t.request.headSent:
		if next, ok := t.request.shorterQueue(t.attempt, status); ok {
			t.endWait(resets, false, next)
			return
		}
		t.waitOn(resets, t.request.now().Sub(start))
	default:
		t.waitOn(resets, t.request.now().Sub(start))
	}
}

// waitOn lets the wait go on until the next status check or the hard timeout. Spent is
// the time that the last check took.
func (t *idleTimer) waitOn(resets uint64, spent time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped || t.resets != resets {
		return
	}
	interval := min(statusInterval, t.timeouts.hard-t.waited)
	t.waited += interval
	t.timer.Reset(max(interval-spent, 0))
}

// endWait cancels the attempt, unless the server has sent data since the given
// number of resets. Next is the attempt that replaces it, nil if it is not placed
// yet. Without a retry in the budget a live server is waited for: to cut the request
// would only lose it.
func (t *idleTimer) endWait(resets uint64, dead bool, next *attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped || t.resets != resets {
		return
	}
	if !t.request.now().Before(t.request.deadline) {
		t.cancel() // no attempt may follow
		return
	}
	f := t.request.forwarder
	t.retryTaken = f.takeRetry()
	t.request.logSilence(t.attempt, silence{waited: t.waited, dead: dead, retryTaken: t.retryTaken, next: next})
	if !t.retryTaken && !dead {
		f.metrics.silent.WithLabelValues("waits").Inc()
		t.waited += statusInterval
		t.timer.Reset(statusInterval)
		return
	}
	f.metrics.silent.WithLabelValues("ends").Inc()
	if next != nil && t.retryTaken {
		f.commitAttempt(next)
		t.next = next
	}
	t.serverDead = dead
	t.cancel()
}

// result returns whether a retry was taken from the budget when the attempt ended, and
// the attempt that replaces it, if one is placed already.
func (t *idleTimer) result() (retryTaken bool, next *attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.retryTaken, t.next
}

// reset restarts the timer after the server has sent data.
func (t *idleTimer) reset() {
	t.request.forwarder.recordActivity(t.attempt.server.ID)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.resets++
	t.waited = t.timeouts.soft
	t.timer.Reset(t.timeouts.soft)
}

// stop stops the timer.
func (t *idleTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}

// isServerDead reports whether the attempt ended because the server gave no sign
// of life.
func (t *idleTimer) isServerDead() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.serverDead
}

// checkSilent reports whether a silent server is alive, and its status. An engine is
// asked for it. Any other server is judged by the entry's other requests, and runs
// the request if it is alive.
func (x *activeRequest) checkSilent(ctx context.Context, server backend.Announcement) (alive bool, status forward.ServerStatus) {
	if x.req.Model == "" {
		alive = x.forwarder.isAlive(server.ID)
		return alive, forward.ServerStatus{RunsRequest: alive}
	}
	status, err := x.forwarder.fetchStatus(ctx, server, x.req.ID)
	x.logStatus(server, status, err)
	return err == nil, status
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

// fetchStatus asks an engine for its status and whether it runs the request.
func (f *forwarder) fetchStatus(ctx context.Context, server backend.Announcement, requestID string) (forward.ServerStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	dialect := f.entry.cfg.Forwarding.Dialect
	answer, err := f.client.Do(ctx, upstream.Call{
		Address: server.Address, Method: http.MethodGet, Host: server.Address, Target: dialect.StatusTarget(), NewConn: true,
	}, func() error { return nil })
	if err != nil {
		return forward.ServerStatus{}, err
	}
	defer answer.Close()
	body, err := io.ReadAll(io.LimitReader(answer, maxStatusBytes))
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
	return idleTimeouts{soft: remaining, hard: remaining}
}

// headTimeouts returns the timeouts for the header of an attempt's answer.
func (x *activeRequest) headTimeouts(a *attempt) idleTimeouts {
	last := x.deadlineTimeouts()
	if !x.mayRetryAfter(x.runs+1) || x.route.Objective <= 0 {
		return last
	}
	hard := headHardFactor * x.route.Objective
	soft := max(time.Duration(headSoftFactor*float64(a.expected)), min(headSoftFloor, hard))
	return idleTimeouts{soft: min(soft, last.soft), hard: min(max(hard, soft), last.hard)}
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
	if !x.mayRetryAfter(x.runs) {
		return x.deadlineTimeouts()
	}
	soft := max(time.Duration(eventSoftFactor*float64(x.route.EventGap)), eventSoftFloor)
	return idleTimeouts{soft: soft, hard: max(eventHardFloor, eventHardFactor*x.route.EventGap)}
}
