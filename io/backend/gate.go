package backend

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
)

type (
	// gatedConn is a connection that checks the gate of an attempt before the
	// first write of that attempt.
	gatedConn struct {
		net.Conn

		mu sync.Mutex
		// attempt is the attempt to check before the next write, or nil.
		attempt *gatedAttempt
	}

	// gatedAttempt tracks one attempt and the results of its gate checks. When Go's
	// transport sends the attempt again, the gate is checked again.
	gatedAttempt struct {
		gate Gate

		mu sync.Mutex
		// connected is set once the attempt has a connection.
		connected bool
		// allowed is set once the gate has allowed the attempt.
		allowed bool
		// gateErr is the last error of the gate.
		gateErr error
	}
)

// dialGated wraps the connections that dial returns in a gatedConn.
func dialGated(dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &gatedConn{Conn: conn}, nil
	}
}

// trace returns the hooks that attach the attempt to its connection and report
// to the gate when the request is written.
func (a *gatedAttempt) trace() *httptrace.ClientTrace {
	t := &httptrace.ClientTrace{GotConn: a.onConnect}
	if a.gate != nil {
		t.WroteRequest = func(httptrace.WroteRequestInfo) { a.gate.Written() }
	}
	return t
}

// onConnect records the connection and arms it to check the gate before its next
// write.
func (a *gatedAttempt) onConnect(info httptrace.GotConnInfo) {
	a.mu.Lock()
	a.connected = true
	a.mu.Unlock()
	conn, ok := info.Conn.(*gatedConn)
	if !ok || a.gate == nil {
		return
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.attempt = a
}

// checkGate checks the gate and records the result. It returns nil when the attempt
// may be written.
func (a *gatedAttempt) checkGate() error {
	err := a.gate.Check()
	a.mu.Lock()
	defer a.mu.Unlock()
	if err == nil {
		a.allowed = true
		return nil
	}
	a.gateErr = err
	return err
}

// notRunCause returns why no byte of the attempt was written, or nil when one may
// have been. The parameter is the attempt's error.
func (a *gatedAttempt) notRunCause(attemptErr error) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case !a.connected:
		return attemptErr
	case a.gateErr != nil && !a.allowed:
		return a.gateErr
	}
	return nil
}

// Write checks the gate before the first byte of an attempt.
func (c *gatedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	attempt := c.attempt
	c.attempt = nil
	c.mu.Unlock()
	if attempt != nil {
		if err := attempt.checkGate(); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(b)
}
