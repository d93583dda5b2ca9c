// Package fault is a TCP proxy that causes failures of the network between
// two processes: silent cuts, resets, delays, narrow links and lost bytes.
package fault

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// chunkBytes is how much is passed on at once.
	chunkBytes = 16 << 10

	dialTimeout = 3 * time.Second
)

type (
	// Plan says what the proxy does to traffic. The zero plan passes it on.
	// Limits count for each connection and direction.
	Plan struct {
		// Silent loses all bytes both ways while connections stay open.
		Silent bool
		// Refuse closes new connections at once.
		Refuse bool
		// Delay is added to every chunk, one way.
		Delay time.Duration
		// BytesPerSecond bounds the throughput one way; 0 is no bound.
		BytesPerSecond int
		// ResetAfter resets the connection after that many bytes of the
		// answer; -1 resets before the first one, 0 never.
		ResetAfter int64
		// ResetQuiet resets the connection once an answer has paused for that
		// long, as a peer does that dies after its last byte; 0 never.
		ResetQuiet time.Duration
	}

	// Proxy passes connections on to a target under a plan.
	Proxy struct {
		listener net.Listener
		target   string

		mu     sync.Mutex
		plan   Plan
		change chan struct{}
		pairs  map[*pair]bool
		bytes  int64
		closed bool
	}

	// pair is one connection and its counterpart at the target.
	pair struct{ caller, target net.Conn }

	// pipe is one direction of a pair.
	pipe struct {
		from, to net.Conn
		answer   bool
		passed   int64
		quiet    *time.Timer
	}
)

// Start listens on a port of loopback that the kernel chooses and passes
// connections on to the target, host:port, until the context ends. An empty
// target closes them until SetTarget names one.
func Start(ctx context.Context, target string) (*Proxy, error) {
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, change: make(chan struct{}), pairs: make(map[*pair]bool)}
	context.AfterFunc(ctx, p.close)
	go p.accept(ctx)
	return p, nil
}

// Address returns the host:port to connect to.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set puts a plan in force, also for open connections.
func (p *Proxy) Set(plan Plan) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.plan = plan
	close(p.change)
	p.change = make(chan struct{})
}

// SetTarget sends new connections to another target.
func (p *Proxy) SetTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// Reset ends all open connections with a reset.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for pr := range p.pairs {
		pr.reset()
	}
}

// Bytes returns how many bytes were passed on, both ways.
func (p *Proxy) Bytes() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.bytes
}

// Open returns the number of open connections.
func (p *Proxy) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.pairs)
}

func (p *Proxy) close() {
	p.listener.Close() //nolint:errcheck // the proxy ends
	p.Reset()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
}

func (p *Proxy) accept(ctx context.Context) {
	for {
		caller, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.connect(ctx, caller)
	}
}

func (p *Proxy) connect(ctx context.Context, caller net.Conn) {
	plan, change := p.current()
	for plan.Silent {
		if !await(ctx, change, 0) {
			caller.Close() //nolint:errcheck // the proxy ends
			return
		}
		plan, change = p.current()
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	target, err := dialer.DialContext(ctx, "tcp", p.targetNow())
	if err != nil || plan.Refuse {
		caller.Close() //nolint:errcheck // refused
		if err == nil {
			target.Close() //nolint:errcheck // refused
		}
		return
	}
	pr := &pair{caller: caller, target: target}
	if !p.add(pr) {
		pr.reset()
		return
	}
	defer p.remove(pr)
	var both sync.WaitGroup
	both.Go(func() { p.run(ctx, pr, &pipe{from: caller, to: target}) })
	both.Go(func() { p.run(ctx, pr, &pipe{from: target, to: caller, answer: true}) })
	both.Wait()
}

// run passes one direction on until it ends.
func (p *Proxy) run(ctx context.Context, pr *pair, d *pipe) {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := d.from.Read(buffer)
		if n > 0 && !p.pass(ctx, pr, d, buffer[:n]) {
			pr.close()
			return
		}
		if errors.Is(err, io.EOF) {
			p.shutWrite(ctx, d.to)
			return
		}
		if err != nil {
			pr.close()
			return
		}
	}
}

// pass sends a chunk under the plan and reports whether the pair goes on. A
// chunk that arrives during a silent cut is held until the cut ends, as TCP
// would send it again.
func (p *Proxy) pass(ctx context.Context, pr *pair, d *pipe, chunk []byte) bool {
	plan, change := p.current()
	for plan.Silent {
		if !await(ctx, change, 0) {
			return false
		}
		plan, change = p.current()
	}
	if d.answer && plan.ResetAfter != 0 && d.passed+int64(len(chunk)) > plan.ResetAfter {
		keep := max(plan.ResetAfter-d.passed, 0)
		d.to.Write(chunk[:keep]) //nolint:errcheck // the connection is reset anyway
		pr.reset()
		return false
	}
	if plan.Delay > 0 && !await(ctx, nil, plan.Delay) {
		return false
	}
	if plan.BytesPerSecond > 0 {
		await(ctx, nil, time.Duration(float64(len(chunk))/float64(rate.Limit(plan.BytesPerSecond))*float64(time.Second)))
	}
	d.passed += int64(len(chunk))
	p.count(len(chunk))
	if _, err := d.to.Write(chunk); err != nil {
		return false
	}
	p.watchQuiet(pr, d, plan.ResetQuiet)
	return true
}

// watchQuiet resets the connection unless its answer goes on in time.
func (p *Proxy) watchQuiet(pr *pair, d *pipe, quiet time.Duration) {
	if d.quiet != nil {
		d.quiet.Stop()
	}
	if d.answer && quiet > 0 {
		d.quiet = time.AfterFunc(quiet, pr.reset)
	}
}

// shutWrite passes the end of a direction on, unless a silent cut hides it.
func (p *Proxy) shutWrite(ctx context.Context, to net.Conn) {
	plan, change := p.current()
	for plan.Silent {
		if !await(ctx, change, 0) {
			return
		}
		plan, change = p.current()
	}
	if t, ok := to.(*net.TCPConn); ok {
		t.CloseWrite() //nolint:errcheck // the peer has gone
	}
}

func (p *Proxy) current() (Plan, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.plan, p.change
}

func (p *Proxy) targetNow() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.target
}

func (p *Proxy) count(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bytes += int64(n)
}

func (p *Proxy) add(pr *pair) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.pairs[pr] = true
	return true
}

func (p *Proxy) remove(pr *pair) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pairs, pr)
	pr.close()
}

func (pr *pair) close() {
	pr.caller.Close() //nolint:errcheck // it may be closed already
	pr.target.Close() //nolint:errcheck // it may be closed already
}

// reset closes both connections so that the peers see a reset.
func (pr *pair) reset() {
	for _, c := range []net.Conn{pr.caller, pr.target} {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0) //nolint:errcheck // it may be closed already
		}
	}
	pr.close()
}

// await waits for the change, or for the time when it is not 0, and reports
// whether the context still runs.
func await(ctx context.Context, change <-chan struct{}, d time.Duration) bool {
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
