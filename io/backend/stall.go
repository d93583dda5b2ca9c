package backend

import (
	"sync"

	"github.com/juju/clock"
)

// stallTimer ends an attempt whose answer stalls, if it may be ended.
type stallTimer struct {
	mayEnd func() bool
	end    func()

	mu      sync.Mutex
	timer   clock.Timer
	resets  uint64 // to detect a reset while mayEnd decides
	stopped bool
}

// watchStall starts a timer that calls end when no token has arrived for stallTimeout and
// mayEnd allows it. A nil mayEnd never does.
func (c *Client) watchStall(mayEnd func() bool, end func()) *stallTimer {
	t := &stallTimer{mayEnd: mayEnd, end: end}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = c.clock.AfterFunc(stallTimeout, t.onTimeout)
	return t
}

func (t *stallTimer) onTimeout() {
	t.mu.Lock()
	resets := t.resets
	t.mu.Unlock()
	ends := t.mayEnd != nil && t.mayEnd()
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.stopped || t.resets != resets:
	case ends:
		t.end()
	default:
		t.timer.Reset(stallTimeout)
	}
}

func (t *stallTimer) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.resets++
	t.timer.Reset(stallTimeout)
}

func (t *stallTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}
