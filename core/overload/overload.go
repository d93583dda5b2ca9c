// Package overload decides what a process holds for requests that are not complete or not answered
// yet: which connections it closes, and which requests it rejects, when callers use up its memory
// or its descriptors.
//
// The load that it answers is a crowd of clients that open many connections, send large bodies or
// heads, and never end them. Requests that bring nothing yield first, then new large ones; small
// requests have a reserved part, so that ordinary callers still get answers. Servers that begin many
// answers and never end them are met in the same way: such an answer yields.
package overload

import (
	"bytes"
	"container/list"
	"time"
)

const (
	// workingBytes is the memory of a process without requests.
	workingBytes = 32 << 20

	// softLimitShare is the share of an instance's memory at which the garbage collector works
	// harder. Requests end well before, because a collector that is always busy stops the process
	// as well.
	softLimitShare = 0.7

	// The shares of what is left for requests' bytes and for connections. The rest is garbage that
	// is not collected yet, and the work on the requests.
	requestShare    = 0.4
	connectionShare = 0.2
	reservedShare   = 0.25

	// connectionBytes is the memory of a connection: its buffers and the stack that serves it.
	connectionBytes = 16 << 10

	// reservedFiles are descriptors for files. Of the others, clientFileShare are for connections
	// that others open: a request needs a second one, to a server, and the process has some of its
	// own.
	reservedFiles   = 200
	clientFileShare = 0.45

	// One in answeringShare of the connections may get an answer after it was evicted. Others are
	// closed at once.
	answeringShare = 8

	smallBytes = 64 << 10

	// headLineBytes is the memory that a line of a head takes beside its text.
	headLineBytes = 160

	// stallTime is far above the pauses of a client on a slow link that it shares with others: a
	// lost packet is sent again within a second.
	stallTime = 2 * time.Second

	// sendStallTime is longer, as a kernel with full buffers takes more only once a third of them
	// is free again.
	sendStallTime = 10 * time.Second

	// minRetryAfter spares a process the clients that would come back at once.
	minRetryAfter = 100 * time.Millisecond

	// The limits of an instance that are not known.
	defaultMemoryBytes = 512 << 20
	defaultFiles       = 1024
)

// The states of a connection.
const (
	// Idle connections wait for a request.
	Idle State = iota
	// Reading connections have brought a part of a request.
	Reading
	// Busy connections have brought a whole request, or belong to a proven member. They are
	// evicted only if their clients take nothing of their answers.
	Busy
	// Receiving connections are those to servers. They bring an answer to a request.
	Receiving
	// Evicted connections are about to be closed.
	Evicted
)

// The reasons why a connection or a request yields.
const (
	// NoRoom means that the memory for requests is in use.
	NoRoom Reason = "no_room"
	// Stalled means that the request or its answer was incomplete while others needed its memory,
	// and had brought nothing for a while or was the oldest small request.
	Stalled Reason = "stalled"
	// NoDescriptor means that too many connections are open.
	NoDescriptor Reason = "no_descriptor"
	// TooSlow means that the request was not complete in time.
	TooSlow Reason = "too_slow"
	// HeadTooLarge means that the head is over the limit.
	HeadTooLarge Reason = "head_too_large"
	// Stopping means that the request was not complete when its server ended.
	Stopping Reason = "stopping"
)

// Reasons are all reasons.
var Reasons = []Reason{NoRoom, Stalled, NoDescriptor, TooSlow, HeadTooLarge, Stopping}

