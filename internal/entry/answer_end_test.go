package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/clock"

	"rosereach/core/backend"
	"rosereach/core/forward"
	"rosereach/core/route"
	"rosereach/platform"
)

const (
	// eventsOfStream is the number of events of a whole stream, and plainBody the body of a
	// whole answer that is none.
	eventsOfStream = 3
	plainBody      = "a whole answer"
)

// answerEnd is a course of answers: how the first one ends, what the next server says, and how
// the request came.
type answerEnd struct {
	mark      string // close, length or chunks
	end       string // whole, closed or reset
	after     int    // events before the end
	partial   bool   // bytes of a further event follow them
	resumable bool
	plain     bool   // the answer is no stream
	next      string // what servers say afterwards
	detour    bool
	protocol  string
}

// streamText returns the events from first to last.
func streamText(first, last int) string {
	var b strings.Builder
	for id := first; id <= last; id++ {
		event(&b, uint64(id))
	}
	return b.String()
}

func (c answerEnd) isWhole() bool { return c.end == "whole" }

// body returns the whole body of the first answer, and the part of it that is written.
func (c answerEnd) body() (whole, written string) {
	switch {
	case c.plain && c.isWhole():
		return plainBody, plainBody
	case c.plain:
		return plainBody, plainBody[:len(plainBody)/2]
	case c.isWhole():
		return streamText(1, eventsOfStream), streamText(1, eventsOfStream)
	case c.partial:
		return streamText(1, eventsOfStream), streamText(1, c.after) + fmt.Sprintf("id: %d\nda", c.after+1)
	}
	return streamText(1, eventsOfStream), streamText(1, c.after)
}

// writeFirst writes the first answer and ends the connection as the course says.
func (c answerEnd) writeFirst(conn *net.TCPConn) {
	whole, written := c.body()
	switch c.mark {
	case "length":
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: id-1\r\nContent-Length: %d\r\n\r\n%s", len(whole), written)
	case "chunks":
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: id-1\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(written), written)
		if c.isWhole() {
			io.WriteString(conn, "0\r\n\r\n")
		}
	default:
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: id-1\r\n\r\n%s", written)
	}
	if c.end == "reset" {
		time.Sleep(20 * time.Millisecond) // what was written is read before the reset
		conn.SetLinger(0)
	}
}

// writeNext writes a later answer, the n-th of them, to a caller that has some events.
func (c answerEnd) writeNext(conn net.Conn, n int64, has int) {
	rest := streamText(has+1, eventsOfStream)
	if c.plain {
		rest = plainBody
	}
	switch {
	case c.next == "gone":
	case c.next == "error":
		io.WriteString(conn, "HTTP/1.1 404 Not Found\r\nId: id-1\r\nContent-Length: 4\r\n\r\nnone")
	case c.next == "empty", c.next == "empty, then the rest" && n == 1:
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: id-1\r\nContent-Length: 0\r\n\r\n")
	default:
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: id-1\r\nContent-Length: %d\r\n\r\n%s", len(rest), rest)
	}
}

// answerEnds returns all courses but those that don't exist.
func answerEnds() []answerEnd {
	bools := []bool{false, true}
	var all []answerEnd
	for _, mark := range []string{"close", "length", "chunks"} {
		for _, end := range []string{"whole", "closed", "reset"} {
			for _, next := range []string{"the rest", "empty", "empty, then the rest", "error", "gone"} {
				for _, protocol := range []string{"HTTP/1.0", "HTTP/1.1"} {
					for _, detour := range bools {
						c := answerEnd{mark: mark, end: end, next: next, protocol: protocol, detour: detour}
						for _, resumable := range bools {
							for after := range eventsOfStream {
								for _, partial := range bools {
									c.resumable, c.after, c.partial = resumable, after, partial
									if c.isWhole() && (after > 0 || partial) {
										continue
									}
									all = append(all, c)
								}
							}
						}
						if next != "empty" && next != "empty, then the rest" {
							c.after, c.partial, c.resumable, c.plain = 0, false, false, true
							all = append(all, c)
						}
					}
				}
			}
		}
	}
	return all
}

// Guards against cut answers that look whole, whatever marks their end, and against whole ones
// that look cut: what a caller may believe is checked at its socket, over all courses.
func TestNoCutAnswerLooksWhole(t *testing.T) {
	for _, c := range answerEnds() {
		t.Run(strings.ReplaceAll(fmt.Sprintf("%+v", c), " ", "_"), func(t *testing.T) {
			t.Parallel()
			c.check(t)
		})
	}
}

