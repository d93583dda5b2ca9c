package httpd

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleCloser closes connections that are without a request for longer than a
// bound that may change while they are open.
type idleCloser struct {
	bound func() time.Duration

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func newIdleCloser(bound func() time.Duration) *idleCloser {
	return &idleCloser{bound: bound, timers: make(map[net.Conn]*time.Timer)}
}

// changed takes a connection's new state.
func (i *idleCloser) changed(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if t, ok := i.timers[c]; ok {
		t.Stop()
		delete(i.timers, c)
	}
	if s != http.StateIdle {
		return
	}
	if bound := i.bound(); bound > 0 {
		i.timers[c] = time.AfterFunc(bound, func() { c.Close() }) //nolint:errcheck // the server sees it closed
	}
}
