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

	"github.com/juju/clock/testclock"

	"rosereach/core/backend"
	"rosereach/core/forward"
	"rosereach/core/health"
	"rosereach/core/route"
)

// badHeads are heads of answers that are none.
var badHeads = map[string]string{
	"000": "HTTP/1.1 000 X", "001": "HTTP/1.1 001 X", "099": "HTTP/1.1 099 X", "+20": "HTTP/1.1 +20 X",
	"600": "HTTP/1.1 600 X", "999": "HTTP/1.1 999 X", "HTTP/2.0": "HTTP/2.0 200 OK", "HTTP/0.9": "HTTP/0.9 200 OK", "ICY": "ICY 200 OK",
	"101": "HTTP/1.1 101 X", "000 after 103": "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 000 X",
}

// badAnswers serves one bad answer, to the first request or to the first one on a connection in use.
// All others are one event.
type badAnswers struct {
	text string
	kept bool
	runs atomic.Int64
	sent atomic.Bool
}

func (s *badAnswers) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		s.runs.Add(1)
		if s.kept == (n > 0) && s.sent.CompareAndSwap(false, true) {
			io.WriteString(conn, s.text)
			continue
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: id-1\r\nContent-Length: 15\r\n\r\n%s", streamText(1, 1))
	}
}

// A server answered with a status that is none. The entry waited for another head until its
// timeouts, or passed 600 and 999 on as an answer. Such an answer is a failed attempt at once.
func TestStatusThatIsNoneFailsTheAttemptAtOnce(t *testing.T) {
	for name, line := range badHeads {
		for _, kind := range []route.Kind{route.Safe, route.Unsafe, route.Streaming} {
			for _, way := range []string{"new", "kept", "detour"} {
				t.Run(fmt.Sprint(name, "/", kind, "/", way), func(t *testing.T) {
					t.Parallel()
					r := newHarness(t)
					r.plan()
					r.entry.cfg.Clock = testclock.NewClock(time.Now()) // no timeout passes
					watch := &watchState{recorder: health.NewRecorder()}
					r.entry.forwarder.addEvidenceSource(watch)
					s := &badAnswers{text: line + "\r\nId: id-1\r\nContent-Length: 15\r\n\r\n" + streamText(1, 1), kept: way == "kept"}
					if way == "detour" {
						r.relayed()
					}
					for _, id := range []string{"a", "b"} {
						r.announce(id, listenRaw(t, s.serve), 1, backend.Serving)
					}
					var err error
					var runs int64
					for !s.sent.Load() {
						before := s.runs.Load()
						err = s.check(t, r, kind)
						runs = s.runs.Load() - before
					}
					if failure := (&forward.Failure{Code: codeOf(err)}); kind == route.Unsafe && (err == nil || failure.IsNotRun() || runs != 1) {
						t.Errorf("%v after %d runs", err, runs)
					}
					if kind != route.Unsafe && (err != nil || runs != 2) {
						t.Errorf("%v after %d runs", err, runs)
					}
					if n := failures(watch); n != 1 {
						t.Errorf("%d failures are counted", n)
					}
				})
			}
		}
	}
}

// check sends a request, and checks that the caller gets nothing but an answer of one event.
func (s *badAnswers) check(t *testing.T, r *harness, kind route.Kind) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	got, err := r.sendWith(ctx, forward.Request{Path: "/" + string(kind) + "/x", Key: "k"})
	if err == nil && (got.status != http.StatusOK || got.text() != streamText(1, 1)) || err != nil && (got.status != 0 || got.text() != "") {
		t.Errorf("%d %q, %v", got.status, got.text(), err)
	}
	return err
}

// failures returns the failures that are reported to a control.
func failures(s *watchState) (n uint32) {
	for _, sample := range s.recorder.Take(time.Now()) {
		n += sample.Failures
	}
	return n
}

// As a later attempt of a stream that has begun, such an answer is neither its rest nor its end.
func TestStatusThatIsNoneEndsNoStream(t *testing.T) {
	for name, line := range badHeads {
		r := newHarness(t)
		r.plan()
		r.entry.cfg.Clock = testclock.NewClock(time.Now()) // no timeout passes
		runs := r.serveInTurn(cutInEvent2, func(conn net.Conn) {
			io.WriteString(conn, line+"\r\nId: id-1\r\nContent-Length: 0\r\n\r\n")
			io.Copy(io.Discard, conn)
		}, restFrom(2))
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		got, err := r.sendWith(ctx, forward.Request{Path: "/streaming/x", Key: "k"})
		cancel()
		if err != nil || got.text() != streamText(1, eventsOfStream) || runs.Load() != 3 {
			t.Errorf("%s: %q after %d runs, %v", name, got.text(), runs.Load(), err)
		}
	}
}

// Informational answers that trickle in hold an attempt no longer than silence does.
func TestTricklingInformationalAnswersAreSilence(t *testing.T) {
	for name, text := range map[string]string{"answers": "HTTP/1.1 103 X\r\n\r\n", "one answer": "A: b\r\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newHarness(t)
			r.plan()
			runs := r.serveInTurn(func(conn net.Conn) {
				io.WriteString(conn, "HTTP/1.1 103 X\r\n")
				for _, err := io.WriteString(conn, text); err == nil; _, err = io.WriteString(conn, text) {
					time.Sleep(50 * time.Millisecond)
				}
			}, restFrom(1))
			got, err := r.send(route.Safe)
			if err != nil || got.text() != streamText(1, eventsOfStream) || runs.Load() < 2 {
				t.Errorf("%q after %d runs, %v", got.text(), runs.Load(), err)
			}
		})
	}
}
