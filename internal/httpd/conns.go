package httpd

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"rosereach/core/overload"
)

const (
	// readAheadBytes is how much of what follows a head http.Server may read with it.
	readAheadBytes = 4 << 10

	// writePieceBytes is how much of an answer is written at a time.
	writePieceBytes = 32 << 10

	// arrivedTime is how long data that has arrived may take to pass through TLS.
	arrivedTime = 5 * time.Millisecond

	// smallSendBuffer is the largest size to which every kernel lets a socket's buffer grow at a
	// request, in the kernel's account. A larger one may have grown by itself, and stays.
	smallSendBuffer = 416 << 10

	// lastSendBuffer is how much of an answer the kernel is asked to take when the server ends.
	lastSendBuffer = 1 << 20

	headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\n" +
		"Connection: close\r\n\r\nthe header is over the limit\n"
)

type (
	// conns are the open connections of a server. It closes idle ones after a timeout,
	// which, unlike http.Server.IdleTimeout, may change while connections are open.
	//
	// It also replaces http.Server.Shutdown, which drops requests that are read while it
	// runs: their callers get neither an answer nor a refusal.
	conns struct {
		server Server

		mu       sync.Mutex
		open     map[*trackedConn]bool
		draining bool
		ended    chan struct{} // closed when no connection is open any more
	}

	// trackedConn is a connection that is not closed between the first byte of a request
	// and its answer. For http.Server a connection is idle until the whole header of the
	// next request has been read.
	trackedConn struct {
		net.Conn
		server Server
		guard  *Guard
		held   *overload.Connection // its part of the guard's account
		closes *closingTime         // of its server
		closed sync.Once
		// endRequests ends the contexts of its requests with a cause.
		endRequests context.CancelCauseFunc
		answer      answer // to the last request

		mu       sync.Mutex
		waiting  bool // no byte has arrived since the last answer
		waitOver bool // waiting, and the connection is closed unless a request has arrived
		ahead    bool // a byte of the next request has arrived before the last answer ended
		inHead   bool // the head of a request is being read
		running  bool // the handler of a request has not returned
		headSize int  // bytes read of it
		ended    bool // no more is read
		shed     bool // the guard has ended it
		stopped  bool // the server has ended it
		hijacked bool // no handler answers
		lingers  bool // what still arrives is read and dropped, then the connection is closed
		timer    *time.Timer
		// endsByClose is nil once the answer to the last request has begun to be written.
		endsByClose func() bool
	}
)

func newConns(s Server) *conns {
	return &conns{server: s, open: make(map[*trackedConn]bool), ended: make(chan struct{})}
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
		t.awaitRequest(s.firstTimeout())
	case http.StateActive:
		t.beginRequest() // the server may have read the request ahead
	case http.StateIdle:
		t.awaitRequest(s.idleTimeout())
	case http.StateHijacked:
		s.remove(t)
		t.stopWaiting()
		t.hijack()
		t.guard.begin(t.held)
	case http.StateClosed:
		s.remove(t)
		t.stopWaiting()
	}
}

// remove removes a connection that is closed. Callers hold s.mu.
func (s *conns) remove(t *trackedConn) {
	if !s.open[t] {
		return
	}
	delete(s.open, t)
	if s.draining && len(s.open) == 0 {
		close(s.ended)
	}
}

// idleTimeout returns how long a connection may wait for a request from now on, negative
// for no limit. Callers hold s.mu.
func (s *conns) idleTimeout() time.Duration {
	if s.draining {
		return 0
	}
	if d := s.server.idleTimeout(); d > 0 {
		return d
	}
	return -1
}

// firstTimeout returns how long a new connection may wait for its first request. Callers hold
// s.mu.
func (s *conns) firstTimeout() time.Duration {
	if s.draining {
		return 0
	}
	return max(s.server.idleTimeout(), s.server.headerTimeout())
}

// drain closes the connections that wait for a request, now and from now on. No connection is
// accepted any more.
func (s *conns) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	if len(s.open) == 0 {
		close(s.ended)
	}
	for t := range s.open {
		t.closeIfWaiting()
	}
}

// await waits until no connection is open, until the given time at most, and reports whether none is.
func (s *conns) await(until time.Time) bool {
	c := s.server.clock()
	timer := c.NewTimer(until.Sub(c.Now()))
	defer timer.Stop()
	select {
	case <-s.ended:
		return true
	case <-timer.Chan():
		return false
	}
}

// finish lets no more of the requests that run be read, and the kernel take what is left of their
// answers: it goes on sending to slow clients when the process has ended.
func (s *conns) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for t := range s.open {
		if t.stopReading() || t.answer.isEnding() {
			t.growSendBuffer()
		}
	}
}

