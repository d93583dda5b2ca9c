// Package fault provides a TCP proxy that injects network faults between two
// processes: blackholed traffic, refused connections, resets, delays and
// limited bandwidth.
package fault

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/time/rate"
)

const (
	// bufferBytes is the size of the read buffer of each direction.
	bufferBytes = 16 << 10

	dialTimeout = 3 * time.Second
)

type (
	// Plan lists the faults that the proxy injects. The zero Plan forwards
	// traffic unchanged. Limits apply to each connection and direction.
	Plan struct {
		// Blackhole stops traffic in both directions while connections stay
		// open. Held bytes are delivered once the fault ends.
		Blackhole bool
		// RefuseNew closes new connections immediately.
		RefuseNew bool
		// Delay is added to every chunk, in each direction.
		Delay time.Duration
		// BytesPerSecond limits the throughput of each direction; 0 means no limit.
		BytesPerSecond int
		// ResetAfterBytes resets the connection after that many response bytes;
		// -1 resets before the first one, 0 never.
		ResetAfterBytes int64
		// ResetAfterIdle resets the connection once a response has paused for
		// that long, like a peer that crashes after its last byte; 0 never.
		ResetAfterIdle time.Duration
	}

	// Proxy forwards connections to a target and injects the faults of a Plan.
	Proxy struct {
		listener net.Listener
		target   string

		mu          sync.Mutex
		plan        Plan
		planChanged chan struct{}
		pairs       map[*connPair]bool
		bytes       int64
		closed      bool
	}

	// connPair is a client connection and the matching connection to the target.
	connPair struct{ client, target net.Conn }

	// direction is one direction of a connPair.
	direction struct {
		from, to  net.Conn
		response  bool
		forwarded int64
		idleTimer *time.Timer
	}
)

// Start listens on a loopback port chosen by the kernel and forwards
// connections to the target (host:port) until the context ends. With an empty
// target, connections are closed until SetTarget is called.
func Start(ctx context.Context, target string) (*Proxy, error) {
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, planChanged: make(chan struct{}), pairs: make(map[*connPair]bool)}
	context.AfterFunc(ctx, p.close)
	go p.accept(ctx)
	return p, nil
}

// Address returns the host:port to connect to.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetPlan applies a plan to new and open connections.
func (p *Proxy) SetPlan(plan Plan) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.plan = plan
	close(p.planChanged)
	p.planChanged = make(chan struct{})
}

// SetTarget changes the target of new connections.
func (p *Proxy) SetTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// Reset closes all open connections with a TCP reset.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for pr := range p.pairs {
		pr.reset()
	}
}

// Bytes returns the number of bytes forwarded in both directions.
func (p *Proxy) Bytes() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.bytes
}

// OpenConns returns the number of open connections.
func (p *Proxy) OpenConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.pairs)
}

func (p *Proxy) close() {
	p.listener.Close() //nolint:errcheck // the proxy is shutting down
	p.Reset()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
}

func (p *Proxy) accept(ctx context.Context) {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.connect(ctx, client)
	}
}

func (p *Proxy) connect(ctx context.Context, client net.Conn) {
	plan, change := p.currentPlan()
	for plan.Blackhole {
		if !waitForChange(ctx, change, 0) {
			client.Close() //nolint:errcheck // the proxy is shutting down
			return
		}
		plan, change = p.currentPlan()
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	target, err := dialer.DialContext(ctx, "tcp", p.currentTarget())
	if err != nil || plan.RefuseNew {
		client.Close() //nolint:errcheck // refused
		if err == nil {
			target.Close() //nolint:errcheck // refused
		}
		return
	}
	pr := &connPair{client: client, target: target}
	if !p.addPair(pr) {
		pr.reset()
		return
	}
	defer p.removePair(pr)
	var both sync.WaitGroup
	both.Go(func() { p.copyDirection(ctx, pr, &direction{from: client, to: target}) })
	both.Go(func() { p.copyDirection(ctx, pr, &direction{from: target, to: client, response: true}) })
	both.Wait()
}

// copyDirection copies one direction until it ends.
func (p *Proxy) copyDirection(ctx context.Context, pr *connPair, d *direction) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := d.from.Read(buffer)
		if n > 0 && !p.forward(ctx, pr, d, buffer[:n]) {
			pr.close()
			return
		}
		if errors.Is(err, io.EOF) {
			p.forwardEOF(ctx, d.to)
			return
		}
		if errors.Is(err, syscall.ECONNRESET) {
			pr.reset()
			return
		}
		if err != nil {
			pr.close()
			return
		}
	}
}

