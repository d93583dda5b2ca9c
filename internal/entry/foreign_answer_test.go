package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"rosereach/core/backend"
	"rosereach/core/forward"
	"rosereach/core/route"
)

// runCounts counts the runs of each request.
type runCounts struct {
	mu sync.Mutex
	n  map[string]int
}

func (c *runCounts) add(requestID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.n == nil {
		c.n = make(map[string]int)
	}
	c.n[requestID]++
}

func (c *runCounts) of(requestID string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n[requestID]
}

// repeatingServer answers each request with its id. From the second request on a connection
// on, it first writes the extra answer, which belongs to no request or to an earlier one.
func (r *harness) repeatingServer(id string, extra func(requestID, earlierID string) string, runs *runCounts) {
	r.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { l.Close() })
	serve := func(conn net.Conn) {
		defer conn.Close()
		reader, earlier := bufio.NewReader(conn), ""
		for {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			io.Copy(io.Discard, req.Body)
			requestID := req.Header.Get("Id")
			if earlier != "" {
				io.WriteString(conn, extra(requestID, earlier))
				time.Sleep(20 * time.Millisecond)
			}
			runs.add(requestID)
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 3\r\n\r\nown", requestID)
			earlier = requestID
		}
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	r.announce(id, l.Addr().String(), 1, backend.Serving)
}

// extraAnswers are answers that a faulty server writes where the next answer is due.
var extraAnswers = map[string]func(requestID, earlierID string) string{
	"refusal without an id": func(_, _ string) string { return "HTTP/1.1 503 X\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n" },
	"refusal of the earlier request": func(_, earlier string) string {
		return "HTTP/1.1 503 X\r\nRefused: 1\r\nId: " + earlier + "\r\nContent-Length: 0\r\n\r\n"
	},
	"503 without an id":     func(_, _ string) string { return "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n" },
	"429 without an id":     func(_, _ string) string { return "HTTP/1.1 429 X\r\nContent-Length: 0\r\n\r\n" },
	"404 without an id":     func(_, _ string) string { return "HTTP/1.1 404 X\r\nContent-Length: 7\r\n\r\nforeign" },
	"success without an id": func(_, _ string) string { return "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nforeign" },
	"success of the earlier request": func(_, earlier string) string {
		return "HTTP/1.1 200 OK\r\nId: " + earlier + "\r\nContent-Length: 7\r\n\r\nforeign"
	},
	"success without a stamp": func(id, _ string) string {
		return "HTTP/1.1 200 OK\r\nUnstamped: 1\r\nId: " + id + "\r\nContent-Length: 7\r\n\r\nforeign"
	},
	"switch of protocols": func(id, _ string) string { return "HTTP/1.1 101 X\r\nId: " + id + "\r\n\r\n" },
	"no answer":           func(_, _ string) string { return "\x00\x01\r\n\r\n" },
}

// Guards against an answer of another request, or of none, that is taken for the answer to the
// next one on the connection: its caller would be told that a request did not run which did, or
// get foreign bytes, or the request would run at another server as well.
func TestExtraAnswersBelongToNoRequest(t *testing.T) {
	for name, extra := range extraAnswers {
		for _, kind := range []route.Kind{route.Safe, route.Unsafe} {
			t.Run(fmt.Sprint(name, "/", kind), func(t *testing.T) {
				r := newHarness(t)
				r.plan()
				var runs runCounts
				r.repeatingServer("a", extra, &runs)
				for n := range 4 {
					id := fmt.Sprint("id-", n)
					got, err := r.sendID(id, kind)
					switch {
					case err == nil && (got.status != http.StatusOK || got.text() != "own"):
						t.Errorf("request %d: status %d, %q", n, got.status, got.text())
					case err != nil && codeOf(err) != forward.AnswerLost:
						t.Errorf("request %d: %v, and it ran %d times", n, err, runs.of(id))
					}
				}
				time.Sleep(30 * time.Millisecond) // the server may still run some
				for n := range 4 {
					if ran := runs.of(fmt.Sprint("id-", n)); kind == route.Unsafe && ran > 1 {
						t.Errorf("request %d ran %d times", n, ran)
					}
				}
			})
		}
	}
}

