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
		// passage is the attempt to check before the next write, or nil.
		passage *passage
	}

	// passage tracks one attempt and the results of its gate checks. When Go's
	// transport sends the attempt again, the gate is checked again.
	passage struct {
		gate Gate

		mu sync.Mutex
		// stands is set once the attempt has a connection.
		stands bool
		// passed is set once the gate has allowed the attempt.
		passed bool
		// denied is the last error of the gate.
		denied error
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
func (a *passage) trace() *httptrace.ClientTrace {
	t := &httptrace.ClientTrace{GotConn: a.stand}
	if a.gate != nil {
		t.WroteRequest = func(httptrace.WroteRequestInfo) { a.gate.Written() }
	}
	return t
}

// stand records the connection and arms it to check the gate before its next
// write.
func (a *passage) stand(info httptrace.GotConnInfo) {
	a.mu.Lock()
	a.stands = true
	a.mu.Unlock()
	conn, ok := info.Conn.(*gatedConn)
	if !ok || a.gate == nil {
		return
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.passage = a
}

// ask checks the gate and records the result. It returns nil when the attempt
// may be written.
func (a *passage) ask() error {
	err := a.gate.Check()
	a.mu.Lock()
	defer a.mu.Unlock()
	if err == nil {
		a.passed = true
		return nil
	}
	a.denied = err
	return err
}

// proof returns why no byte of the attempt was written, or nil when one may
// have been. The parameter is the attempt's error.
func (a *passage) proof(attemptErr error) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case !a.stands:
		return attemptErr
	case a.denied != nil && !a.passed:
		return a.denied
	}
	return nil
}

// Write checks the gate before the first byte of an attempt.
func (c *gatedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	attempt := c.passage
	c.passage = nil
	c.mu.Unlock()
	if attempt != nil {
		if err := attempt.ask(); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(b)
}