func (c answerEnd) check(t *testing.T) {
	r := newHarness(t)
	r.plan()
	if !c.resumable {
		r.withoutResumption()
	}
	if c.detour {
		r.relayed()
	}
	var runs atomic.Int64
	for _, id := range []string{"a", "b", "c"} {
		r.announce(id, listenRaw(t, func(conn net.Conn) {
			defer conn.Close()
			req, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				return
			}
			io.Copy(io.Discard, req.Body)
			if n := runs.Add(1); n > 1 {
				has, _ := strconv.Atoi(req.Header.Get("After"))
				c.writeNext(conn, n-1, has)
				return
			}
			c.writeFirst(conn.(*net.TCPConn))
		}), 1, backend.Serving)
	}
	got := r.ask(c.protocol, map[bool]string{true: "/safe/x", false: "/streaming/x"}[c.plain])
	if got.status != http.StatusOK {
		if c.isWhole() || !c.plain && !c.resumable && c.after > 0 || (c.plain || c.resumable) && c.next == "the rest" {
			t.Fatalf("status %d after %d runs, %v", got.status, runs.Load(), got.err)
		}
		return
	}
	c.judge(t, got, runs.Load())
}

// judge checks what the caller got with a success.
func (c answerEnd) judge(t *testing.T, got callerAnswer, runs int64) {
	t.Helper()
	whole, _ := c.body()
	// Nothing shows that more was to come.
	mayBeWhole := c.mark == "close" && c.end == "closed" && !c.partial
	// All servers say that nothing follows, and nothing contradicts them.
	isVouchedFor := c.resumable && !c.partial && c.next == "empty"
	// No server says so.
	isUnproven := c.resumable && c.mark == "close" && (c.next == "error" || c.next == "gone")
	switch {
	case !strings.HasPrefix(whole, got.body):
		t.Errorf("the answer is no part of the whole one: %+v after %d runs", got, runs)
	case got.body == whole && got.err == nil:
	case got.body == whole && !isUnproven:
		t.Errorf("the whole answer looks cut: %+v after %d runs", got, runs)
	case got.err == nil && got.isMarked() && !isVouchedFor:
		t.Errorf("a cut answer looks whole: %+v after %d runs", got, runs)
	case got.err == nil && !got.isMarked() && !isVouchedFor && (!mayBeWhole || c.resumable):
		t.Errorf("an answer that is known to be cut ends in order: %+v after %d runs", got, runs)
	case got.body != whole && (c.isWhole() || c.resumable && c.next == "the rest"):
		t.Errorf("the answer is not whole: %+v after %d runs", got, runs)
	}
}

// callerAnswer is an answer as a caller sees it. Err is how its body ended, nil for the mark or
// the end of the connection.
type callerAnswer struct {
	status   int
	length   int64
	encoding []string
	body     string
	err      error
}

// isMarked reports whether the end of the body has another mark than the connection's end.
func (a callerAnswer) isMarked() bool { return a.length >= 0 || len(a.encoding) > 0 }

// ask sends a request over a connection of its own.
func (r *harness) ask(protocol, path string) callerAnswer {
	r.t.Helper()
	s := httptest.NewServer(platform.CallerHandler(r.entry, clock.WallClock, func() bool { return false }))
	r.t.Cleanup(s.Close)
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		r.t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST %s %s\r\nHost: h\r\nX-Rosereach-Attempt-Id: id-1\r\nAuthorization: Bearer k\r\nContent-Length: 0\r\n\r\n", path, protocol)
	return readAnswer(conn)
}

// readAnswer reads an answer to its end.
func readAnswer(conn net.Conn) callerAnswer {
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return callerAnswer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return callerAnswer{resp.StatusCode, resp.ContentLength, resp.TransferEncoding, string(body), err}
}

// withoutResumption puts a plan into force whose streams may not be resumed.
func (r *harness) withoutResumption() {
	r.withRoutes(func(one *route.Route) { one.Resumable = false })
}

// withAttempts puts a plan into force whose requests may be sent to n servers.
func (r *harness) withAttempts(n int) {
	r.withRoutes(func(one *route.Route) { one.MaxAttempts = n })
}

// withRoutes changes the routes of the plan in force.
func (r *harness) withRoutes(change func(*route.Route)) {
	docs := r.entry.catalog.Load().Documents()
	plan := *docs.Routing
	plan.Config.Routes = slices.Clone(plan.Config.Routes)
	for i := range plan.Config.Routes {
		change(&plan.Config.Routes[i])
	}
	docs.Routing = &plan
	docs.Revision++
	r.entry.applyDocuments(&docs)
}

// A caller that lost only the end of a stream asks for what follows its last event. It got an
// error after three runs, as an answer without events counted as broken. Two that agree end it.
func TestResumptionBehindTheLastEventIsWhole(t *testing.T) {
	for _, head := range []string{"Content-Length: 0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"} {
		r := newHarness(t)
		r.plan()
		runs := r.serveInTurn(func(conn net.Conn) { io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: id-1\r\n"+head) })
		got, err := r.sendWith(context.Background(), forward.Request{Path: "/streaming/x", Key: "k", LastEventID: 3})
		if err != nil || got.status != http.StatusOK || got.text() != "" || runs.Load() != 2 {
			t.Errorf("%q: status %d, %q after %d runs, %v", head, got.status, got.text(), runs.Load(), err)
		}
	}
}
