package entry

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"rosereach/core/forward"
	"rosereach/core/route"
)

// write writes a text again and again, with pauses, until the caller leaves, and counts the
// requests that arrived.
func write(text string, pause time.Duration, arrived *atomic.Int64) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/status") {
			io.WriteString(w, "1 0")
			return
		}
		arrived.Add(1)
		w.WriteHeader(http.StatusOK)
		for r.Context().Err() == nil {
			if _, err := io.WriteString(w, text); err != nil {
				break
			}
			http.NewResponseController(w).Flush()
			time.Sleep(pause)
		}
	}
}

// soundStream writes a whole stream.
func soundStream(w http.ResponseWriter, _ *http.Request) {
	for id := range uint64(3) {
		event(w, id+1)
	}
}

// An event without an end, however fast or slowly it comes, ends the attempt before the
// request's deadline, and another server answers.
func TestEndlessEventEndsAttempt(t *testing.T) {
	for name, endless := range map[string]struct {
		text  string
		pause time.Duration
	}{
		"fast":   {strings.Repeat("x", 32<<10), 0},
		"slowly": {"x", 50 * time.Millisecond},
	} {
		r := newHarness(t)
		r.plan()
		var arrived atomic.Int64
		r.server("endless", write(endless.text, endless.pause, &arrived))
		r.server("sound", soundStream)
		for i := 0; arrived.Load() == 0 && i < 50; i++ {
			got, err := r.sendWith(context.Background(), forward.Request{Path: "/streaming/x", Key: "k"})
			if err != nil || !strings.Contains(got.text(), "id: 3\n") {
				t.Fatalf("%s: %q, %v", name, got.text(), err)
			}
		}
		if arrived.Load() == 0 {
			t.Fatalf("%s: no request reached the server", name)
		}
	}
}

// A whole answer without an end is given up as well.
func TestEndlessWholeAnswerIsGivenUp(t *testing.T) {
	r := newHarness(t)
	r.plan()
	var arrived atomic.Int64
	r.server("endless", write(strings.Repeat("x", 32<<10), 0, &arrived))
	r.server("sound", succeed)
	for i := 0; arrived.Load() == 0 && i < 50; i++ {
		if _, err := r.send(route.Safe); err != nil {
			t.Fatal(err)
		}
	}
	if arrived.Load() == 0 {
		t.Fatal("no request reached the server")
	}
}