type (
	// State is the state of a connection.
	State int

	// Reason is why a connection or a request yields.
	Reason string

	// Limits are the limits of a process.
	Limits struct {
		// Bytes is the memory for the heads and bodies of requests and answers, and Reserved the
		// part of it that only requests of up to SmallBytes get.
		Bytes      int64
		Reserved   int64
		SmallBytes int64
		// Connections is the number of connections that others may open.
		Connections int
		// StallTime is how long a request or an answer may bring nothing before it yields to others.
		StallTime time.Duration
		// SendStallTime is how long a client may take nothing of its answer before it yields.
		SendStallTime time.Duration
	}

	// Account holds the connections of a process and what their requests and answers hold. It is
	// not safe for concurrent use.
	Account struct {
		limits Limits

		open       int // all connections, evicted ones too
		evicted    int // evicted ones
		answering  int // evicted ones that get an answer
		bytes      int64
		largeBytes int64 // of requests over SmallBytes, and of answers
		demands    uint64

		idle      list.List // *Connection by when they began to wait
		reading   list.List // *Connection by when the request began
		quiet     list.List // *Connection that read, by when they last brought a byte
		sending   list.List // *Connection that are written to, by when they last took something
		receiving list.List // *Connection to servers, by when they last brought a byte
	}

	// Connection is a connection of an Account, from a client or to a server.
	Connection struct {
		// Evict closes the connection. The owner calls it for the connections that a method of
		// the Account returns, after it has released its locks.
		Evict func()

		state      State
		answering  bool
		bytes      int64
		since      time.Time // when the state began
		progressAt time.Time
		queue      *list.Element // in idle or reading
		quiet      *list.Element // in quiet or receiving
		request    *Connection   // that the answer is for, nil for a connection from a client
		sentAt     time.Time
		sending    *list.Element
		demands    uint64 // the number of the last demand to which it might yield
	}

	// demand is the demand of a connection for n bytes more, with what small and large requests
	// hold once the victims have yielded.
	demand struct {
		account      *Account
		c            *Connection
		n            int64
		small, large int64
		victims      []*Connection
	}
)

// LimitsFor returns the limits of a process on an instance with the given memory in bytes and
// number of descriptors, 0 for unknown.
func LimitsFor(memory int64, files int) Limits {
	if memory <= 0 {
		memory = defaultMemoryBytes
	}
	if files <= 0 {
		files = defaultFiles
	}
	left := max(softLimitShare*float64(memory)-workingBytes, float64(memory)/8)
	clientFiles := clientFileShare * float64(max(files-reservedFiles, files/2))
	return Limits{
		Bytes: int64(requestShare * left), Reserved: int64(reservedShare * requestShare * left), SmallBytes: smallBytes,
		Connections: int(min(clientFiles, connectionShare*left/connectionBytes)), StallTime: stallTime,
		SendStallTime: sendStallTime,
	}
}

// NewAccount returns an account without connections.
func NewAccount(l Limits) *Account { return &Account{limits: l} }

// Open adds a connection that waits for a request. At the limit another one is evicted: one whose
// request has stalled, else the one that has waited longest for a request or for its end. Open
// returns nil if there is none.
func (a *Account) Open(now time.Time) (c, evicted *Connection) {
	if a.open-a.evicted >= a.limits.Connections {
		if evicted = a.longestWaiting(now); evicted == nil {
			return nil, nil
		}
		a.evict(evicted)
	}
	c = &Connection{since: now}
	a.open++
	a.enqueue(c, &a.idle)
	return c, evicted
}

// longestWaiting returns the connection that yields its descriptor, nil for none.
func (a *Account) longestWaiting(now time.Time) *Connection {
	if c := front(&a.quiet); c != nil && now.Sub(c.progressAt) >= a.limits.StallTime {
		return c
	}
	if c := a.stalledSender(now); c != nil {
		return c
	}
	idle, reading := front(&a.idle), front(&a.reading)
	if idle == nil || reading != nil && reading.since.Before(idle.since) {
		return reading
	}
	return idle
}

// stalledSender returns the connection whose client has taken nothing of its answer for longest, nil
// for none for which that is too long.
func (a *Account) stalledSender(now time.Time) *Connection {
	if c := front(&a.sending); c != nil && now.Sub(c.sentAt) >= a.limits.SendStallTime {
		return c
	}
	return nil
}

// Receive adds a connection to a server, which brings an answer to the request of a connection.
// It counts as large, so that answers take nothing of what is reserved for small requests.
func (a *Account) Receive(now time.Time, request *Connection) *Connection {
	c := &Connection{state: Receiving, request: request, since: now, progressAt: now}
	c.quiet = a.receiving.PushBack(c)
	return c
}

// Keep lets the request of a connection to a server hold the whole answer until it is answered.
func (a *Account) Keep(c *Connection) {
	n := c.bytes
	a.release(c)
	if c.request.state != Evicted {
		a.add(c.request, n)
	}
}

// Close removes a connection that is closed.
func (a *Account) Close(c *Connection) {
	if c.request != nil {
		a.release(c)
		a.dequeue(c)
		return
	}
	if c.state == Evicted {
		a.evicted--
	}
	if c.answering {
		a.answering--
	}
	a.release(c)
	a.dequeue(c)
	a.Sent(c)
	a.open--
}

// Await lets a connection wait for a request: the last one is answered.
func (a *Account) Await(now time.Time, c *Connection) { a.move(now, c, Idle) }

