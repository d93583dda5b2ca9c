package httpd

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/juju/clock"
	"github.com/prometheus/client_golang/prometheus"

	"rosereach/core/overload"
	"rosereach/core/retry"
)

const (
	// shedLogInterval is the shortest time between two log lines about what a guard sheds.
	shedLogInterval = time.Second

	// stoppedRetryAfter is short, as another server can take the request at once.
	stoppedRetryAfter = 100 * time.Millisecond
)

// Guard limits the memory and the descriptors that the clients of a process take. The servers of
// a process share one. It is a prometheus.Collector.
type Guard struct {
	clock  clock.Clock
	logger log.Logger

	mu       sync.Mutex
	account  *overload.Account
	random   *rand.Rand
	shed     map[overload.Reason]int // all so far
	unlogged map[overload.Reason]int // since the last log line
	loggedAt time.Time
	line     []any // to be logged once mu is released
	panics   int
	answers  map[AnswerEnd]int
}

var (
	bytesHeldDesc   = prometheus.NewDesc("rosereach_client_bytes", "Memory that the requests of clients and the answers to them hold.", nil, nil)
	connectionsDesc = prometheus.NewDesc("rosereach_client_connections", "Connections of clients, by whether they have brought a part of a request.", []string{"state"}, nil)
	shedDesc        = prometheus.NewDesc("rosereach_shed_total", "Connections and requests of clients that were ended, by reason.", []string{"reason"}, nil)
	answersDesc     = prometheus.NewDesc("rosereach_client_answers_total", "Answers to clients that their handlers have finished, by how they ended.", []string{"end"}, nil)
	panicsDesc      = prometheus.NewDesc("rosereach_handler_panics_total", "Handlers of requests that panicked.", nil, nil)
)

// NewGuard returns a guard with the limits.
func NewGuard(l overload.Limits, c clock.Clock, logger log.Logger) *Guard {
	seed := uint64(c.Now().UnixNano())
	return &Guard{
		clock: c, logger: logger, account: overload.NewAccount(l),
		random: rand.New(rand.NewPCG(seed, 0)), //nolint:gosec // only used to spread load
		shed:   make(map[overload.Reason]int), unlogged: make(map[overload.Reason]int),
		answers: make(map[AnswerEnd]int),
	}
}

// Established records that the connection of the request with the context has proved that it
// belongs to another process of the system. It is not shed any more.
func Established(ctx context.Context) {
	if t, ok := ctx.Value(connKey{}).(*trackedConn); ok {
		t.Establish()
	}
}

// Listener returns a listener of another protocol than HTTP whose connections the guard limits. A
// connection has a method Establish() to call when its peer has proved who it is.
func (g *Guard) Listener(l net.Listener) net.Listener {
	return &trackedListener{Listener: l, guard: g, closes: &closingTime{}}
}

// open adds a connection and reports whether there was room.
func (g *Guard) open(t *trackedConn) bool {
	g.mu.Lock()
	c, evicted := g.account.Open(g.clock.Now())
	if c == nil || evicted != nil {
		g.count(overload.NoDescriptor)
	}
	if c != nil {
		c.Evict = t.evict
		t.held = c
	}
	g.unlock()
	if evicted != nil {
		evicted.Evict()
	}
	return c != nil
}

// read records that a connection has brought a part of a request, and reports whether the request
// goes on.
func (g *Guard) read(c *overload.Connection) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.account.Read(g.clock.Now(), c)
}

// take takes n bytes for the request of a connection and reports whether there was room. If not, the
// request is rejected.
func (g *Guard) take(c *overload.Connection, n int64) bool {
	ok := g.tryTake(c, n)
	if !ok {
		g.release(c)
	}
	return ok
}

// tryTake takes n bytes for the request of a connection and reports whether there was room.
func (g *Guard) tryTake(c *overload.Connection, n int64) bool {
	g.mu.Lock()
	evicted, ok := g.account.Take(g.clock.Now(), c, n)
	for range evicted {
		g.count(overload.Stalled)
	}
	if !ok {
		g.count(overload.NoRoom)
	}
	g.unlock()
	for _, e := range evicted {
		e.Evict()
	}
	return ok
}

func (g *Guard) await(c *overload.Connection) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.account.Await(g.clock.Now(), c)
}

