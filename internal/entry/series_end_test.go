package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"rosereach/core/backend"
	"rosereach/core/forward"
	"rosereach/io/upstream"
)

type (
	// restWriter writes what a server has of a stream to a caller that has some events.
	restWriter func(conn net.Conn, has int)

	// serverConn is a connection of a server with a listener.
	serverConn struct {
		net.Conn
		listener net.Listener
	}
)

// restInTurn asks for a stream of a route with a number of attempts. The n-th request is answered by
// the n-th function, later ones by the last.
func (r *harness) restInTurn(attempts int, answers ...restWriter) (callerAnswer, int64) {
	r.t.Helper()
	r.plan()
	r.withAttempts(attempts)
	var runs atomic.Int64
	for _, id := range []string{"a", "b", "c", "d"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			r.t.Fatal(err)
		}
		r.t.Cleanup(func() { l.Close() })
		r.announce(id, l.Addr().String(), 1, backend.Serving)
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				go func() {
					defer conn.Close()
					req, err := http.ReadRequest(bufio.NewReader(conn))
					if err != nil {
						return
					}
					io.Copy(io.Discard, req.Body)
					has, _ := strconv.Atoi(req.Header.Get("After"))
					answers[min(int(runs.Add(1)), len(answers))-1](serverConn{conn, l}, has)
				}()
			}
		}()
	}
	return r.ask("HTTP/1.1", "/streaming/x"), runs.Load()
}

// textOf returns the events with the ids that a caller does not have.
func textOf(has int, ids ...int) string {
	var b strings.Builder
	for _, id := range ids {
		if id > has {
			event(&b, uint64(id))
		}
	}
	return b.String()
}

// inChunks returns a server that has the events with the ids, and extra bytes behind them.
func inChunks(extra string, ids ...int) restWriter {
	return func(conn net.Conn, has int) {
		io.WriteString(conn, chunkedHead)
		if text := textOf(has, ids...) + extra; text != "" {
			chunk(conn, text)
		}
		io.WriteString(conn, "0\r\n\r\n")
	}
}

// cutChunks is inChunks without the last chunk.
func cutChunks(extra string, ids ...int) restWriter {
	return func(conn net.Conn, has int) {
		io.WriteString(conn, chunkedHead)
		chunk(conn, textOf(has, ids...)+extra)
	}
}

// untilClose is inChunks without a mark of the end.
func untilClose(extra string, ids ...int) restWriter {
	return func(conn net.Conn, has int) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: id-1\r\n\r\n%s%s", textOf(has, ids...), extra)
	}
}

// Bytes of one server behind its last event that belong to no event contradicted all other servers
// for ever: the whole stream looked cut. Bytes of another answer reached the caller.
func TestBytesBehindTheLastEventDoNotOutweighOtherServers(t *testing.T) {
	sound := inChunks("", 1, 2, 3)
	for name, first := range map[string]restWriter{
		"comment, chunks":          inChunks(": ping", 1, 2, 3),
		"comment, close":           untilClose(": ping\n", 1, 2, 3),
		"wrong bytes, close":       untilClose("\x00\xf1 wrong", 1, 2, 3),
		"wrong bytes, cut":         cutChunks("\x00\xf1 wrong", 1, 2, 3),
		"field, chunks":            inChunks("data:", 1, 2, 3),
		"field, close":             untilClose("event: end\n", 1, 2, 3),
		"another answer":           untilClose("HTTP/1.1 200 OK\r\nId: id-0\r\nContent-Length: 4\r\n\r\nbody", 1, 2, 3),
		"head of another answer":   untilClose("HTTP/1.1 200 OK\r\nId: id-0\r\nContent-Length: 0\r\n\r\n", 1, 2, 3),
		"event of another stream":  untilClose("id: 99\ndata: 99\n\n", 1, 2, 3),
		"part of another stream":   untilClose("id: 99\nda", 1, 2, 3),
		"event of another, chunks": inChunks("id: 99\ndata: 99\n\n", 1, 2, 3),
		"event of another, cut":    cutChunks("id: 99\ndata: 99\n\n", 1, 2, 3),
		"events of another, cut":   cutChunks("id: 99\ndata: 99\n\nid", 1, 2, 3),
		"next id of another, cut":  cutChunks("id: 99\ndata: 99\n\nid: 4\nda", 1, 2, 3),
		"field of another, chunks": inChunks("id: 99\ndata: 99\n\nda", 1, 2, 3),
	} {
		got, runs := newHarness(t).restInTurn(3, first, sound)
		body, _ := strings.CutSuffix(got.body, ": ping")
		if got.err != nil || body != streamText(1, 3) {
			t.Errorf("%s: %q after %d runs, %v", name, got.body, runs, got.err)
		}
	}
}