// Complete records that a connection has brought a whole request, or has proved that it belongs
// to a member. It reports whether the connection is not evicted.
func (a *Account) Complete(now time.Time, c *Connection) bool {
	a.move(now, c, Busy)
	return c.state != Evicted
}

// Begin records that a connection that was answered begins another protocol, whose peer has to
// prove itself first.
func (a *Account) Begin(now time.Time, c *Connection) {
	a.move(now, c, Reading)
	a.Read(now, c)
}

// Read records that a connection has brought a part of a request or an answer. It reports whether
// the connection is not evicted.
func (a *Account) Read(now time.Time, c *Connection) bool {
	if c.state == Idle {
		a.move(now, c, Reading)
	}
	if c.state == Reading || c.state == Receiving {
		c.progressAt = now
		a.quiet.MoveToBack(c.quiet) // without effect on an element of another list
		a.receiving.MoveToBack(c.quiet)
	}
	return c.state != Evicted
}

// Send records that a part of an answer is written to a connection, which goes on until Sent.
func (a *Account) Send(now time.Time, c *Connection) {
	if c.state == Evicted {
		return
	}
	c.sentAt = now
	if c.sending == nil {
		c.sending = a.sending.PushBack(c)
	} else {
		a.sending.MoveToBack(c.sending)
	}
}

// Sent records that a part of an answer was written.
func (a *Account) Sent(c *Connection) {
	if c.sending != nil {
		a.sending.Remove(c.sending)
		c.sending = nil
	}
}

// Take takes n bytes for the request of a connection, or its answer, and reports whether there was
// room. Evicted are the connections that yield theirs: stalled ones, those whose answers aren't
// taken, and to a small request other small ones that have been incomplete for longest. None yields
// if that would not be enough. A large request that is the only one always gets room, and so does
// its answer.
func (a *Account) Take(now time.Time, c *Connection, n int64) (evicted []*Connection, ok bool) {
	if c.state == Evicted {
		return nil, false
	}
	a.demands++
	d := demand{account: a, c: c, n: n, small: a.bytes - a.largeBytes, large: a.largeBytes}
	if !d.fits() && !a.yieldTo(now, &d) {
		return nil, false
	}
	for _, victim := range d.victims {
		a.evict(victim)
	}
	a.add(c, n)
	return d.victims, true
}

// RetryAfter returns when a request that gets no room now may come back: when the first unfinished
// request that holds something stalls, if no byte of it arrives. Nothing tells when complete ones
// end; beside those alone it is StallTime.
func (a *Account) RetryAfter(now time.Time) time.Duration {
	wait := a.limits.StallTime
	for _, unfinished := range []*list.List{&a.quiet, &a.receiving} {
		for e := unfinished.Front(); e != nil; e = e.Next() {
			if c := connectionOf(e); c.bytes > 0 {
				wait = min(max(c.progressAt.Add(a.limits.StallTime).Sub(now), minRetryAfter), wait)
				break
			}
		}
	}
	return wait
}

// Release gives back what the request of a connection holds, when it is rejected.
func (a *Account) Release(c *Connection) { a.release(c) }

// Return gives back n bytes of what a connection holds.
func (a *Account) Return(c *Connection, n int64) { a.add(c, -min(n, c.bytes)) }

// yieldTo adds connections that yield to the demand until it fits, and reports whether it does.
func (a *Account) yieldTo(now time.Time, d *demand) bool {
	for e := a.quiet.Front(); e != nil && now.Sub(connectionOf(e).progressAt) >= a.limits.StallTime; e = e.Next() {
		if d.evict(connectionOf(e)) {
			return true
		}
	}
	for e := a.receiving.Front(); e != nil && now.Sub(connectionOf(e).progressAt) >= a.limits.StallTime; e = e.Next() {
		if d.evict(connectionOf(e)) {
			return true
		}
	}
	for e := a.sending.Front(); e != nil && now.Sub(connectionOf(e).sentAt) >= a.limits.SendStallTime; e = e.Next() {
		if d.evict(connectionOf(e)) {
			return true
		}
	}
	if !d.isSmall() {
		return false
	}
	for e := a.reading.Front(); e != nil; e = e.Next() {
		if oldest := connectionOf(e); a.isSmall(oldest, oldest.bytes) && d.evict(oldest) {
			return true
		}
	}
	return false
}