// Guards against an attempt that is wasted on an answer of another request, before the own one on a
// connection that is in use again: requests that may run once get it, and begun streams go on.
func TestOwnAnswerIsReadBehindForeignOnes(t *testing.T) {
	foreign := extraAnswers["success of the earlier request"]
	for name, extra := range map[string]func(requestID, earlierID string) string{
		"by length": foreign,
		"by chunks": func(_, earlier string) string {
			return "HTTP/1.1 200 OK\r\nId: " + earlier + "\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nown\r\n0\r\n\r\n"
		},
		"without a body": extraAnswers["refusal of the earlier request"],
		"without an id":  extraAnswers["success without an id"],
		"two":            func(id, earlier string) string { return foreign(id, earlier) + foreign(id, earlier) },
	} {
		for _, kind := range []route.Kind{route.Safe, route.Unsafe} {
			t.Run(fmt.Sprint(name, "/", kind), func(t *testing.T) {
				r := newHarness(t)
				r.plan()
				var runs runCounts
				r.repeatingServer("a", extra, &runs)
				for n := range 4 {
					id := fmt.Sprint("id-", n)
					got, err := r.sendID(id, kind)
					if err != nil || got.status != http.StatusOK || got.text() != "own" {
						t.Errorf("request %d: status %d, %q, %v", n, got.status, got.text(), err)
					}
					if n := runs.of(id); n != 1 {
						t.Errorf("request %s ran %d times", id, n)
					}
				}
			})
		}
	}
}

// Guards against an answer that never comes behind those of other requests: the wait is bounded in
// their number and bytes, and ends with the connection.
func TestEndlessForeignAnswersEndTheAttempt(t *testing.T) {
	foreign := extraAnswers["success of the earlier request"]
	for name, extra := range map[string]func(requestID, earlierID string) string{
		"many":      func(id, earlier string) string { return strings.Repeat(foreign(id, earlier), 50) },
		"long":      func(_, earlier string) string { return longAnswer(earlier, 2<<20) },
		"by close":  func(_, earlier string) string { return "HTTP/1.1 200 OK\r\nId: " + earlier + "\r\n\r\nown" },
		"truncated": func(_, earlier string) string { return longAnswer(earlier, 2<<10)[:1<<10] },
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t)
			r.plan()
			var runs runCounts
			r.repeatingServer("a", extra, &runs)
			if _, err := r.sendID("id-0", route.Unsafe); err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			got, err := r.sendWith(ctx, forward.Request{ID: "id-1", Method: "POST", Path: "/unsafe/x", Key: "k"})
			if err == nil || got.text() != "" {
				t.Errorf("status %d, %q, %v", got.status, got.text(), err)
			}
		})
	}
}

// Guards against a begun stream that uses up its attempts on connections of which servers write an
// answer of another request, and close them then: the last one is over a connection that was not in use.
func TestLastAttemptOfABegunStreamUsesAnUnusedConnection(t *testing.T) {
	r := newHarness(t)
	r.plan()
	var streams atomic.Int64
	serve := func(conn net.Conn) {
		defer conn.Close()
		for reader, n := bufio.NewReader(conn), 0; ; n++ {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			id, own := req.Header.Get("Id"), "own"
			if strings.HasPrefix(req.URL.Path, "/streaming/") {
				switch first := streams.Add(1) == 1; {
				case first:
					io.WriteString(conn, chunkedHead)
					chunk(conn, streamText(1, 1))
					return
				case n > 0:
					io.WriteString(conn, longAnswer("earlier", 7))
					return
				}
				own = streamText(2, 3)
			}
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(own), own)
		}
	}
	for _, id := range []string{"a", "b", "c", "d"} {
		r.announce(id, listenRaw(t, serve), 1, backend.Serving)
	}
	var all sync.WaitGroup
	for n := range 40 { // each server gets some, and keeps their connections
		all.Go(func() { r.sendID(fmt.Sprint("safe-", n), route.Safe) })
	}
	all.Wait()
	got, err := r.sendWith(t.Context(), forward.Request{Path: "/streaming/x", Key: "k"})
	if want := streamText(1, 3); err != nil || got.text() != want {
		t.Errorf("%q after %d attempts, %v", got.text(), streams.Load(), err)
	}
}

