package overload_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"rosereach/core/overload"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// limits are those of a small instance.
var limits = overload.LimitsFor(144<<20, 4100)

// client is a client of a simulated process.
type client struct {
	conn  *overload.Connection
	left  int64 // bytes that it still sends
	piece int64 // bytes that it sends at a time
	shed  bool
}

// world is a process and its clients.
type world struct {
	t       *testing.T
	now     time.Time
	account *overload.Account
	clients map[*overload.Connection]*client
}

func newWorld(t *testing.T, l overload.Limits) *world {
	return &world{t: t, now: start, account: overload.NewAccount(l), clients: make(map[*overload.Connection]*client)}
}

// connect opens the connection of a client, which stays nil if there is no room.
func (w *world) connect(left, piece int64) *client {
	c := &client{left: left, piece: piece}
	conn, evicted := w.account.Open(w.now)
	w.shed(evicted)
	if conn != nil {
		c.conn = conn
		w.clients[conn] = c
	}
	return c
}

func (w *world) shed(evicted ...*overload.Connection) {
	for _, e := range evicted {
		if e != nil {
			w.clients[e].shed = true
			w.account.Close(e)
			delete(w.clients, e)
		}
	}
}

// send lets a client send its next piece, and reports whether there was room.
func (w *world) send(c *client) bool {
	if c.shed || c.conn == nil {
		return false
	}
	w.account.Read(w.now, c.conn)
	n := min(c.piece, c.left)
	evicted, ok := w.account.Take(w.now, c.conn, n)
	w.shed(evicted...)
	if !ok {
		w.close(c)
		return false
	}
	if c.left -= n; c.left == 0 {
		w.account.Complete(w.now, c.conn)
	}
	return true
}

func (w *world) close(c *client) {
	w.account.Close(c.conn)
	delete(w.clients, c.conn)
	c.shed = true
}

// sendAll sends until the client has no more, and reports whether all had room.
func (w *world) sendAll(c *client) bool {
	for c.left > 0 {
		if !w.send(c) {
			return false
		}
	}
	return true
}

// A crowd of large bodies that stop short of their end holds no more than its part. Ordinary
// requests are served beside it, and a large one once it has stalled.
func TestCrowdOfUnfinishedBodies(t *testing.T) {
	w := newWorld(t, limits)
	const body = 4 << 20
	var crowd []*client
	for range 150 {
		crowd = append(crowd, w.connect(body, 64<<10))
	}
	for range body/(64<<10) - 1 {
		for _, c := range crowd {
			w.send(c)
		}
		w.now = w.now.Add(10 * time.Millisecond)
	}
	if held := w.account.Bytes(); held > limits.Bytes {
		t.Errorf("%d bytes are held, %d are allowed", held, limits.Bytes)
	}
	for i := range 1000 {
		c := w.connect(20<<10, 4<<10)
		if !w.sendAll(c) {
			t.Fatalf("ordinary request %d is shed", i)
		}
		w.close(c)
	}
	if w.sendAll(w.connect(body, 64<<10)) {
		t.Error("a large body gets room that others are using")
	}
	w.now = w.now.Add(limits.StallTime)
	if !w.sendAll(w.connect(body, 64<<10)) {
		t.Error("a large body gets no room beside stalled ones")
	}
}

// Small requests that stop short of their end yield to newer ones, oldest first; large ones that
// go on do not yield to them.
func TestCrowdOfSmallRequests(t *testing.T) {
	w := newWorld(t, limits)
	large := w.connect(4<<20, 64<<10)
	for range 32 {
		w.send(large)
	}
	for i := range 3000 {
		c := w.connect(50<<10, 25<<10)
		if !w.send(c) {
			t.Fatalf("small request %d is shed when it comes", i)
		}
		w.send(large)
		w.now = w.now.Add(time.Millisecond)
	}
	if large.shed {
		t.Error("a large request that goes on has yielded to small ones")
	}
	if held := w.account.Bytes(); held > limits.Bytes {
		t.Errorf("%d bytes are held, %d are allowed", held, limits.Bytes)
	}
}

