package httpd

import (
	"errors"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// How answers end that their handlers have finished.
const (
	// AnswerSent means that the kernel took the whole answer, and nothing kept it from sending it.
	AnswerSent AnswerEnd = "sent"
	// AnswerFailed means that a write failed, as the client had gone for example.
	AnswerFailed AnswerEnd = "failed"
	// AnswerTimedOut means that the client took nothing for too long.
	AnswerTimedOut AnswerEnd = "timed_out"
	// AnswerReset means that the connection was closed with unread data before the client had the
	// whole answer, upon which the kernel drops the rest.
	AnswerReset AnswerEnd = "reset"
	// AnswerUnsent means that the server ended before the kernel took the whole answer.
	AnswerUnsent AnswerEnd = "unsent"
)

// The states of an answer. http.Server sends its end after the handler has returned.
const (
	noAnswer answerState = iota
	answerRuns
	answerEnds // its handler has returned
	answerSent // http.Server has written all of it
)

type (
	// AnswerEnd says how an answer ended.
	AnswerEnd string

	// LostAnswer is an answer that its handler has finished and its client did not get to its end.
	LostAnswer struct {
		Request string // as Identify names it
		End     AnswerEnd
		Left    int // bytes known to be missing
	}

	answerState int

	// answer is the answer to the last request of a connection.
	answer struct {
		mu      sync.Mutex
		request string // its name for the log
		state   answerState
		err     error // of the first write that failed
		left    int   // bytes that it did not write
	}
)

func (a *answer) identify(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.request = name
}

// requestName returns the name of the last request, empty if it has none.
func (a *answer) requestName() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.request
}

func (a *answer) begin() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.request, a.state, a.err, a.left = "", answerRuns, nil, 0
}

// returned records that the handler has returned, in order or not.
func (a *answer) returned(inOrder bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.state = noAnswer
	if inOrder {
		a.state = answerEnds
	}
}

// failed records that a write has left n bytes.
func (a *answer) failed(err error, n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.err == nil {
		a.err, a.left = err, n
	}
}

// sent records that http.Server has written all of the answer.
func (a *answer) sent() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.state == answerEnds {
		a.state = answerSent
	}
}

// isEnding reports whether the handler has returned and the answer's end is being written.
func (a *answer) isEnding() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state == answerEnds
}

// isSent reports whether http.Server has written all of the answer.
func (a *answer) isSent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state == answerSent && a.err == nil
}

// hasFailed reports whether a write of it has failed.
func (a *answer) hasFailed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.err != nil
}

// conclude ends the account of an answer whose handler has returned, ok false if there is none. A
// connection that closes drops the given number of bytes.
func (a *answer) conclude(dropped int) (lost LostAnswer, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	lost = LostAnswer{a.request, AnswerSent, a.left}
	switch {
	case a.state == noAnswer, a.state == answerRuns:
		return LostAnswer{}, false
	case errors.Is(a.err, os.ErrDeadlineExceeded):
		lost.End = AnswerTimedOut
	case a.err != nil:
		lost.End = AnswerFailed
	case a.state == answerEnds:
		lost.End = AnswerUnsent
	case dropped > 0:
		lost.End, lost.Left = AnswerReset, dropped
	}
	a.state = noAnswer
	return lost, true
}

// SetWriteDeadline implements net.Conn. http.Server clears the deadline when it has written an
// answer.
func (t *trackedConn) SetWriteDeadline(at time.Time) error {
	if at.IsZero() {
		t.answer.sent()
	}
	return t.Conn.SetWriteDeadline(at)
}

// concludeAnswer counts how the last answer has ended, and reports it if it is lost.
func (t *trackedConn) concludeAnswer(dropped int) {
	end, ok := t.answer.conclude(dropped)
	if !ok {
		return
	}
	t.guard.recordAnswer(end.End)
	if end.End != AnswerSent && t.server.AnswerLost != nil {
		t.server.AnswerLost(end)
	}
}

// droppedByClose returns how many bytes of answers the kernel drops if the connection is closed now.
func (t *trackedConn) droppedByClose() int {
	if !t.hasArrived() {
		return 0
	}
	return t.unacknowledged()
}

// unacknowledged returns how many bytes the client's kernel has not acknowledged.
func (t *trackedConn) unacknowledged() int {
	c, ok := t.socket().(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	raw.Control(func(fd uintptr) { //nolint:errcheck // fails only on a closed connection
		n, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) //nolint:errcheck // n is 0 then
	})
	return n
}

func (t *trackedConn) isHijacked() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hijacked
}

func (g *Guard) recordAnswer(end AnswerEnd) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.answers[end]++
}
