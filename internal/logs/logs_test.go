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
	"github.com/juju/clock/testclock"

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

// slowWriter takes virtual time for each call and each byte, and no call before it may begin.
type slowWriter struct {
	syncBuffer

	clock *testclock.Clock
	begin chan struct{}
}

func (s *slowWriter) Write(p []byte) (int, error) {
	<-s.begin
	s.clock.Advance(time.Millisecond + time.Duration(len(p))*time.Second/slowBytesPerSecond)
	return s.syncBuffer.Write(p)
}

const slowBytesPerSecond = 4 << 20

// Some lines about requests that were cut at the exit of an entry were lost: the bucket was empty,
// the queue full, or the collector slow. Hundreds at once are written, before the process ends.
func TestBurstAtTheEndIsWritten(t *testing.T) {
	const limit, writers, lines = 1 << 10, 8, 150
	ctx, cancel := context.WithCancel(context.Background())
	c := testclock.NewClock(time.Now())
	out := slowWriter{clock: c, begin: make(chan struct{})}
	l := logs.New(ctx, &out, c, limit)
	for i := range 5000 {
		level.Warn(l).Log("msg", "Attempt brings no answer.", "id", i)
	}
	var g sync.WaitGroup
	for i := range writers {
		g.Go(func() {
			for k := range lines {
				level.Warn(l).Log("msg", logs.Reserved("Request is cut."), "id", fmt.Sprintf("%d-%d", i, k), "why", strings.Repeat("x", 400))
			}
		})
	}
	g.Wait()
	cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		l.Wait(logs.FlushTimeout)
	}()
	if err := c.WaitAdvance(0, time.Minute, 2); err != nil {
		t.Fatal(err)
	}
	close(out.begin)
	<-ended
	text := out.text()
	if n := strings.Count(text, `msg="Request is cut."`); n != writers*lines {
		t.Errorf("%d of %d lines are written", n, writers*lines)
	}
	if !strings.Contains(text, `of="Attempt brings no answer."`) {
		t.Error("no report of dropped lines")
	}
}

// The reserve is bounded, and a reader that stops reading does not block those that use it.
func TestReserveIsBounded(t *testing.T) {
	const limit, reserve = 4 << 10, 1 << 20
	ctx, cancel := context.WithCancel(context.Background())
	c := testclock.NewClock(time.Now())
	out := slowWriter{clock: testclock.NewClock(time.Now()), begin: make(chan struct{})}
	l := logs.New(ctx, &out, c, limit)
	for i := range 20_000 {
		level.Warn(l).Log("msg", logs.Reserved("Request is cut."), "id", i, "why", strings.Repeat("x", 400))
	}
	level.Warn(l).Log("msg", logs.Reserved("Request is cut."), "id", "long", "why", strings.Repeat("x", 4*limit))
	cancel()
	close(out.begin)
	l.Wait(time.Hour)
	text := out.text()
	if len(text) > reserve+6*limit {
		t.Errorf("%d bytes for a reserve of %d and a limit of %d a second", len(text), reserve, limit)
	}
	if len(text) < reserve-limit || !strings.Contains(text, `of="Request is cut."`) {
		t.Errorf("%d bytes for a reserve of %d:\n%s", len(text), reserve, text[max(len(text)-400, 0):])
	}
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