// A single request of any size is served, and small ones beside it.
func TestSingleRequestIsServed(t *testing.T) {
	w := newWorld(t, limits)
	if !w.sendAll(w.connect(10*limits.Bytes, 1<<20)) {
		t.Error("a single large request is shed")
	}
	if !w.sendAll(w.connect(20<<10, 4<<10)) {
		t.Error("a small request beside it is shed")
	}
}

// At the limit of connections, the one that has waited longest yields to a new one, and a stalled
// one before it. Requests that are complete never yield.
func TestConnectionsYield(t *testing.T) {
	l := overload.Limits{Bytes: 1 << 20, Reserved: 1 << 18, SmallBytes: 1 << 16, Connections: 4, StallTime: 2 * time.Second}
	w := newWorld(t, l)
	next := func() { w.now = w.now.Add(100 * time.Millisecond) }
	idle := w.connect(100, 10)
	next()
	reading := w.connect(100, 10)
	w.send(reading)
	next()
	complete := w.connect(100, 100)
	w.send(complete)
	next()
	newer := w.connect(100, 10)
	for _, want := range []*client{idle, reading, newer} {
		next()
		w.connect(100, 100).piece = 100
		if !want.shed {
			t.Fatalf("%+v has not yielded", want)
		}
	}
	if complete.shed {
		t.Error("a complete request has yielded")
	}
	w = newWorld(t, l)
	stalled := w.connect(100, 10)
	waiting := w.connect(100, 10)
	w.send(stalled)
	w.now = w.now.Add(l.StallTime)
	for range 3 {
		w.connect(100, 10)
	}
	if !stalled.shed || waiting.shed {
		t.Errorf("stalled %v, waiting %v", stalled.shed, waiting.shed)
	}
	w = newWorld(t, l)
	for range l.Connections {
		w.send(w.connect(100, 100))
	}
	if w.connect(100, 100).conn != nil {
		t.Error("a connection is accepted though none can yield")
	}
}

// Answers that their callers don't take yield to others after a while, and those that are taken don't.
func TestUntakenAnswersYield(t *testing.T) {
	l := overload.Limits{
		Bytes: 1 << 20, Reserved: 1 << 18, SmallBytes: 1 << 16, Connections: 100, StallTime: time.Second, SendStallTime: 10 * time.Second,
	}
	w := newWorld(t, l)
	hold := func(c *client, n int64) bool {
		evicted, ok := w.account.Take(w.now, c.conn, n)
		w.shed(evicted...)
		return ok
	}
	var callers []*client
	for range 3 {
		c := w.connect(100, 100)
		w.send(c)
		if !hold(c, 200<<10) {
			t.Fatal("no room for an answer")
		}
		w.account.Send(w.now, c.conn)
		callers = append(callers, c)
	}
	last := w.connect(100, 100)
	w.send(last)
	for i := range 10 {
		if hold(last, 300<<10) {
			t.Fatalf("an answer gets the room of others after %d s", i)
		}
		w.now = w.now.Add(time.Second)
		w.account.Send(w.now, callers[1].conn) // it takes a part
	}
	if !hold(last, 300<<10) {
		t.Error("no room beside answers that nobody takes")
	}
	if !callers[0].shed || callers[1].shed {
		t.Errorf("untaken answer shed: %v, taken one: %v", callers[0].shed, callers[1].shed)
	}
	if callers[0].conn.MayAnswer() {
		t.Error("a client that takes nothing gets an answer")
	}
}

// Whatever clients do, the account stays within its limits and ends empty.
func TestAccountBalances(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		l := overload.Limits{Bytes: 1 << 20, Reserved: 1 << 18, SmallBytes: 1 << 14, Connections: 20, StallTime: time.Second}
		w := newWorld(t, l)
		var clients []*client
		for range 2000 {
			w.now = w.now.Add(time.Duration(random.IntN(100)) * time.Millisecond)
			if len(clients) == 0 || random.IntN(4) == 0 {
				clients = append(clients, w.connect(1+random.Int64N(1<<18), 1+random.Int64N(1<<14)))
				continue
			}
			c := clients[random.IntN(len(clients))]
			switch random.IntN(10) {
			case 0:
				if !c.shed && c.conn != nil {
					w.close(c)
				}
			case 1:
				if !c.shed && c.conn != nil {
					w.account.Await(w.now, c.conn)
					c.left = 1 + random.Int64N(1<<18)
				}
			default:
				if c.left > 0 {
					w.send(c)
				}
			}
			if open, _ := w.account.Connections(); w.account.Bytes() > l.Bytes || open > l.Connections || open != len(w.clients) {
				t.Fatalf("seed %d: %d bytes, %d connections, %d clients", seed, w.account.Bytes(), open, len(w.clients))
			}
		}
		for _, c := range clients {
			if !c.shed && c.conn != nil {
				w.close(c)
			}
		}
		if open, reading := w.account.Connections(); w.account.Bytes() != 0 || open != 0 || reading != 0 {
			t.Fatalf("seed %d: %d bytes, %d connections, %d unfinished are left", seed, w.account.Bytes(), open, reading)
		}
	}
}