// complete records that the whole request was read, and reports whether it goes on.
func (g *Guard) complete(c *overload.Connection) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.account.Complete(g.clock.Now(), c)
}

func (g *Guard) begin(c *overload.Connection) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.account.Begin(g.clock.Now(), c)
}

func (g *Guard) send(c *overload.Connection) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.account.Send(g.clock.Now(), c)
}

func (g *Guard) sent(c *overload.Connection) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.account.Sent(c)
}

func (g *Guard) release(c *overload.Connection) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.account.Release(c)
}

// giveBack gives back n bytes of what a connection holds.
func (g *Guard) giveBack(c *overload.Connection, n int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.account.Return(c, n)
}

// receive adds a connection to a server, which evict ends.
func (g *Guard) receive(request *overload.Connection, evict func()) *overload.Connection {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.account.Receive(g.clock.Now(), request)
	c.Evict = evict
	return c
}

// keep lets the request hold the whole answer from a server.
func (g *Guard) keep(c *overload.Connection) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.account.Keep(c)
}

func (g *Guard) close(c *overload.Connection) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.account.Close(c)
}

// recordShed counts a request that was ended without the account.
func (g *Guard) recordShed(r overload.Reason) {
	g.mu.Lock()
	g.count(r)
	g.unlock()
}

// refusal returns the error of a body that is ended. Its clients come back one after the other.
func (g *Guard) refusal(r overload.Reason) *overload.Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch r {
	case overload.TooSlow:
		return &overload.Refusal{Reason: r}
	case overload.Stopping:
		return &overload.Refusal{Reason: r, RetryAfter: retry.WithJitter(stoppedRetryAfter, g.random)}
	}
	return &overload.Refusal{Reason: r, RetryAfter: retry.WithJitter(g.account.RetryAfter(g.clock.Now()), g.random)}
}

// unlock releases g.mu and logs what count left to log, as a log may block.
func (g *Guard) unlock() {
	line := g.line
	g.line = nil
	g.mu.Unlock()
	if line != nil {
		level.Warn(g.logger).Log(line...)
	}
}

// count counts what is shed, and leaves a log line to unlock from time to time. Callers hold g.mu.
func (g *Guard) count(r overload.Reason) {
	g.shed[r]++
	g.unlogged[r]++
	now := g.clock.Now()
	if now.Sub(g.loggedAt) < shedLogInterval {
		return
	}
	g.loggedAt = now
	open, reading := g.account.Connections()
	fields := []any{"msg", "Requests of clients are shed.", "held", g.account.Bytes(), "open", open, "unfinished", reading}
	for _, reason := range overload.Reasons {
		if n := g.unlogged[reason]; n > 0 {
			fields = append(fields, string(reason), n)
		}
	}
	clear(g.unlogged)
	g.line = fields
}

// Describe implements prometheus.Collector.
func (g *Guard) Describe(descs chan<- *prometheus.Desc) {
	descs <- bytesHeldDesc
	descs <- connectionsDesc
	descs <- shedDesc
	descs <- panicsDesc
	descs <- answersDesc
}

// Collect implements prometheus.Collector.
func (g *Guard) Collect(metrics chan<- prometheus.Metric) {
	g.mu.Lock()
	defer g.mu.Unlock()
	open, reading := g.account.Connections()
	metrics <- prometheus.MustNewConstMetric(bytesHeldDesc, prometheus.GaugeValue, float64(g.account.Bytes()))
	metrics <- prometheus.MustNewConstMetric(connectionsDesc, prometheus.GaugeValue, float64(reading), "unfinished")
	metrics <- prometheus.MustNewConstMetric(connectionsDesc, prometheus.GaugeValue, float64(open-reading), "other")
	for _, reason := range overload.Reasons {
		metrics <- prometheus.MustNewConstMetric(shedDesc, prometheus.CounterValue, float64(g.shed[reason]), string(reason))
	}
	metrics <- prometheus.MustNewConstMetric(panicsDesc, prometheus.CounterValue, float64(g.panics))
	for _, end := range []AnswerEnd{AnswerSent, AnswerFailed, AnswerTimedOut, AnswerReset, AnswerUnsent} {
		metrics <- prometheus.MustNewConstMetric(answersDesc, prometheus.CounterValue, float64(g.answers[end]), string(end))
	}
}