// endRequests ends the contexts of the requests that run. Those of hijacked connections belong to
// their handlers.
func (s *conns) endRequests() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for t := range s.open {
		t.endRequests(ErrStopped)
	}
}

// resetRunning resets the connections whose handlers have not returned: an answer that ends with
// its connection must not look whole.
func (s *conns) resetRunning() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for t := range s.open {
		t.resetIfRunning()
	}
}

// Read implements net.Conn. It ends a request whose head is over the limit, or is not complete
// in time, and one that the guard sheds.
func (t *trackedConn) Read(p []byte) (int, error) {
	if t.hasEnded() {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := t.Conn.Read(p)
	if n == 0 && t.isWaitOver() {
		n, err = t.readArrived(p, err)
	}
	if n == 0 {
		return n, err
	}
	if len(bytes.Trim(p[:n], "\r\n")) > 0 { // empty lines belong to no request
		t.receive(len(p) == 1)
	}
	if !t.guard.read(t.held) {
		return 0, os.ErrDeadlineExceeded
	}
	isHead, isSmall := t.countHead(n)
	if !isSmall {
		t.refuseHead()
		return 0, os.ErrDeadlineExceeded
	}
	if isHead && !t.guard.take(t.held, overload.HeadCost(p[:n])) {
		t.end()
		return 0, os.ErrDeadlineExceeded
	}
	return n, err
}

// Write implements net.Conn. It ends an answer of which the client takes nothing for a while; a
// slow client has that time for each piece.
func (t *trackedConn) Write(p []byte) (written int, err error) {
	if t.mayLookWhole() {
		t.SetLinger(0) //nolint:errcheck // fails only on a closed connection
	}
	defer t.guard.sent(t.held)
	defer func() {
		if err != nil {
			t.answer.failed(err, len(p)-written)
		}
	}()
	for first := true; first || written < len(p) && err == nil; first = false {
		if err = t.SetWriteDeadline(time.Now().Add(t.server.writeTimeout())); err != nil {
			return written, err
		}
		t.guard.send(t.held)
		var n int
		n, err = t.Conn.Write(p[written:min(written+writePieceBytes, len(p))])
		written += n
	}
	return written, err
}

// beginAnswer begins the answer to a request. EndsByClose reports whether the end of the connection may
// mark its end, once its head is known.
func (t *trackedConn) beginAnswer(endsByClose func() bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endsByClose = endsByClose
}

// mayLookWhole reports, once an answer, whether a part of it would look whole if the process were
// killed: the kernel ends the connection in order unless it is told otherwise.
func (t *trackedConn) mayLookWhole() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	endsByClose := t.endsByClose
	t.endsByClose = nil
	return endsByClose != nil && endsByClose()
}

// countHead reports whether a head is being read, and adds n bytes to it and reports whether it is
// inside the limit. Empty lines before a request count as well.
func (t *trackedConn) countHead(n int) (isHead, isSmall bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.inHead {
		return false, true
	}
	t.headSize += n
	return true, t.headSize <= t.server.maxHeaderBytes()+readAheadBytes
}

// refuseHead answers a head that is over the limit, which http.Server would read on, up to a limit
// of its own that cannot change while connections are open.
func (t *trackedConn) refuseHead() {
	t.end()
	t.guard.recordShed(overload.HeadTooLarge)
	t.SetWriteDeadline(t.closes.limit(lingerTime)) //nolint:errcheck // fails only on a closed connection
	if _, err := io.WriteString(t.Conn, headTooLarge); err == nil {
		t.CloseWrite() //nolint:errcheck // the connection is closed next
	}
}

// hijack records that the connection is no longer http.Server's.
func (t *trackedConn) hijack() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hijacked = true
}

// end lets nothing more be read.
func (t *trackedConn) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = true
}

func (t *trackedConn) hasEnded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ended
}

// receive records that data has arrived. While a handler runs, http.Server reads a single
// byte to see whether the caller leaves; it is the first of the next request.
func (t *trackedConn) receive(single bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ahead = t.ahead || single && !t.inHead
	if t.waiting {
		t.beginHead()
	}
}

// beginHead starts the time in which the head of a request has to be complete. Callers hold t.mu.
func (t *trackedConn) beginHead() {
	if t.waitOver {
		t.Conn.SetReadDeadline(time.Time{}) //nolint:errcheck // fails only on a closed connection
	}
	t.waiting, t.waitOver = false, false
	t.stopTimer()
	t.timer = time.AfterFunc(t.server.headerTimeout(), t.closeIfInHead)
}

// beginRequest records that the header of a request has been read.
func (t *trackedConn) beginRequest() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ahead, t.waiting, t.waitOver, t.inHead, t.headSize = false, false, false, false, 0
	t.stopTimer()
}

