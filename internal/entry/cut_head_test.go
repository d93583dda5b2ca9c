package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"rosereach/core/backend"
	"rosereach/core/forward"
	"rosereach/core/route"
	"rosereach/io/detour"
)

// cuttingServer cuts its answers after their first bytes, and counts them. If warm is set, the
// first answer on each connection is a whole success, and so is every one while cut is below 0.
type cuttingServer struct {
	answer func(requestID string) string
	cut    atomic.Int64
	warm   bool
	runs   atomic.Int64
}

func (s *cuttingServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		if s.warm && (n == 0 || s.cut.Load() < 0) {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 15\r\n\r\nid: 1\ndata: 1\n\n", req.Header.Get("Id"))
			continue
		}
		s.runs.Add(1)
		text := s.answer(req.Header.Get("Id"))
		io.WriteString(conn, text[:min(int(s.cut.Load()), len(text))])
		return
	}
}

func listenRaw(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return l.Addr().String()
}

// relayed lets the entry reach its servers through another instance only.
func (r *harness) relayed() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.t.Fatal(err)
	}
	s := detour.Server{Key: "key", Take: func() bool { return true }, Release: func() {}, Connect: func(ctx context.Context, target detour.Target) (net.Conn, detour.Status) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", target.Server)
		if err != nil {
			return nil, detour.ServerRefused
		}
		return conn, detour.Connected
	}}
	ended := make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { ended <- s.Serve(ctx, l) }()
	r.t.Cleanup(func() { cancel(); <-ended })
	r.entry.forwarder.client.DialContext = func(ctx context.Context, address string, _ func(string) bool) (net.Conn, error) {
		return detour.Dial(ctx, l.Addr().String(), "key", detour.Target{Server: address, Incarnation: 1})
	}
}

// A server stopped in the middle of the head of its answer and closed, and callers of other
// systems got a success with an empty or short body, framed as whole. Here an answer that is
// cut in its head is none: no caller gets any of it, it promises nothing, and a request that
// may run once is not repeated.
func TestAnswerCutInItsHeadIsNone(t *testing.T) {
	bodies := map[string]func(body string) (header, text string){
		"length": func(body string) (string, string) { return fmt.Sprintf("Content-Length: %d\r\n", len(body)), body },
		"chunks": func(body string) (string, string) {
			return "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		},
		"close": func(body string) (string, string) { return "", body },
	}
	heads := map[string]string{
		"success": "HTTP/1.1 200 OK\r\n", "not found": "HTTP/1.1 404 Not Found\r\n", "failure": "HTTP/1.1 500 Internal\r\n",
		"refusal": "HTTP/1.1 503 Full\r\nRefused: 1\r\n", "informational": "HTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n",
	}
	for framing, frame := range bodies {
		for class, line := range heads {
			for _, way := range []string{"new", "kept", "detour"} {
				t.Run(framing+"/"+class+"/"+way, func(t *testing.T) {
					t.Parallel()
					header, body := frame("id: 1\ndata: 1\n\n")
					headOf := func(id string) string { return line + header + "Id: " + id + "\r\n\r\n" }
					s := &cuttingServer{answer: func(id string) string { return headOf(id) + body }, warm: way == "kept"}
					r := newHarness(t)
					r.plan()
					if way == "detour" {
						r.relayed()
					}
					r.announce("a", listenRaw(t, s.serve), 1, backend.Serving)
					for cut := range len(headOf("id-1")) {
						for _, kind := range []route.Kind{route.Safe, route.Unsafe, route.Streaming} {
							s.checkCut(t, r, cut, kind)
						}
					}
				})
			}
		}
	}
}

// checkCut sends a request whose answer is cut after some bytes of its head.
func (s *cuttingServer) checkCut(t *testing.T, r *harness, cut int, kind route.Kind) {
	t.Helper()
	r.entry.forwarder.mu.Lock()
	r.entry.forwarder.health.Retain(func(string) bool { return false }) // the failures before don't count
	r.entry.forwarder.mu.Unlock()
	if s.warm {
		s.cut.Store(-1)
		if _, err := r.send(kind); err != nil {
			t.Fatalf("warming up: %v", err)
		}
	}
	s.cut.Store(int64(cut))
	before := s.runs.Load()
	got, err := r.send(kind)
	runs := s.runs.Load() - before
	code := codeOf(err)
	switch {
	case s.warm && err == nil && kind != route.Unsafe && got.text() == "id: 1\ndata: 1\n\n":
		// It was sent again on a new connection, where the first answer is whole.
	case err == nil || got.text() != "" || got.status != 0:
		t.Errorf("%s, cut after %d bytes: %d %q, %v", kind, cut, got.status, got.text(), err)
	case kind == route.Unsafe && (runs > 1 || (&forward.Failure{Code: code}).IsNotRun()):
		t.Errorf("%s, cut after %d bytes: %d runs, %v", kind, cut, runs, err)
	}
}

// As a later attempt of a stream that has begun, such an answer is neither its rest nor its
// end.
func TestAnswerCutInItsHeadEndsNoStream(t *testing.T) {
	for _, framing := range []string{"Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n", ""} {
		head := "HTTP/1.1 200 OK\r\n" + framing + "Id: id-1\r\n\r\n"
		for cut := range len(head) {
			r := newHarness(t)
			r.plan()
			var runs atomic.Int64
			for _, id := range []string{"a", "b", "c"} {
				r.announce(id, listenRaw(t, func(conn net.Conn) {
					defer conn.Close()
					if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
						return
					}
					switch runs.Add(1) {
					case 1:
						io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nId: id-1\r\n\r\nf\r\nid: 1\ndata: 1\n\n\r\n")
					case 2:
						io.WriteString(conn, head[:cut])
					default:
						io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 15\r\nId: id-1\r\n\r\nid: 2\ndata: 2\n\n")
					}
				}), 1, backend.Serving)
			}
			got, err := r.send(route.Streaming)
			if want := "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"; err != nil || got.text() != want {
				t.Fatalf("%q, cut after %d bytes: %q after %d runs, %v", strings.TrimSpace(framing), cut, got.text(), runs.Load(), err)
			}
		}
	}
}
