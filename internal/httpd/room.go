package httpd

import (
	"context"
	"sync"

	"rosereach/core/overload"
)

// ordinaryAnswerBytes is what an answer may hold at a time as a part of the memory of its
// connections: an ordinary head, or a few events.
const ordinaryAnswerBytes = 8 << 10

// AnswerRoom is the room of an answer that is received from a server. It is safe for concurrent
// use.
type AnswerRoom struct {
	conn *trackedConn // of the request, nil for none
	end  func()

	mu     sync.Mutex
	closed bool
	bytes  int64
	held   *overload.Connection // nil for an ordinary answer
	sends  int64                // what the request holds while it is sent
}

// NewAnswerRoom returns room for an answer to the request with the context. End is called when the
// answer has to yield its room to others; nothing more of it may be read then. Close must be called.
func NewAnswerRoom(ctx context.Context, end func()) *AnswerRoom {
	t, _ := ctx.Value(connKey{}).(*trackedConn) //nolint:errcheck // nil for a request of the process itself
	return &AnswerRoom{conn: t, end: end}
}

// Add adds n bytes to what the answer holds, or gives back -n, and reports whether there was room.
// Any n, 0 too, is a sign that the answer goes on.
func (r *AnswerRoom) Add(n int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conn == nil || r.closed {
		return true
	}
	before := max(r.bytes-ordinaryAnswerBytes, 0)
	r.bytes += n
	more := max(r.bytes-ordinaryAnswerBytes, 0) - before
	if r.held == nil && more == 0 {
		return true
	}
	guard := r.conn.guard
	if r.held == nil {
		r.held = guard.receive(r.conn.held, r.end)
	}
	switch {
	case !guard.read(r.held):
		return false
	case more <= 0:
		guard.giveBack(r.held, -more)
		return true
	}
	return guard.take(r.held, more)
}

// Send lets the request hold n bytes of the answer until Sent, and reports whether there was room.
func (r *AnswerRoom) Send(n int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conn == nil || n <= ordinaryAnswerBytes {
		return true
	}
	if !r.conn.guard.tryTake(r.conn.held, n) {
		return false
	}
	r.sends = n
	return true
}

// Sent gives back what the request holds since Send.
func (r *AnswerRoom) Sent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sends > 0 {
		r.conn.guard.giveBack(r.conn.held, r.sends)
		r.sends = 0
	}
}

// Keep lets the request hold the whole answer until it is answered, and ends the room.
func (r *AnswerRoom) Keep() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.held != nil {
		r.conn.guard.keep(r.held)
	}
	r.close()
}

// Close gives back the room.
func (r *AnswerRoom) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.close()
}

func (r *AnswerRoom) close() {
	r.closed = true
	if r.held != nil {
		r.conn.guard.close(r.held)
		r.held = nil
	}
}