// A comment without a blank line behind the last event of a whole answer cost attempts, and a route
// with few of them cut the stream. The caller got less than the server's whole body.
func TestCommentBehindTheLastEventIsPassedOn(t *testing.T) {
	for _, comment := range []string{": ping", ": ping\n", "\n"} {
		got, runs := newHarness(t).restInTurn(2, inChunks(comment, 1, 2, 3))
		if got.err != nil || runs != 1 || got.body != streamText(1, 3)+comment {
			t.Errorf("%q: %q after %d runs, %v", comment, got.body, runs, got.err)
		}
	}
}

// A server that has the rest of the stream and one that has nothing behind it agree.
func TestRestOutweighsAClaimWithAnotherServer(t *testing.T) {
	got, runs := newHarness(t).restInTurn(3, cutChunks("id: 99\ndata: 99\n\n", 1), inChunks("", 1, 2, 3))
	if got.err != nil || got.body != streamText(1, 3) {
		t.Errorf("%q after %d runs, %v", got.body, runs, got.err)
	}
}

// One server that denies what another one claims ends no stream, nor does an answer that ends before it.
func TestClaimIsOutweighedByTwoServersOnly(t *testing.T) {
	for name, answers := range map[string][]restWriter{
		"field, then empty":      {inChunks("data:", 1), inChunks(""), inChunks("", 1, 2, 3)},
		"gap, then empty":        {inChunks("", 1, 3), inChunks(""), inChunks("", 1, 2, 3)},
		"gap, then one event":    {inChunks("", 1, 3), inChunks("", 1, 2), inChunks("", 1, 2, 3)},
		"part, then empty twice": {cutChunks("id: 2\nda", 1), inChunks("")},
		"cut, then empty twice":  {cutChunks("i", 1), inChunks("")},
		"id, then empty twice":   {inChunks("id: 2\n", 1), inChunks("")},
	} {
		got, runs := newHarness(t).restInTurn(3, answers...)
		if got.err == nil && got.body != streamText(1, 3) {
			t.Errorf("%s: %q ends as complete after %d runs", name, got.body, runs)
		}
	}
}

// Ids increase, and need not be consecutive: where one was left out, every server broke off in a
// series, and the stream was cut.
func TestStreamWhoseIDsJumpIsNotCut(t *testing.T) {
	for _, ids := range [][]int{{1, 2, 5}, {2, 4, 6, 8}, {1, 3, 4, 9}} {
		for name, server := range map[string]restWriter{"chunks": inChunks("", ids...), "cut at its end": cutChunks("", ids...)} {
			got, runs := newHarness(t).restInTurn(4, server, server, inChunks("", ids...))
			if got.err != nil || got.body != textOf(0, ids...) || name == "chunks" && runs != 2 {
				t.Errorf("%v, %s: %q after %d runs, %v", ids, name, got.body, runs, got.err)
			}
		}
	}
}

// A caller that resumes such a stream gets its rest.
func TestResumptionOfAStreamWhoseIDsJump(t *testing.T) {
	r := newHarness(t)
	r.plan()
	for _, id := range []string{"a", "b"} {
		r.server(id, func(w http.ResponseWriter, _ *http.Request) { event(w, 5); event(w, 8) })
	}
	got, err := r.sendWith(t.Context(), forward.Request{Path: "/streaming/x", Key: "k", LastEventID: 2})
	if err != nil || got.text() != textOf(0, 5, 8) {
		t.Errorf("%q, %v", got.text(), err)
	}
}

