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
func (p *passage) trace() *httptrace.ClientTrace {
	t := &httptrace.ClientTrace{GotConn: p.stand}
	if p.gate != nil {
		t.WroteRequest = func(httptrace.WroteRequestInfo) { p.gate.Written() }
	}
	return t
}

// stand records the connection and arms it to check the gate before its next
// write.
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

// ask checks the gate and records the result. It returns nil when the attempt
// may be written.
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

// proof returns why no byte of the attempt was written, or nil when one may have
// been. The parameter is the attempt's error.
func (p *passage) proof(attemptErr error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case !p.stands:
		return attemptErr
	case p.denied != nil && !p.passed:
		return p.denied
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