// forward forwards a chunk with the plan's faults and reports whether the
// connection continues. A chunk that arrives while traffic is blackholed is
// held until the fault ends, since TCP would retransmit it.
func (p *Proxy) forward(ctx context.Context, pr *connPair, d *direction, chunk []byte) bool {
	plan, change := p.currentPlan()
	for plan.Blackhole {
		if !waitForChange(ctx, change, 0) {
			return false
		}
		plan, change = p.currentPlan()
	}
	if d.response && plan.ResetAfterBytes != 0 && d.forwarded+int64(len(chunk)) > plan.ResetAfterBytes {
		allowed := max(plan.ResetAfterBytes-d.forwarded, 0)
		d.to.Write(chunk[:allowed]) //nolint:errcheck // the connection is reset anyway
		pr.reset()
		return false
	}
	if plan.Delay > 0 && !waitForChange(ctx, nil, plan.Delay) {
		return false
	}
	if plan.BytesPerSecond > 0 {
		waitForChange(ctx, nil, time.Duration(float64(len(chunk))/float64(rate.Limit(plan.BytesPerSecond))*float64(time.Second)))
	}
	d.forwarded += int64(len(chunk))
	p.addBytes(len(chunk))
	if _, err := d.to.Write(chunk); err != nil {
		return false
	}
	p.restartIdleTimer(pr, d, plan.ResetAfterIdle)
	return true
}

// restartIdleTimer restarts the timer that resets the connection if the response
// pauses for longer than idle.
func (p *Proxy) restartIdleTimer(pr *connPair, d *direction, idle time.Duration) {
	if d.idleTimer != nil {
		d.idleTimer.Stop()
	}
	if d.response && idle > 0 {
		d.idleTimer = time.AfterFunc(idle, pr.reset)
	}
}

// forwardEOF half-closes the other connection at EOF, once traffic is no longer
// blackholed.
func (p *Proxy) forwardEOF(ctx context.Context, to net.Conn) {
	plan, change := p.currentPlan()
	for plan.Blackhole {
		if !waitForChange(ctx, change, 0) {
			return
		}
		plan, change = p.currentPlan()
	}
	if t, ok := to.(*net.TCPConn); ok {
		t.CloseWrite() //nolint:errcheck // the peer may have closed the connection
	}
}

func (p *Proxy) currentPlan() (Plan, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.plan, p.planChanged
}

func (p *Proxy) currentTarget() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.target
}

func (p *Proxy) addBytes(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bytes += int64(n)
}

func (p *Proxy) addPair(pr *connPair) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.pairs[pr] = true
	return true
}

func (p *Proxy) removePair(pr *connPair) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pairs, pr)
	pr.close()
}

func (pr *connPair) close() {
	pr.client.Close() //nolint:errcheck // it may already be closed
	pr.target.Close() //nolint:errcheck // it may already be closed
}

// reset closes both connections with a TCP reset (SO_LINGER 0).
func (pr *connPair) reset() {
	for _, c := range []net.Conn{pr.client, pr.target} {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0) //nolint:errcheck // it may already be closed
		}
	}
	pr.close()
}

// waitForChange waits for the change or, if d is positive, for at most d. It returns
// false if the context ends first.
func waitForChange(ctx context.Context, change <-chan struct{}, d time.Duration) bool {
	var timer <-chan time.Time
	if d > 0 {
		timer = time.After(d)
	}
	select {
	case <-change:
	case <-timer:
	case <-ctx.Done():
		return false
	}
	return true
}