// A gap that one server alone shows is not passed on, and no stream ends in it.
func TestGapOfOneServerIsNotPassedOn(t *testing.T) {
	for name, answers := range map[string][]restWriter{
		"then the rest":     {inChunks("", 1, 3), inChunks("", 1, 2, 3)},
		"then another gap":  {inChunks("", 1, 4), inChunks("", 1, 3), inChunks("", 1, 2, 3)},
		"the same behind 2": {inChunks("", 1, 3, 4), inChunks("", 1, 2, 4), inChunks("", 1, 2, 3)},
	} {
		got, runs := newHarness(t).restInTurn(3, answers...)
		if got.body != streamText(1, 3) {
			t.Errorf("%s: %q after %d runs, %v", name, got.body, runs, got.err)
		}
	}
}

// A part of an event whose id jumps as the others do was seen.
func TestPartBehindAJumpEndsNoStream(t *testing.T) {
	got, runs := newHarness(t).restInTurn(4, inChunks("", 1, 3), cutChunks("id: 7\nda", 1, 3), inChunks(""))
	if got.err == nil || got.body != textOf(0, 1, 3) {
		t.Errorf("%q after %d runs, %v", got.body, runs, got.err)
	}
}

// killed is a server that ends when it has written its answer.
func killed(write restWriter) restWriter {
	return func(conn net.Conn, has int) {
		write(conn, has)
		conn.(serverConn).listener.Close()
	}
}

func gone(net.Conn, int) {}

// Whole streams whose end only a connection marked were cut at their last attempts: more proof was
// asked for than attempts were left, although the servers agreed.
func TestServersThatAgreeOnTheEndAreEnough(t *testing.T) {
	sound, closed := inChunks("", 1, 2, 3), untilClose("", 1, 2, 3)
	for name, c := range map[string]struct {
		attempts int
		answers  []restWriter
	}{
		"two attempts":                  {2, []restWriter{closed, sound}},
		"begun with the second attempt": {3, []restWriter{gone, closed, sound}},
		"one without an answer between": {3, []restWriter{closed, gone, sound}},
		"the last without an answer":    {3, []restWriter{closed, sound, gone}},
		"all close":                     {3, []restWriter{closed}},
		"all close, two attempts":       {2, []restWriter{closed}},
		"all repeat and close":          {3, []restWriter{func(conn net.Conn, _ int) { closed(conn, 0) }}},
		"all close behind a comment":    {3, []restWriter{untilClose(": ping\n", 1, 2, 3)}},
		"the rest of a broken stream":   {3, []restWriter{cutChunks("id: 2\nda", 1), closed, sound}},
	} {
		got, runs := newHarness(t).restInTurn(c.attempts, c.answers...)
		if got.err != nil || got.body != streamText(1, 3) || runs > int64(c.attempts) {
			t.Errorf("%s: %q after %d runs, %v", name, got.body, runs, got.err)
		}
	}
}

// A connection that ends in order proves nothing alone, nor with a server that has been killed.
func TestEndOfOneConnectionIsNotEnough(t *testing.T) {
	sound, closed := inChunks("", 1, 2), untilClose("", 1, 2)
	for name, answers := range map[string][]restWriter{
		"alone":               {closed, gone, gone},
		"at the last attempt": {gone, gone, closed},
		"behind a broken one": {cutChunks("id: 2\nda", 1), gone, closed},
		"with another status": {closed, func(conn net.Conn, _ int) {
			io.WriteString(conn, "HTTP/1.1 404 Not Found\r\nId: id-1\r\nContent-Length: 0\r\n\r\n")
		}},
		"after more was seen":       {cutChunks("id: 3\nda", 1, 2), sound, untilClose("", 1, 2)},
		"after more was seen, last": {closed, sound, cutChunks("id: 3\nda", 1, 2)},
	} {
		got, runs := newHarness(t).restInTurn(3, answers...)
		if got.err == nil {
			t.Errorf("%s: %q ends as complete after %d runs", name, got.body, runs)
		}
	}
}

