package httpd

import (
	"bytes"
	"net"
	"net/http"
	"sync"
	"time"
)

// drainPoll is the pause between two looks at the connections of a server that stops.
const drainPoll = 5 * time.Millisecond

type (
	// trackedListener tracks the connections that it accepts.
	trackedListener struct{ net.Listener }

	// conns are the open connections of a server. It closes idle ones after a timeout,
	// which, unlike http.Server.IdleTimeout, may change while connections are open.
	//
	// It also replaces http.Server.Shutdown, which drops requests that are read while it
	// runs: their callers get neither an answer nor a refusal.
	conns struct {
		timeout func() time.Duration // nil for no timeout

		mu       sync.Mutex
		open     map[*trackedConn]bool
		draining bool
	}

	// trackedConn is a connection that is not closed between the first byte of a request
	// and its answer. For http.Server a connection is idle until the whole header of the
	// next request has been read.
	trackedConn struct {
		net.Conn

		mu      sync.Mutex
		waiting bool // no byte has arrived since the last answer
		ahead   bool // a byte of the next request has arrived before the last answer ended
		timer   *time.Timer
	}
)

func newConns(timeout func() time.Duration) *conns {
	return &conns{timeout: timeout, open: make(map[*trackedConn]bool)}
}

// Accept implements net.Listener.
func (l trackedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: c, waiting: true}, nil
}

// onStateChange is an http.Server.ConnState hook.
func (s *conns) onStateChange(c net.Conn, state http.ConnState) {
	t, ok := c.(*trackedConn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.open[t] = true
	case http.StateActive:
		t.beginRequest() // the server may have read the request ahead
	case http.StateIdle:
		t.awaitRequest(s.idleTimeout())
	case http.StateClosed, http.StateHijacked:
		delete(s.open, t)
		t.stopWaiting()
	}
}

// idleTimeout returns how long a connection may wait for a request from now on, negative
// for no limit. Callers hold s.mu.
func (s *conns) idleTimeout() time.Duration {
	if s.draining {
		return 0
	}
	if s.timeout == nil || s.timeout() <= 0 {
		return -1
	}
	return s.timeout()
}

// drain closes connections that wait for a request, and waits until the others have had
// their answers and are closed, for the given time at most.
func (s *conns) drain(limit time.Duration) {
	for end := time.Now().Add(limit); s.closeWaiting() > 0 && time.Now().Before(end); {
		time.Sleep(drainPoll)
	}
}

// closeWaiting closes the connections that wait for a request, now and from now on. It
// returns the number of open connections.
func (s *conns) closeWaiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for t := range s.open {
		t.closeIfWaiting()
	}
	return len(s.open)
}

// resetOnClose lets connections with a running request be reset when they are closed: an
// answer that ends with its connection must not look whole.
func (s *conns) resetOnClose() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for t := range s.open {
		if !t.isWaiting() {
			t.SetLinger(0) //nolint:errcheck // fails only on a closed connection
		}
	}
}

// Read implements net.Conn.
func (t *trackedConn) Read(p []byte) (int, error) {
	n, err := t.Conn.Read(p)
	if len(bytes.Trim(p[:n], "\r\n")) > 0 { // empty lines belong to no request
		t.receive(len(p) == 1)
	}
	return n, err
}

// receive records that data has arrived. While a handler runs, http.Server reads a single
// byte to see whether the caller leaves; it is the first of the next request.
func (t *trackedConn) receive(single bool) {
	t.mu.Lock()
	t.ahead = t.ahead || single && !t.waiting
	t.mu.Unlock()
	t.stopWaiting()
}

// beginRequest records that the header of a request has been read.
func (t *trackedConn) beginRequest() {
	t.mu.Lock()
	t.ahead = false
	t.mu.Unlock()
	t.stopWaiting()
}

// CloseWrite closes the sending side, which http.Server does before it closes a connection
// whose request it has not read to the end.
func (t *trackedConn) CloseWrite() error {
	if c, ok := t.Conn.(interface{ CloseWrite() error }); ok {
		return c.CloseWrite()
	}
	return nil
}

// SetLinger sets what becomes of data that is not sent yet when the connection is closed; 0
// resets the connection.
func (t *trackedConn) SetLinger(seconds int) error {
	if c, ok := t.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return c.SetLinger(seconds)
	}
	return nil
}

// awaitRequest closes the connection if no byte of a request arrives within the timeout,
// which is negative for none.
func (t *trackedConn) awaitRequest(timeout time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer != nil {
		t.timer.Stop()
	}
	if t.ahead {
		return
	}
	t.waiting = true
	if timeout >= 0 {
		t.timer = time.AfterFunc(timeout, t.closeIfWaiting)
	}
}

func (t *trackedConn) isWaiting() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.waiting
}

func (t *trackedConn) stopWaiting() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting = false
	if t.timer != nil {
		t.timer.Stop()
		t.timer = nil
	}
}

// closeIfWaiting ends the wait for a request. It lets the pending read time out, upon which
// the server closes the connection: a read that has returned data wins, because the server
// sets a new deadline before it reads on.
func (t *trackedConn) closeIfWaiting() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.waiting {
		t.SetReadDeadline(time.Unix(1, 0)) //nolint:errcheck // fails only on a closed connection
	}
}