// isSmall reports whether the request is small with what it needs.
func (d *demand) isSmall() bool { return d.account.isSmall(d.c, d.c.bytes+d.n) }

// fits reports whether there is room.
func (d *demand) fits() bool {
	limits := d.account.limits
	unreserved := limits.Bytes - limits.Reserved
	if d.isSmall() {
		// A single large request may hold more than its part.
		return d.small+min(d.large, unreserved)+d.n <= limits.Bytes
	}
	return d.othersLarge() == 0 || d.fitsLarge() && d.small+d.large+d.n <= limits.Bytes
}

// fitsLarge reports whether the part for large requests has room.
func (d *demand) fitsLarge() bool {
	limits := d.account.limits
	return d.othersLarge()+d.c.bytes+d.n <= limits.Bytes-limits.Reserved
}

// othersLarge returns what other large requests and their answers hold.
func (d *demand) othersLarge() int64 {
	large := d.large
	for _, own := range []*Connection{d.c, d.c.request} {
		if own != nil && !d.account.isSmall(own, own.bytes) {
			large -= own.bytes
		}
	}
	return large
}

// evict lets a connection yield if that helps, and reports whether the demand fits then.
func (d *demand) evict(v *Connection) bool {
	isSmall := d.account.isSmall(v, v.bytes)
	if v == d.c || v == d.c.request || v.bytes == 0 || isSmall && !d.isSmall() && !d.fitsLarge() || v.demands == d.account.demands {
		return false
	}
	if isSmall {
		d.small -= v.bytes
	} else {
		d.large -= v.bytes
	}
	v.demands = d.account.demands
	d.victims = append(d.victims, v)
	return d.fits()
}

// isSmall reports whether the connection counts as small with n bytes.
func (a *Account) isSmall(c *Connection, n int64) bool {
	return c.request == nil && n <= a.limits.SmallBytes
}

func (a *Account) evict(c *Connection) {
	a.release(c)
	a.dequeue(c)
	if c.request != nil {
		c.state = Evicted
		return
	}
	mayAnswer := c.sending == nil
	a.Sent(c)
	c.state = Evicted
	a.evicted++
	if mayAnswer && a.answering < a.limits.Connections/answeringShare {
		c.answering = true
		a.answering++
	}
}

// MayAnswer reports whether an evicted connection is closed only after an answer.
func (c *Connection) MayAnswer() bool { return c.answering }

func (a *Account) add(c *Connection, n int64) {
	if !a.isSmall(c, c.bytes) {
		a.largeBytes -= c.bytes
	}
	c.bytes += n
	a.bytes += n
	if !a.isSmall(c, c.bytes) {
		a.largeBytes += c.bytes
	}
}

func (a *Account) release(c *Connection) { a.add(c, -c.bytes) }

// move changes the state of a connection that is not evicted.
func (a *Account) move(now time.Time, c *Connection, s State) {
	if c.state == Evicted || c.state == s {
		return
	}
	a.dequeue(c)
	c.state, c.since = s, now
	switch s {
	case Idle:
		a.release(c)
		a.enqueue(c, &a.idle)
	case Reading:
		a.enqueue(c, &a.reading)
		c.quiet = a.quiet.PushBack(c)
	}
}

func (a *Account) enqueue(c *Connection, l *list.List) { c.queue = l.PushBack(c) }

func (a *Account) dequeue(c *Connection) {
	if c.queue != nil {
		a.idle.Remove(c.queue) // without effect on an element of another list
		a.reading.Remove(c.queue)
		c.queue = nil
	}
	if c.quiet != nil {
		a.quiet.Remove(c.quiet)
		a.receiving.Remove(c.quiet)
		c.quiet = nil
	}
}

// Bytes returns the memory that requests and answers hold.
func (a *Account) Bytes() int64 { return a.bytes }

// Connections returns the numbers of all connections and of those whose request is incomplete.
func (a *Account) Connections() (open, reading int) { return a.open, a.reading.Len() }

// HeadCost returns the memory in bytes that a part of the head of a request or an answer takes once
// it is decoded.
func HeadCost(part []byte) int64 {
	return 2*int64(len(part)) + headLineBytes*int64(bytes.Count(part, []byte("\n")))
}

func front(l *list.List) *Connection {
	if e := l.Front(); e != nil {
		return connectionOf(e)
	}
	return nil
}

func connectionOf(e *list.Element) *Connection {
	c, _ := e.Value.(*Connection) //nolint:errcheck // the lists hold nothing else
	return c
}
