package backend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/clock"

	"rosereach/core/request"
	"rosereach/core/version"
	"rosereach/internal/fault"
)

// counter counts the requests that a server received, by request ID.
type counter struct {
	mu   sync.Mutex
	seen map[string]int
}

func (c *counter) add(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.seen == nil {
		c.seen = make(map[string]int)
	}
	c.seen[id]++
	return c.seen[id]
}

func (c *counter) count(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.seen[id]
}

// serve starts a server that counts requests and then answers.
func serve(t *testing.T, answer http.HandlerFunc) (string, *counter) {
	t.Helper()
	c := &counter{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.add(r.Header.Get(HeaderRequestID))
		answer(w, r)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), c
}

// startProxy starts a proxy to the target that applies the plan, and returns its
// address.
func startProxy(t *testing.T, target string, plan fault.Plan) string {
	t.Helper()
	p, err := fault.Start(t.Context(), target)
	if err != nil {
		t.Fatal(err)
	}
	p.SetPlan(plan)
	return p.Address()
}

// closedPort returns an address on which nothing listens.
func closedPort(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func outcomeOf(t *testing.T, err error) request.Outcome {
	t.Helper()
	if err == nil {
		return request.Done
	}
	var attempt *AttemptError
	if !errors.As(err, &attempt) {
		t.Fatalf("error %T without an outcome: %v", err, err)
	}
	return attempt.Outcome
}

// Each fault yields the expected outcome and number of requests at the server.
// An attempt is never sent twice, and unless the server itself refused it, its
// outcome is not_run only if the server received nothing.
func TestPlainUnderFaults(t *testing.T) {
	ok := func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, strings.Repeat("receipt ", 1000)) }
	refuse := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(HeaderOutcome, string(request.NotRun))
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	fails := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	elsewhere, other := serve(t, ok)
	redirect := func(w http.ResponseWriter, r *http.Request) {
		http.Redirect(w, r, "http://"+elsewhere+"/again", http.StatusTemporaryRedirect)
	}
	for _, tc := range []struct {
		name   string
		answer http.HandlerFunc
		plan   fault.Plan
		closed bool
		want   request.Outcome
		runs   int
	}{
		{"whole", ok, fault.Plan{}, false, request.Done, 1},
		{"no listener", ok, fault.Plan{}, true, request.NotRun, 0},
		{"reset before the first byte", ok, fault.Plan{ResetAfterBytes: -1}, false, request.Unknown, 1},
		{"reset after some", ok, fault.Plan{ResetAfterBytes: 500}, false, request.Unknown, 1},
		{"refused by the server", refuse, fault.Plan{}, false, request.NotRun, 1},
		{"error of the server", fails, fault.Plan{}, false, request.Done, 1},
		{"redirection", redirect, fault.Plan{}, false, request.Done, 1},
	} {
		for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut} {
			t.Run(tc.name+"/"+method, func(t *testing.T) {
				address, seen := serve(t, tc.answer)
				if address = startProxy(t, address, tc.plan); tc.closed {
					address = closedPort(t)
				}
				client := NewClient(clock.WallClock, 4)
				_, err := client.Plain(t.Context(), PlainCall{Address: address, RequestID: "a", Method: method, Path: "/x"})
				if got := outcomeOf(t, err); got != tc.want {
					t.Errorf("outcome %s, want %s: %v", got, tc.want, err)
				}
				if n := seen.count("a"); n != tc.runs {
					t.Errorf("the server received it %d times, want %d", n, tc.runs)
				}
			})
		}
	}
	if n := other.count("a"); n != 0 {
		t.Errorf("a redirection was followed %d times", n)
	}
}

// startClosingServer starts a server that answers request "a" and closes the connection
// without an answer after it has read any other request.
func startClosingServer(t *testing.T) (string, *counter) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	seen := &counter{}
	answerAll := func(conn net.Conn) {
		defer conn.Close()
		r := bufio.NewReader(conn)
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			id := req.Header.Get(HeaderRequestID)
			seen.add(id)
			if id != "a" {
				return
			}
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go answerAll(conn)
		}
	}()
	return l.Addr().String(), seen
}

