package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"rosereach/core/backend"
	"rosereach/core/forward"
)

const chunkedHead = "HTTP/1.1 200 OK\r\nId: id-1\r\nTransfer-Encoding: chunked\r\n\r\n"

// chunk writes a chunk of an answer.
func chunk(w io.Writer, text string) { fmt.Fprintf(w, "%x\r\n%s\r\n", len(text), text) }

// inTurn sends a request that serveInTurn answers.
func (r *harness) inTurn(path string, answers ...func(conn net.Conn)) (callerAnswer, int64) {
	r.t.Helper()
	r.plan()
	r.withAttempts(max(len(answers), 3))
	runs := r.serveInTurn(answers...)
	return r.ask("HTTP/1.1", path), runs.Load()
}

// serveInTurn starts servers that answer the n-th request with the n-th function, and later ones
// with the last. It returns the number of requests.
func (r *harness) serveInTurn(answers ...func(conn net.Conn)) *atomic.Int64 {
	r.t.Helper()
	var runs atomic.Int64
	for _, id := range []string{"a", "b", "c", "d"} {
		r.announce(id, listenRaw(r.t, func(conn net.Conn) {
			defer conn.Close()
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
				return
			}
			n := int(runs.Add(1))
			answers[min(n, len(answers))-1](conn)
		}), 1, backend.Serving)
	}
	return &runs
}

func cutInEvent2(conn net.Conn) {
	io.WriteString(conn, chunkedHead)
	chunk(conn, streamText(1, 1)+"id: 2\nda")
}

func emptyAnswer(conn net.Conn) {
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: id-1\r\nContent-Length: 0\r\n\r\n")
}

func restFrom(first int) func(net.Conn) {
	return func(conn net.Conn) {
		io.WriteString(conn, chunkedHead)
		if first <= eventsOfStream {
			chunk(conn, streamText(first, eventsOfStream))
		}
		io.WriteString(conn, "0\r\n\r\n")
	}
}

// A comment from a server without the rest hid the partial event that had been seen, and the
// stream ended as complete before it.
func TestCommentDoesNotEndStreamInAPartialEvent(t *testing.T) {
	for _, comment := range []string{": ping\n\n", "retry: 100\n\n"} {
		got, runs := newHarness(t).inTurn("/streaming/x", cutInEvent2, func(conn net.Conn) {
			io.WriteString(conn, chunkedHead)
			chunk(conn, comment)
			io.WriteString(conn, "0\r\n\r\n")
		}, restFrom(2))
		if got.err == nil && got.body != streamText(1, 1)+comment+streamText(2, 3) {
			t.Errorf("%q ends as complete after %d runs", got.body, runs)
		}
	}
}

// An event behind a gap shows that there is more; the stream ended as complete before it.
func TestEventBehindAGapContradictsTheEnd(t *testing.T) {
	for name, next := range map[string]func(net.Conn){"empty": emptyAnswer, "event 2 only": func(conn net.Conn) {
		io.WriteString(conn, chunkedHead)
		chunk(conn, streamText(2, 2))
		io.WriteString(conn, "0\r\n\r\n")
	}} {
		r := newHarness(t)
		got, runs := r.inTurn("/streaming/x", func(conn net.Conn) {
			io.WriteString(conn, chunkedHead)
			chunk(conn, streamText(1, 1)+streamText(3, 3))
			io.WriteString(conn, "0\r\n\r\n")
		}, next, restFrom(2))
		if got.err == nil && got.body != streamText(1, 3) {
			t.Errorf("%s: %q ends as complete after %d runs", name, got.body, runs)
		}
	}
}

// A stream of which the caller has only a comment ended as complete with an empty answer.
func TestCommentBeginsNoStreamThatAnEmptyAnswerEnds(t *testing.T) {
	got, runs := newHarness(t).inTurn("/streaming/x", func(conn net.Conn) {
		io.WriteString(conn, chunkedHead)
		chunk(conn, ": ping\n\n")
	}, emptyAnswer, restFrom(1))
	if got.err == nil && got.body != ": ping\n\n"+streamText(1, 3) {
		t.Errorf("%q ends as complete after %d runs", got.body, runs)
	}
}

// A server that repeats events which the caller has, in pieces, contradicted nothing, but its
// end did not count, and the whole stream looked cut.
func TestRepeatedEventsInPiecesEndStream(t *testing.T) {
	got, runs := newHarness(t).inTurn("/streaming/x", func(conn net.Conn) {
		io.WriteString(conn, chunkedHead)
		chunk(conn, streamText(1, 3))
	}, func(conn net.Conn) {
		io.WriteString(conn, chunkedHead)
		chunk(conn, streamText(1, 1)+"id: 2\nda")
		time.Sleep(20 * time.Millisecond)
		chunk(conn, "ta: 2\n\n"+streamText(3, 3))
		io.WriteString(conn, "0\r\n\r\n")
	}, emptyAnswer)
	if got.err != nil || runs != 3 {
		t.Errorf("%q after %d runs, %v", got.body, runs, got.err)
	}
}

// The same where the server that repeats is cut in an event that the caller has.
func TestCutInARepeatedEventContradictsNoEnd(t *testing.T) {
	got, runs := newHarness(t).inTurn("/streaming/x", func(conn net.Conn) {
		io.WriteString(conn, chunkedHead)
		chunk(conn, streamText(1, 3))
	}, cutInEvent2, emptyAnswer, emptyAnswer)
	if got.err != nil || runs != 4 {
		t.Errorf("%q after %d runs, %v", got.body, runs, got.err)
	}
}

// A whole stream without ids and without a length that may not be resumed looked cut.
func TestStreamWithoutIDsEndsWithItsConnection(t *testing.T) {
	r := newHarness(t)
	r.plan()
	r.withoutResumption()
	runs := r.serveInTurn(func(conn net.Conn) {
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: id-1\r\n\r\ndata: 1\n\ndata: 2\n\n")
	})
	got := r.ask("HTTP/1.1", "/streaming/x")
	if got.err != nil || got.body != "data: 1\n\ndata: 2\n\n" {
		t.Errorf("%q after %d runs, %v", got.body, runs.Load(), got.err)
	}
}

// A caller that asks for what follows event 1 got a whole answer without events from a server
// that fails at once, although another one has the rest.
func TestOneEmptyAnswerDoesNotEndACallersResumption(t *testing.T) {
	r := newHarness(t)
	r.plan()
	runs := r.serveInTurn(emptyAnswer, restFrom(2))
	got, err := r.sendWith(context.Background(), forward.Request{Path: "/streaming/x", Key: "k", LastEventID: 1})
	if err != nil || got.text() != streamText(2, 3) {
		t.Errorf("status %d, %q after %d runs, %v", got.status, got.text(), runs.Load(), err)
	}
}