// socket returns the connection below TLS, which would write an alert before it closes, and wait
// for it.
func (t *trackedConn) socket() net.Conn {
	if c, ok := t.Conn.(interface{ NetConn() net.Conn }); ok {
		return c.NetConn()
	}
	return t.Conn
}

func (t *trackedConn) setRunning(running bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running = running
}

// stopReading ends the body of the request whose handler runs, and reports whether there is one. Its
// answer can still be sent.
func (t *trackedConn) stopReading() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running {
		t.ended, t.stopped = true, true
		t.Conn.SetReadDeadline(time.Unix(1, 0)) //nolint:errcheck // fails only on a closed connection
	}
	return t.running
}

// growSendBuffer asks the kernel for a larger buffer. A write that waits for room goes on.
func (t *trackedConn) growSendBuffer() {
	c, ok := t.socket().(syscall.Conn)
	if !ok {
		return
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	raw.Control(func(fd uintptr) { //nolint:errcheck // fails only on a closed connection
		if n, err := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF); err == nil && n < smallSendBuffer {
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, lastSendBuffer) //nolint:errcheck // the buffer stays as it is
		}
	})
}

func (t *trackedConn) isStopped() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stopped
}

// resetIfRunning resets the connection if the handler of a request has not returned. A handler that
// returns later finds it closed.
func (t *trackedConn) resetIfRunning() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running {
		t.SetLinger(0)     //nolint:errcheck // fails only on a closed connection
		t.socket().Close() //nolint:errcheck // see above
	}
}

// isShed reports whether the guard has ended the connection.
func (t *trackedConn) isShed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.shed
}

// Establish records that the peer has proved that it belongs to the system.
func (t *trackedConn) Establish() {
	t.stopWaiting()
	t.hijack()
	t.guard.complete(t.held)
}

// SyscallConn implements syscall.Conn.
func (t *trackedConn) SyscallConn() (syscall.RawConn, error) {
	if c, ok := t.Conn.(syscall.Conn); ok {
		return c.SyscallConn()
	}
	return nil, errors.NotSupportedf("socket of %T", t.Conn)
}

// SetLinger sets what becomes of data that is not sent yet when the connection is closed; 0
// resets the connection.
func (t *trackedConn) SetLinger(seconds int) error {
	if c, ok := t.socket().(interface{ SetLinger(seconds int) error }); ok {
		return c.SetLinger(seconds)
	}
	return nil
}

// awaitRequest closes the connection if no byte of a request arrives within the timeout,
// which is negative for none.
func (t *trackedConn) awaitRequest(timeout time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopTimer()
	t.inHead = true
	t.guard.await(t.held)
	if t.ahead {
		t.ahead, t.headSize = false, 1
		t.guard.read(t.held)
		t.beginHead()
		return
	}
	t.waiting = true
	if timeout >= 0 {
		t.timer = time.AfterFunc(timeout, t.closeIfWaiting)
	}
}

func (t *trackedConn) stopWaiting() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting, t.waitOver, t.inHead = false, false, false
	t.stopTimer()
}

// stopTimer ends the time for a request or its head. Callers hold t.mu.
func (t *trackedConn) stopTimer() {
	if t.timer != nil {
		t.timer.Stop()
		t.timer = nil
	}
}

// closeIfInHead ends a request whose head is not complete.
func (t *trackedConn) closeIfInHead() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inHead && !t.waiting {
		t.ended = true
		t.guard.recordShed(overload.TooSlow)
		t.Conn.SetReadDeadline(time.Unix(1, 0)) //nolint:errcheck // fails only on a closed connection
	}
}

// closeIfWaiting ends the wait for a request. It lets the pending read time out, upon which the
// server closes the connection, unless data has arrived.
func (t *trackedConn) closeIfWaiting() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.waiting {
		t.waitOver = true
		t.Conn.SetReadDeadline(time.Unix(1, 0)) //nolint:errcheck // fails only on a closed connection
	}
}

func (t *trackedConn) isWaitOver() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.waitOver
}

// readArrived reads what has arrived although the deadline for it is over. It returns the given
// error if nothing has.
func (t *trackedConn) readArrived(p []byte, err error) (int, error) {
	n, ok := receiveArrived(t.Conn, p, 0)
	if !ok { // below TLS nothing tells what has arrived
		t.Conn.SetReadDeadline(time.Now().Add(arrivedTime)) //nolint:errcheck // the read fails then
		return t.Conn.Read(p)
	}
	if n > 0 {
		return n, nil
	}
	return 0, err
}

// SetReadDeadline implements net.Conn. What has ended stays so: http.Server and handlers set
// deadlines when a wait or a body may already be over.
func (t *trackedConn) SetReadDeadline(at time.Time) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.waitOver || t.ended {
		return nil
	}
	return t.Conn.SetReadDeadline(at)
}