// Go's transport retries some requests by itself when the server closes a reused
// connection. A call that is not idempotent is never sent again, whatever its
// method and body.
func TestTransportDoesNotRetry(t *testing.T) {
	for _, tc := range []struct {
		method     string
		body       string
		idempotent bool
		runs       int
	}{
		{http.MethodGet, "", true, 2},
		{http.MethodGet, "", false, 1},
		{http.MethodPut, "", false, 1},
		{http.MethodPost, `{"berth":4}`, false, 1},
	} {
		t.Run(fmt.Sprint(tc.method, " idempotent=", tc.idempotent), func(t *testing.T) {
			address, seen := startClosingServer(t)
			client := NewClient(clock.WallClock, 4)
			call := PlainCall{Address: address, RequestID: "a", Method: tc.method, Path: "/", Body: []byte(tc.body), Idempotent: tc.idempotent}
			if _, err := client.Plain(t.Context(), call); err != nil {
				t.Fatal(err)
			}
			call.RequestID = "b"
			if _, err := client.Plain(t.Context(), call); outcomeOf(t, err) != request.Unknown {
				t.Errorf("outcome of the call whose connection was closed: %v", err)
			}
			if n := seen.count("b"); n != tc.runs {
				t.Errorf("sent %d times, want %d", n, tc.runs)
			}
		})
	}
}

// events returns a handler that streams the lines as run-1.
func events(lines ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(HeaderRun, "run-1")
		for _, line := range lines {
			fmt.Fprintf(w, "%s\n\n", line)
		}
	}
}

const (
	token0 = `data: {"id":"a","choices":[{"delta":{"content":"x"}}],"offset":0}`
	token1 = `data: {"id":"a","choices":[{"delta":{"content":"y"}}],"offset":1}`
	end2   = `data: {"id":"a","choices":[{"delta":{"content":""}}],"offset":2,"usage":{"prompt_tokens":1,"completion_tokens":2}}`
	done   = `data: [DONE]`
)

// A stream is complete only if it has usage and end marker and all its events
// belong to the request. A resumed stream must come from the requested run.
func TestStream(t *testing.T) {
	for _, tc := range []struct {
		name   string
		answer http.HandlerFunc
		run    string
		want   request.Outcome
		text   string
	}{
		{"whole", events(token0, token1, end2, done), "", request.Done, "xy"},
		{"comments between", events(": ping", token0, token1, end2, done), "", request.Done, "xy"},
		{"cut", events(token0), "", request.Unknown, "x"},
		{"no usage before the end", events(token0, done), "", request.Unknown, "x"},
		{"end without its last line", events(token0, token1, end2), "", request.Unknown, "xy"},
		{"of another request", events(token0, strings.Replace(token1, `"a"`, `"b"`, 1)), "", request.Unknown, "x"},
		{"no JSON", events(token0, "data: {"), "", request.Unknown, "x"},
		{"no choice", events(`data: {"id":"a","choices":[]}`), "", request.Unknown, ""},
		{"the requested run", events(token1, end2, done), "run-1", request.Done, "y"},
		{"another run", events(token0, token1, end2, done), "run-2", request.Unknown, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			address, _ := serve(t, tc.answer)
			var text strings.Builder
			call := ChatCall{Address: address, RequestID: "a", Version: version.Ref{Model: "small", Version: "v1"}, RunID: tc.run}
			_, err := NewClient(clock.WallClock, 4).Stream(t.Context(), call, func(p Piece) error {
				text.WriteString(p.Text)
				return nil
			})
			if got := outcomeOf(t, err); got != tc.want {
				t.Errorf("outcome %s, want %s: %v", got, tc.want, err)
			}
			if text.String() != tc.text {
				t.Errorf("text %q, want %q", text.String(), tc.text)
			}
		})
	}
}

// The deadline is sent with the call, in milliseconds.
func TestDeadlineIsSent(t *testing.T) {
	deadline := time.UnixMilli(1_800_000_000_123)
	got := make(chan string, 1)
	address, _ := serve(t, func(_ http.ResponseWriter, r *http.Request) { got <- r.Header.Get(HeaderDeadline) })
	call := PlainCall{Address: address, RequestID: "a", Method: http.MethodGet, Path: "/", Deadline: deadline}
	if _, err := NewClient(clock.WallClock, 1).Plain(context.Background(), call); err != nil {
		t.Fatal(err)
	}
	if text := <-got; text != "1800000000123" {
		t.Errorf("deadline %q", text)
	}
}
