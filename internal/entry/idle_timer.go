package entry

import (
	"context"
	"sync"
	"time"

	"github.com/juju/clock"
)

const (
	// aliveTime is how recently a server must have sent data on any
	// connection to count as alive. An engine's step takes some tens of
	// milliseconds, and a chunk of a long prompt a hundred.
	aliveTime = 300 * time.Millisecond

	// headFactor, as a multiple of the expected time, and headSoftFloor
	// determine the soft timeout for an answer's header. Nine of ten headers
	// arrive within twice the expected time. Under load more take longer, and
	// retrying at another server would only add load.
	headFactor = 4
	headFloor  = 1200 * time.Millisecond

	// stallFactor, as a multiple of the gap after which the stream is late,
	// and eventSoftFloor determine the soft timeout for the next event.
	stallFactor = 1.0
	stallFloor  = time.Second

	// hardFactor determines the hard timeout for an answer's header, as a
	// multiple of the route's objective.
	hardFactor = 2

	// stallMost and eventHardFactor, as a multiple of the gap after which
	// the stream is late, determine the hard timeout for the next event.
	// Callers give up after two seconds or more.
	stallMost       = 1800 * time.Millisecond
	stallMostFactor = 3
)

// patience holds the timeouts of a wait for a server: soft if the server is
// silent on all connections, hard if it keeps answering other requests.
type patience struct{ soft, hard time.Duration }

// silence cancels an attempt whose server sends nothing. A server that is
// silent towards all requests of this entry is taken for dead. One that answers
// others is busy and gets more time.
type silence struct {
	x        *passage
	server   string
	patience patience
	end      func()

	mu       sync.Mutex
	timer    clock.Timer
	extended bool // the hard timeout is running
	dead     bool // the attempt ended at the soft timeout
}

// watchSilence starts a timer that cancels the attempt, with the reason as
// cause, if its server is silent for too long.
func (x *passage) watchSilence(cancel context.CancelCauseFunc, reason error, a *attempt, timeouts patience) *silence {
	t := &silence{x: x, server: a.server.ID, patience: timeouts, end: func() { cancel(reason) }}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = x.f.entry.cfg.Clock.AfterFunc(timeouts.soft, t.expired)
	return t
}

func (t *silence) expired() {
	t.mu.Lock()
	defer t.mu.Unlock()
	isSoft := !t.extended && t.patience.hard > t.patience.soft
	if isSoft && t.x.f.isAlive(t.server) {
		t.extended = true
		t.timer.Reset(t.patience.hard - t.patience.soft)
		return
	}
	t.dead = isSoft
	t.end()
}

// heard restarts the timer after the server has sent data.
func (t *silence) heard() {
	t.x.f.hear(t.server)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.extended = false
	t.timer.Reset(t.patience.soft)
}

// stop stops the timer.
func (t *silence) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer.Stop()
}

// isDead reports whether the attempt ended because the server was silent
// on all connections.
func (t *silence) isDead() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.dead
}

// hear records that the server has sent data.
func (f *forwarding) hear(server string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heardAt[server] = f.entry.cfg.Clock.Now()
}

func (f *forwarding) isAlive(server string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.entry.cfg.Clock.Now().Sub(f.heardAt[server]) < aliveTime
}

// mayFollow reports whether another attempt is allowed after the given
// number of runs. Only then does silence end an attempt: the last one is waited
// for as long as the caller waits.
func (x *passage) mayFollow(runs int) bool {
	return x.route.MayRepeat() && runs < x.route.Attempts && x.sends < x.route.Attempts+extraSends
}

// untilDeadline returns the timeouts of a last attempt: the request's
// remaining time.
func (x *passage) untilDeadline() patience {
	remaining := x.deadline.Sub(x.now())
	return patience{soft: remaining, hard: remaining}
}

// headPatience returns the timeouts for the header of an attempt's answer.
func (x *passage) headPatience(a *attempt) patience {
	last := x.untilDeadline()
	if !x.mayFollow(x.runs+1) || x.route.Objective <= 0 {
		return last
	}
	hard := hardFactor * x.route.Objective
	soft := max(time.Duration(headFactor*float64(a.expected)), min(headFloor, hard))
	return patience{soft: min(soft, last.soft), hard: min(max(hard, soft), last.hard)}
}

// bodyPatience returns the timeouts for the body of an answer that is no
// stream.
func (x *passage) bodyPatience() patience {
	if !x.mayFollow(x.runs) {
		return x.untilDeadline()
	}
	return patience{soft: stallMost, hard: stallMost}
}

// eventPatience returns the timeouts for the next event of a stream.
func (x *passage) eventPatience() patience {
	if !x.mayFollow(x.runs) {
		return x.untilDeadline()
	}
	soft := max(time.Duration(stallFactor*float64(x.route.Gap)), stallFloor)
	return patience{soft: soft, hard: max(stallMost, stallMostFactor*x.route.Gap)}
}