// longAnswer returns an answer to a request with a body of n bytes.
func longAnswer(requestID string, n int) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", requestID, n, strings.Repeat("x", n))
}

// Guards against a refusal that is taken for that of a request's second attempt at the same
// server: the attempt uses another connection, where no earlier answer can follow.
func TestRetryAtSameServerUsesNewConnection(t *testing.T) {
	r := newHarness(t)
	r.plan()
	conns := make(chan string, 16)
	r.server("a", func(w http.ResponseWriter, req *http.Request) {
		conns <- req.RemoteAddr
		if len(conns)%2 == 0 {
			return
		}
		w.Header().Set("Refused", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	if _, err := r.send(route.Safe); err != nil && codeOf(err) != forward.NoServer {
		t.Fatal(err)
	}
	close(conns)
	seen := make(map[string]bool)
	for c := range conns {
		if seen[c] {
			t.Error("a second attempt on the connection of the first")
		}
		seen[c] = true
	}
}

func (r *harness) sendID(id string, kind route.Kind) (*recordingSink, error) {
	path := "/" + string(kind) + "/x"
	got := &recordingSink{}
	return got, r.entry.Forward(context.Background(), forward.Request{ID: id, Method: "POST", Host: "h", Target: path, Path: path, Key: "k", Arrived: time.Now()}, got)
}

// Guards against an answer that is not the rest of a stream and gets into it: an error's text or
// head in the middle of a stream, or a stream that ends as if it were complete. It holds as
// well when no attempt is left.
func TestOnlyTheRestOfAStreamContinuesIt(t *testing.T) {
	const first = "id: 1\ndata: 1\n\n"
	for _, status := range []int{201, 204, 206, 301, 304, 400, 401, 404, 408, 409, 421, 429, 500, 502, 503, 504} {
		for _, framing := range []string{"length", "chunked", "closed"} {
			for _, recovers := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d/%s/recovers=%v", status, framing, recovers), func(t *testing.T) {
					r := newHarness(t)
					r.plan()
					var sent atomic.Int64
					answer := func(w http.ResponseWriter, _ *http.Request) {
						switch n := sent.Add(1); {
						case n == 1:
							event(w, 1)
							hangUp(w)
						case n > 2 && recovers:
							event(w, 2)
						default:
							writeError(w, status, framing)
						}
					}
					for _, id := range []string{"a", "b", "c"} {
						r.server(id, answer)
					}
					ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
					defer cancel()
					got, err := r.sendWith(ctx, forward.Request{Path: "/streaming/x", Key: "k"})
					text := got.text()
					switch {
					case got.status != http.StatusOK:
						t.Errorf("status %d", got.status)
					case err == nil && text != first+"id: 2\ndata: 2\n\n":
						t.Errorf("%q ends as complete", text)
					case err != nil && text != first:
						t.Errorf("%q, %v", text, err)
					case recovers && err != nil:
						t.Errorf("%v, although a third server has the rest", err)
					}
				})
			}
		}
	}
}

// writeError writes an answer with the status whose text looks like an event.
func writeError(w http.ResponseWriter, status int, framing string) {
	const text = "data: error\n\n"
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	head := fmt.Sprintf("HTTP/1.1 %d X\r\nId: %s\r\n", status, w.Header().Get("Id"))
	hasBody := status != http.StatusNoContent && status != http.StatusNotModified
	switch {
	case !hasBody:
		buffer.WriteString(head + "\r\n")
	case framing == "length":
		fmt.Fprintf(buffer, "%sContent-Length: %d\r\n\r\n%s", head, len(text), text)
	case framing == "chunked":
		fmt.Fprintf(buffer, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(text), text)
	default:
		buffer.WriteString(head + "Connection: close\r\n\r\n" + strings.Repeat(text, 2))
	}
	buffer.Flush()
}
