package entry

import (
	"context"
	"sync"
	"time"

	"github.com/juju/clock"
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
)

// idleTimeouts holds the timeouts of a wait for a server: soft if the server is
// silent on all connections, hard if it keeps answering other requests.
type idleTimeouts struct{ soft, hard time.Duration }

// idleTimer cancels an attempt whose server sends nothing. A server that is silent
// on all requests of this entry is considered dead. One that answers others is busy
// and gets more time.
type idleTimer struct {
	request  *activeRequest
	server   string
	timeouts idleTimeouts
	cancel   func()

	mu         sync.Mutex
	timer      clock.Timer
	extended   bool // the hard timeout is running
	serverDead bool // the attempt ended at the soft timeout
}

// startIdleTimer starts a timer that cancels the attempt, with the reason as
// cause, if its server is silent for too long.
func (x *activeRequest) startIdleTimer(cancel context.CancelCauseFunc, reason error, a *attempt, timeouts idleTimeouts) *idleTimer {
	t := &idleTimer{request: x, server: a.server.ID, timeouts: timeouts, cancel: func() { cancel(reason) }}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = x.forwarder.entry.cfg.Clock.AfterFunc(timeouts.soft, t.onTimeout)
	return t
}

func (t *idleTimer) onTimeout() {
	t.mu.Lock()
	defer t.mu.Unlock()
	isSoft := !t.extended && t.timeouts.hard > t.timeouts.soft
	if isSoft && t.request.forwarder.isAlive(t.server) {
		t.extended = true
		t.timer.Reset(t.timeouts.hard - t.timeouts.soft)
		return
	}
	t.serverDead = isSoft
	t.cancel()
}

// reset restarts the timer after the server has sent data.
func (t *idleTimer) reset() {
	t.request.forwarder.recordActivity(t.server)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.extended = false
	t.timer.Reset(t.timeouts.soft)
}

// stop stops the timer.
func (t *idleTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer.Stop()
}

// isServerDead reports whether the attempt ended because the server was silent
// on all connections.
func (t *idleTimer) isServerDead() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.serverDead
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
