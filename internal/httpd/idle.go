package httpd

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleCloser closes connections that have been idle for longer than a timeout.
// Unlike http.Server.IdleTimeout, the timeout may change while connections are
// open.
type idleCloser struct {
	timeout func() time.Duration

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func newIdleCloser(timeout func() time.Duration) *idleCloser {
	return &idleCloser{timeout: timeout, timers: make(map[net.Conn]*time.Timer)}
}

// onStateChange is an http.Server.ConnState hook. It starts a connection's timer, with
// the timeout that is in force, when the connection becomes idle.
func (i *idleCloser) onStateChange(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if t, ok := i.timers[c]; ok {
		t.Stop()
		delete(i.timers, c)
	}
	if s != http.StateIdle {
		return
	}
	if timeout := i.timeout(); timeout > 0 {
		i.timers[c] = time.AfterFunc(timeout, func() { c.Close() }) //nolint:errcheck // the server notices the closed connection
	}
}
