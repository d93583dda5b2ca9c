package load

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/clock"
	"github.com/juju/clock/testclock"

	"rosereach/core/request"
	"rosereach/io/caller"
)

// entryStub is an entry that answers each request with the next step of a
// script.
type entryStub struct {
	mu              sync.Mutex
	addressRequests int
	served          []string
	script          []func(w http.ResponseWriter)
	ttl             time.Duration
	list            []string
}

func (e *entryStub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	if strings.HasPrefix(r.URL.Path, "/v1/addresses") {
		e.addressRequests++
		fmt.Fprintf(w, `{"addresses":["%s"],"ttl_ms":%d}`, strings.Join(e.list, `","`), e.ttl.Milliseconds())
		e.mu.Unlock()
		return
	}
	e.served = append(e.served, r.Header.Get(caller.HeaderRequestID))
	step := e.script[0]
	e.script = e.script[1:]
	e.mu.Unlock()
	step(w)
}

func (e *entryStub) counts() (int, []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.addressRequests, e.served
}

func startStub(t *testing.T, ttl time.Duration, script ...func(http.ResponseWriter)) (*entryStub, string) {
	t.Helper()
	stub := &entryStub{script: script, ttl: ttl}
	server := httptest.NewServer(stub)
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	stub.list = []string{address}
	return stub, address
}

func done(w http.ResponseWriter) { fmt.Fprint(w, `{}`) }

func dropConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		conn.Close()
	}
}

func problem(outcome request.Outcome, retry time.Duration, addresses ...string) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) {
		w.Header().Set("Content-Type", "application/problem+json")
		w.WriteHeader(http.StatusServiceUnavailable)
		list := ""
		if len(addresses) > 0 {
			list = `,"addresses":["` + strings.Join(addresses, `","`) + `"]`
		}
		fmt.Fprintf(w, `{"code":"x","outcome":%q,"retry_after_ms":%d%s}`, outcome, retry.Milliseconds(), list)
	}
}

func post(ctx context.Context, client caller.Client) (caller.Reply, error) {
	return client.Service(ctx, "ledger", http.MethodPost, "/x", []byte(`{}`), caller.CallOptions{RequestID: "r"})
}

func TestCallerRetries(t *testing.T) {
	for _, tc := range []struct {
		name    string
		script  []func(http.ResponseWriter)
		sends   int
		outcome request.Outcome
	}{
		{"done", []func(http.ResponseWriter){done}, 1, request.Done},
		{"answer lost", []func(http.ResponseWriter){dropConnection, dropConnection, done}, 3, request.Done},
		{"refused with a retry time", []func(http.ResponseWriter){problem(request.NotRun, time.Millisecond), done}, 2, request.Done},
		{"refused without a retry time", []func(http.ResponseWriter){problem(request.NotRun, 0)}, 1, request.NotRun},
		{"unknown without a retry time", []func(http.ResponseWriter){problem(request.Unknown, 0)}, 1, request.Unknown},
		{"unknown with a retry time", []func(http.ResponseWriter){problem(request.Unknown, time.Millisecond), done}, 2, request.Done},
	} {
		t.Run(tc.name, func(t *testing.T) {
			stub, address := startStub(t, time.Minute, tc.script...)
			c := &Caller{BootstrapEntries: []string{address}, HTTP: &http.Client{Transport: &http.Transport{}}, Clock: clock.WallClock}
			f := c.Do(t.Context(), post)
			_, served := stub.counts()
			if f.Sends != tc.sends || f.Outcome() != tc.outcome || len(served) != tc.sends {
				t.Errorf("sends %d, outcome %s, served %v", f.Sends, f.Outcome(), served)
			}
		})
	}
}

// The caller does not retry before the delay that a refusal names.
func TestCallerRespectsRetryTime(t *testing.T) {
	stub, address := startStub(t, time.Hour, problem(request.NotRun, time.Minute), done)
	clk := testclock.NewClock(time.Unix(0, 0))
	c := &Caller{BootstrapEntries: []string{address}, HTTP: http.DefaultClient, Clock: clk}
	final := make(chan Result)
	go func() { final <- c.Do(t.Context(), post) }()
	if err := clk.WaitAdvance(time.Minute-time.Second, 10*time.Second, 1); err != nil {
		t.Fatal(err)
	}
	if _, served := stub.counts(); len(served) != 1 {
		t.Errorf("served %v before the retry time", served)
	}
	clk.Advance(time.Second)
	if f := <-final; f.Sends != 2 || f.Outcome() != request.Done {
		t.Errorf("final %+v", f)
	}
}

// The address list is cached for its time to live, and addresses in a refusal
// replace it immediately.
func TestCallerKeepsAddresses(t *testing.T) {
	second, other := startStub(t, time.Hour, done)
	first, address := startStub(t, time.Second, done, done, problem(request.NotRun, 0, other))
	clk := testclock.NewClock(time.Unix(0, 0))
	c := &Caller{BootstrapEntries: []string{address}, HTTP: http.DefaultClient, Clock: clk}
	for i, advance := range []time.Duration{0, 500 * time.Millisecond} {
		clk.Advance(advance)
		if f := c.Do(t.Context(), post); f.Outcome() != request.Done {
			t.Fatalf("request %d: %+v", i, f)
		}
		if asked, _ := first.counts(); asked != 1 {
			t.Errorf("request %d: addresses fetched %d times", i, asked)
		}
	}
	clk.Advance(time.Second)
	final := make(chan Result)
	go func() { final <- c.Do(t.Context(), post) }()
	if err := clk.WaitAdvance(connRetryDelay, 10*time.Second, 1); err != nil {
		t.Fatal(err)
	}
	if f := <-final; f.Outcome() != request.Done || f.Sends != 2 {
		t.Errorf("after the refusal with addresses: %+v", f)
	}
	asked, _ := first.counts()
	if _, served := second.counts(); asked != 2 || len(served) != 1 {
		t.Errorf("addresses fetched %d times, the other entry served %v", asked, served)
	}
}
