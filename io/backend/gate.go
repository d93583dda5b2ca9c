package backend

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
)

type (
	// gatedConn is a connection whose next write, once it is armed, asks the
	// gate of an attempt first.
	gatedConn struct {
		net.Conn

		mu      sync.Mutex
		passage *passage
	}

	// passage is one attempt's way through its gate. An attempt that Go's
	// transport sends again goes through it again.
	passage struct {
		gate Gate

		mu     sync.Mutex
		stands bool
		passed bool
		denied error
	}
)

// dialGated wraps the connections of a dialler.
func dialGated(dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &gatedConn{Conn: conn}, nil
	}
}

// trace returns the hooks that put the passage before an attempt's bytes.
func (p *passage) trace() *httptrace.ClientTrace {
	t := &httptrace.ClientTrace{GotConn: p.stand}
	if p.gate != nil {
		t.WroteRequest = func(httptrace.WroteRequestInfo) { p.gate.Written() }
	}
	return t
}

func (p *passage) stand(info httptrace.GotConnInfo) {
	p.mu.Lock()
	p.stands = true
	p.mu.Unlock()
	conn, ok := info.Conn.(*gatedConn)
	if !ok || p.gate == nil {
		return
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.passage = p
}

// ask returns nil when the attempt may be written.
func (p *passage) ask() error {
	err := p.gate.Check()
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		p.passed = true
		return nil
	}
	p.denied = err
	return err
}

// proof returns the reason for which no byte of the attempt was written, or
// nil when one may have been. Cause is the attempt's error.
func (p *passage) proof(cause error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case !p.stands:
		return cause
	case p.denied != nil && !p.passed:
		return p.denied
	}
	return nil
}

// Write asks the gate before the first byte of an attempt.
func (c *gatedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	p := c.passage
	c.passage = nil
	c.mu.Unlock()
	if p != nil {
		if err := p.ask(); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(b)
}