// A server that is killed ends its connections in order: that is no end of its stream.
func TestEndOfAKilledServersConnectionIsNotEnough(t *testing.T) {
	closed := untilClose("", 1, 2)
	for name, answers := range map[string][]restWriter{
		"then empty":       {gone, killed(closed), inChunks("")},
		"then all killed":  {killed(closed)},
		"then killed once": {closed, gone, killed(closed)},
		"killed in turn":   {killed(closed), closed, killed(closed)},
	} {
		got, runs := newHarness(t).restInTurn(3, answers...)
		if got.err == nil {
			t.Errorf("%s: %q ends as complete after %d runs", name, got.body, runs)
		}
	}
}

// A server whose machine ends with it can't be reached: the end of its connection counted as its word.
func TestEndOfAnUnreachableServersConnectionIsNotEnough(t *testing.T) {
	r := newHarness(t)
	var unreachable sync.Map
	r.entry.forwarder.client.DialContext = func(ctx context.Context, address string, _ func(string) bool) (net.Conn, error) {
		if _, ok := unreachable.Load(address); ok {
			return nil, syscall.EHOSTUNREACH
		}
		return upstream.DialOnce(ctx, address)
	}
	got, runs := r.restInTurn(3, gone, func(conn net.Conn, has int) {
		untilClose("", 1, 2)(conn, has)
		unreachable.Store(conn.LocalAddr().String(), true)
	}, inChunks(""))
	if got.err == nil {
		t.Errorf("%q ends as complete after %d runs", got.body, runs)
	}
}

// No server can go on behind an event without an id: callers got the events again from each server
// that was asked for the rest.
func TestStreamWithoutIDsIsNotRepeated(t *testing.T) {
	const text = "data: 1\n\ndata: 2\n\n"
	for name, c := range map[string]struct {
		first restWriter
		body  string
		whole bool
	}{
		"chunks":            {inChunks(text), text, true},
		"close":             {untilClose(text), text, true},
		"cut":               {cutChunks(text), text, false},
		"cut in an event":   {cutChunks(text + "da"), text, false},
		"behind an id":      {cutChunks(text, 1), textOf(0, 1) + text, false},
		"before an id":      {cutChunks("data: 1\n\nid: 2\ndata: 2\n\n"), "data: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n", true},
		"comment, then cut": {cutChunks(": ping\n\n"), ": ping\n\nid: 3\ndata: 3\n\n", true},
	} {
		got, runs := newHarness(t).restInTurn(3, c.first, inChunks("", 3))
		if got.body != c.body || (got.err == nil) != c.whole {
			t.Errorf("%s: %q after %d runs, %v", name, got.body, runs, got.err)
		}
	}
}

// A stream whose end servers agree on was cut at its deadline, since the last server did not answer.
func TestAgreedEndOutlastsASilentServer(t *testing.T) {
	for name, c := range map[string]struct {
		second restWriter
		whole  bool
	}{"agreed": {inChunks("", 1, 2), true}, "more was seen": {cutChunks("id: 3\nda", 1, 2), false}, "one alone": {gone, false}} {
		r := newHarness(t)
		r.plan()
		var runs atomic.Int64
		for _, id := range []string{"a", "b", "c"} {
			r.announce(id, listenRaw(t, func(conn net.Conn) {
				defer conn.Close()
				req, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				has, _ := strconv.Atoi(req.Header.Get("After"))
				switch runs.Add(1) {
				case 1:
					untilClose("", 1, 2)(conn, has)
				case 2:
					c.second(conn, has)
				default:
					io.Copy(io.Discard, conn)
				}
			}), 1, backend.Serving)
		}
		got, err := r.sendWith(t.Context(), forward.Request{Path: "/streaming/x", Key: "k", Deadline: time.Now().Add(500 * time.Millisecond)})
		if got.text() != streamText(1, 2) || (err == nil) != c.whole {
			t.Errorf("%s: %q after %d runs, %v", name, got.text(), runs.Load(), err)
		}
	}
}
