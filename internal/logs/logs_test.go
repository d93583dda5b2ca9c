package logs_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log/level"
	"github.com/juju/clock"

	"rosereach/internal/logs"
)

// syncBuffer is a buffer that is safe for concurrent use.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// A burst stays within the limit. Lines about changes of state are kept when
// routine lines and failures are dropped, and the dropped lines are reported.
func TestBurstStaysWithinLimit(t *testing.T) {
	const limit = 4 << 10
	ctx, cancel := context.WithCancel(context.Background())
	var out syncBuffer
	l := logs.New(ctx, &out, clock.WallClock, limit)
	for i := range 5000 {
		level.Debug(l).Log("msg", "Request ends.", "id", i)
		if i%10 == 0 {
			level.Warn(l).Log("msg", "Attempt fails.", "id", i)
		}
		if i%500 == 0 {
			l.Log("msg", "Plan changes.", "revision", i)
		}
	}
	cancel()
	l.Wait(10 * time.Second)
	text := out.text()
	if len(text) > 6*limit {
		t.Errorf("%d bytes for a limit of %d a second", len(text), limit)
	}
	if n := strings.Count(text, `msg="Plan changes."`); n != 10 {
		t.Errorf("%d of 10 lines about the plan were kept", n)
	}
	if !strings.Contains(text, "Lines are left out.") || !strings.Contains(text, `of="Request ends."`) {
		t.Errorf("no report of dropped lines:\n%s", text[max(len(text)-400, 0):])
	}
}

// A log reader that stops reading does not block the code that logs.
func TestStoppedReaderDoesNotBlock(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r, w := io.Pipe()
	defer r.Close()
	l := logs.New(ctx, w, clock.WallClock, 100<<20)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 20_000 {
			l.Log("msg", "Plan changes.", "revision", i)
		}
	}()
	select {
	case <-done:
	case <-time.After(time.Minute):
		t.Fatal("Log blocks on a stopped reader")
	}
	go io.Copy(io.Discard, r)
}

func ExampleLogger() {
	ctx, cancel := context.WithCancel(context.Background())
	var out syncBuffer
	l := logs.New(ctx, &out, clock.WallClock, logs.DefaultBytesPerSecond)
	l.Log("msg", "Leads.", "term", 3)
	cancel()
	l.Wait(time.Second)
	fmt.Print(out.text())
	// Output: msg=Leads. term=3
}
