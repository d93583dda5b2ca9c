package backend

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/juju/clock"
	"github.com/juju/errors"

	"rosereach/core/request"
)

var errGateClosed = errors.New("the gate is closed")

// testGate is closed when err is set. It counts checks and reports writes.
type testGate struct {
	err     error
	checked atomic.Int64
	written chan struct{}
}

func (g *testGate) Check() error {
	g.checked.Add(1)
	return g.err
}

func (g *testGate) Written() {
	select {
	case g.written <- struct{}{}:
	default:
	}
}

// recordBytes accepts one connection and sends all that it receives there to got.
func recordBytes(t *testing.T) (address string, got <-chan string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	all := make(chan string, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		data, _ := io.ReadAll(conn)
		all <- string(data)
	}()
	return l.Addr().String(), all
}

// If the gate is closed when the connection is established, no byte of the
// attempt is written and the outcome is not_run.
func TestClosedGate(t *testing.T) {
	for _, tc := range []struct {
		name       string
		idempotent bool
		path, body string
	}{
		{"with a body", false, "/x", "{}"},
		{"idempotent", true, "/x", "{}"},
		{"without a body", false, "/x", ""},
		{"large head", false, "/" + strings.Repeat("x", 64<<10), "{}"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			address, got := recordBytes(t)
			gate := &testGate{err: errGateClosed}
			_, err := NewClient(clock.WallClock, 1).Plain(t.Context(), PlainCall{
				Address: address, RequestID: "a", Idempotent: tc.idempotent, Method: http.MethodPost, Path: tc.path,
				Body: []byte(tc.body), Gate: gate,
			})
			var attempt *AttemptError
			if !errors.As(err, &attempt) || attempt.Outcome != request.NotRun {
				t.Errorf("error %v, want not_run", err)
			}
			if data := <-got; data != "" {
				t.Errorf("written: %q", data)
			}
			if gate.checked.Load() == 0 {
				t.Error("the gate was not checked")
			}
		})
	}
}

// An open gate is checked once per attempt and notified when the attempt has
// been written.
func TestOpenGate(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		gate := &testGate{written: make(chan struct{}, 1)}
		_, err := NewClient(clock.WallClock, 1).Plain(t.Context(), PlainCall{
			Address: server.Listener.Addr().String(), RequestID: "a", Method: method, Path: "/x", Body: []byte("{}"), Gate: gate,
		})
		if err != nil || gate.checked.Load() != 1 {
			t.Errorf("%s: %v, checked %d times", method, err, gate.checked.Load())
		}
		<-gate.written
	}
}

// A gate that allowed one write and refuses a later one does not prove that the
// attempt was not run.
func TestNotRunCause(t *testing.T) {
	attempt := &gatedAttempt{gate: &testGate{}, connected: true}
	if err := attempt.checkGate(); err != nil {
		t.Fatal(err)
	}
	attempt.gate = &testGate{err: errGateClosed}
	if err := attempt.checkGate(); err == nil || attempt.notRunCause(err) != nil {
		t.Errorf("error %v, cause %v", err, attempt.notRunCause(err))
	}
}