// An instance of any size has room for a body of usual size and for small requests beside it.
func ExampleLimitsFor() {
	for _, mb := range []int64{144, 284, 424} {
		l := overload.LimitsFor(mb<<20, 4100)
		fmt.Printf("%d MB: %d MB of requests, %d of them reserved, %d connections\n", mb, l.Bytes>>20, l.Reserved>>20, l.Connections)
	}
	// Output:
	// 144 MB: 27 MB of requests, 6 of them reserved, 880 connections
	// 284 MB: 66 MB of requests, 16 of them reserved, 1755 connections
	// 424 MB: 105 MB of requests, 26 of them reserved, 1755 connections
}

// A request is not ended for another one that gets no room by it: a large one that is short of room
// for large ones leaves small ones alone, stalled or not, and callers whose answers hold nothing.
func TestNobodyYieldsInVain(t *testing.T) {
	l := overload.Limits{
		Bytes: 1 << 20, Reserved: 1 << 18, SmallBytes: 1 << 16, Connections: 100, StallTime: time.Second, SendStallTime: 10 * time.Second,
	}
	w := newWorld(t, l)
	var small []*client
	for range 3 {
		c := w.connect(2<<10, 1<<10)
		w.send(c)
		small = append(small, c)
	}
	unread := w.connect(100, 100)
	w.send(unread)
	w.account.Await(w.now, unread.conn) // its answer holds nothing
	w.account.Send(w.now, unread.conn)
	for range 2 {
		if c := w.connect(300<<10, 300<<10); !w.sendAll(c) {
			t.Fatal("no room for a large request that is then complete")
		}
	}
	w.now = w.now.Add(l.SendStallTime)
	if w.sendAll(w.connect(300<<10, 300<<10)) {
		t.Fatal("a large request gets the room of complete ones")
	}
	for _, c := range append(small, unread) {
		if c.shed {
			t.Errorf("%+v has yielded, and nobody got room", c)
		}
	}
}

// A client that is rejected beside bodies that stand still gets room when it comes back at the time
// that it was told, and not before.
func TestRetryAfterIsWhenThereIsRoom(t *testing.T) {
	const body = 4 << 20
	for _, passed := range []time.Duration{0, 500 * time.Millisecond, 1900 * time.Millisecond} {
		w := newWorld(t, limits)
		for range 20 {
			c := w.connect(body, 64<<10)
			for c.left > 64<<10 && w.send(c) {
			}
		}
		w.now = w.now.Add(passed)
		rejected := w.connect(body, 64<<10)
		if w.sendAll(rejected) {
			t.Fatal("the large body is not rejected")
		}
		wait := w.account.RetryAfter(w.now)
		w.now = w.now.Add(wait - time.Millisecond)
		if w.sendAll(w.connect(body, 64<<10)) {
			t.Errorf("%s after the bodies stopped: there is room before %s", passed, wait)
		}
		w.now = w.now.Add(time.Millisecond)
		if !w.sendAll(w.connect(body, 64<<10)) {
			t.Errorf("%s after the bodies stopped: no room after %s", passed, wait)
		}
	}
	w := newWorld(t, limits)
	for range 20 {
		w.sendAll(w.connect(body, 64<<10))
	}
	if wait := w.account.RetryAfter(w.now); wait != limits.StallTime {
		t.Errorf("beside complete requests: %s", wait)
	}
}
