// Package logs writes structured lines within a budget of bytes a second and
// without ever holding up who logs. When the budget is used up, routine lines
// are left out first, then lines about failures, and lines about changes of
// what the process believes last; what was left out is counted and told.
package logs

import (
	"bytes"
	"context"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/juju/clock"
)

const (
	// DefaultBytes is the budget in bytes a second: some 30 requests with all
	// their lines, three times what an entry serves in a usual second.
	DefaultBytes = 32 << 10

	// burst is how many seconds of the budget may be written at once.
	burst = 4

	// queued is how many lines may wait for a reader: a few seconds' worth.
	queued = 1024

	// tellInterval is how often it is told what was left out.
	tellInterval = time.Second

	// lineEstimate is taken off the budget before a line is put into words, so
	// that lines left out cost next to nothing.
	lineEstimate = 200
)

// The classes of lines, and the share of the budget that has to be left for
// each to be written.
const (
	routine class = iota
	failure
	belief
)

var floors = [...]float64{routine: 0.5, failure: 0.2, belief: 0}

type (
	class int

	// Logger is a log.Logger with a budget. Lines at debug level are routine,
	// those at warn and error level are failures, all others are beliefs.
	Logger struct {
		clock clock.Clock
		bytes float64
		lines chan []byte
		done  chan struct{}

		mu      sync.Mutex
		left    float64
		at      time.Time
		dropped map[string]int
	}
)

// New returns a logger that writes to w until the context ends. Lines that
// cannot be written in time are left out.
func New(ctx context.Context, w io.Writer, c clock.Clock, bytesPerSecond int) *Logger {
	l := &Logger{
		clock: c, bytes: float64(bytesPerSecond), lines: make(chan []byte, queued), done: make(chan struct{}),
		left: burst * float64(bytesPerSecond), at: c.Now(), dropped: make(map[string]int),
	}
	go l.write(ctx, w)
	return l
}

// Log takes a line. It never waits and never fails.
func (l *Logger) Log(keyvals ...any) error {
	if !l.mayWrite(classOf(keyvals)) {
		l.drop(keyvals)
		return nil
	}
	var b bytes.Buffer
	if err := log.NewLogfmtLogger(&b).Log(keyvals...); err != nil {
		l.drop(keyvals)
		return nil //nolint:nilerr // logging never fails; the line is counted as left out
	}
	l.spend(b.Len() - lineEstimate)
	select {
	case l.lines <- b.Bytes():
	default:
		l.drop(keyvals)
	}
	return nil
}

// Wait returns when everything was written after the context's end, or when
// the time is over.
func (l *Logger) Wait(longest time.Duration) {
	select {
	case <-l.done:
	case <-l.clock.After(longest):
	}
}

func (l *Logger) write(ctx context.Context, w io.Writer) {
	defer close(l.done)
	tell := l.clock.NewTimer(tellInterval)
	defer tell.Stop()
	for {
		select {
		case line := <-l.lines:
			w.Write(line) //nolint:errcheck // there is nowhere to tell it
		case <-tell.Chan():
			l.tell(w)
			tell.Reset(tellInterval)
		case <-ctx.Done():
			for len(l.lines) > 0 {
				w.Write(<-l.lines) //nolint:errcheck // see above
			}
			l.tell(w)
			return
		}
	}
}

// tell writes what was left out since the last time.
func (l *Logger) tell(w io.Writer) {
	l.mu.Lock()
	dropped := l.dropped
	l.dropped = make(map[string]int)
	l.mu.Unlock()
	if len(dropped) == 0 {
		return
	}
	keyvals := []any{"level", "warn", "ts", l.clock.Now().UTC().Format(time.RFC3339Nano), "msg", "Lines are left out."}
	for _, msg := range slices.Sorted(maps.Keys(dropped)) {
		keyvals = append(keyvals, "of", msg, "n", dropped[msg])
	}
	log.NewLogfmtLogger(w).Log(keyvals...) //nolint:errcheck // see above
}

// mayWrite takes an estimated line off the budget if its class may use it.
func (l *Logger) mayWrite(c class) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.left = min(l.left+now.Sub(l.at).Seconds()*l.bytes, burst*l.bytes)
	l.at = now
	if l.left-lineEstimate < floors[c]*burst*l.bytes {
		return false
	}
	l.left -= lineEstimate
	return true
}

func (l *Logger) spend(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.left -= float64(n)
}

func (l *Logger) drop(keyvals []any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropped[messageOf(keyvals)]++
}

func classOf(keyvals []any) class {
	for i := 0; i+1 < len(keyvals); i += 2 {
		if keyvals[i] != level.Key() {
			continue
		}
		switch keyvals[i+1] {
		case level.DebugValue():
			return routine
		case level.WarnValue(), level.ErrorValue():
			return failure
		}
	}
	return belief
}

func messageOf(keyvals []any) string {
	for i := 0; i+1 < len(keyvals); i += 2 {
		if keyvals[i] == "msg" {
			if text, ok := keyvals[i+1].(string); ok {
				return text
			}
		}
	}
	return "unnamed"
}
