// Package logs provides a rate-limited logger that never blocks its callers. Its
// limit is a token bucket of bytes a second. When the bucket runs low, routine
// lines are dropped first, then lines about failures, and lines about changes of
// the process's state last. The logger counts and reports the dropped lines. Lines about
// what a process loses at its end have a reserve, so that a burst of them is kept.
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
	// DefaultBytesPerSecond is the default limit in bytes a second. It holds all
	// lines of some 30 requests a second, three times the usual load of an entry.
	DefaultBytesPerSecond = 32 << 10

	// burstSeconds is the capacity of the token bucket, in seconds of the limit.
	burstSeconds = 4

	// maxQueued is the maximum number of lines that wait to be written: those of a few
	// seconds.
	maxQueued = 1024

	// FlushTimeout is how long a process should wait at its end until its last lines are
	// written. A collector that reads 4 MB a second gets the whole reserve in that time.
	FlushTimeout = 300 * time.Millisecond

	// reserveBytes is the size of the reserve in a process's life. It holds the lines of more
	// than 1,024 requests, as many as an entry forwards at once.
	reserveBytes = 1 << 20

	// maxReservedLine is the size of a line, in bytes, up to which it may use the reserve.
	maxReservedLine = 1 << 10

	// maxBatch is how many bytes of waiting lines are written at once.
	maxBatch = 32 << 10

	// reportInterval is how often dropped lines are reported.
	reportInterval = time.Second

	// estimatedLineBytes is the size that is taken from the bucket before a line is
	// formatted, so that dropped lines cost next to nothing.
	estimatedLineBytes = 200
)

// The classes of lines. See minRemaining.
const (
	routine lineClass = iota
	failure
	stateChange
)

// minRemaining is the share of the bucket's capacity that has to remain after a line of
// each class, so that less important lines are dropped first.
var minRemaining = [...]float64{routine: 0.5, failure: 0.2, stateChange: 0}

type (
	lineClass int

	// Reserved is the message of a line that is taken from the reserve while that lasts: it
	// needs no room in the bucket and waits before other lines.
	Reserved string

	// Logger is a rate-limited log.Logger. Lines at debug level are routine, those at
	// warn and error level are failures, and all others are changes of state.
	Logger struct {
		clock          clock.Clock
		bytesPerSecond float64
		lines          chan []byte
		wake           chan struct{} // reserved lines wait
		done           chan struct{}

		mu          sync.Mutex
		available   float64
		refilledAt  time.Time
		reserveLeft int      // bytes
		reserved    [][]byte // lines that wait to be written, before all others
		dropped     map[string]int
	}
)

// New returns a logger that writes to w until the context ends. Lines are dropped
// when w is too slow.
func New(ctx context.Context, w io.Writer, c clock.Clock, bytesPerSecond int) *Logger {
	l := &Logger{
		clock: c, bytesPerSecond: float64(bytesPerSecond), lines: make(chan []byte, maxQueued), wake: make(chan struct{}, 1), done: make(chan struct{}),
		reserveLeft: reserveBytes, available: burstSeconds * float64(bytesPerSecond), refilledAt: c.Now(), dropped: make(map[string]int),
	}
	go l.run(ctx, w)
	return l
}

// Log queues a line or drops it. It never blocks and always returns nil.
func (l *Logger) Log(keyvals ...any) error {
	if l.logReserved(keyvals) {
		return nil
	}
	if !l.takeTokens(classOf(keyvals)) {
		l.countDropped(keyvals)
		return nil
	}
	var b bytes.Buffer
	if err := log.NewLogfmtLogger(&b).Log(keyvals...); err != nil {
		l.countDropped(keyvals)
		return nil //nolint:nilerr // Log returns no error; the line is counted as dropped
	}
	l.charge(b.Len() - estimatedLineBytes)
	select {
	case l.lines <- b.Bytes():
	default:
		l.countDropped(keyvals)
	}
	return nil
}

// logReserved queues a line whose message is Reserved, and reports whether the reserve had room
// for it.
func (l *Logger) logReserved(keyvals []any) bool {
	if _, ok := valueOf(keyvals, "msg").(Reserved); !ok {
		return false
	}
	var b bytes.Buffer
	if err := log.NewLogfmtLogger(&b).Log(keyvals...); err != nil || b.Len() > maxReservedLine {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if b.Len() > l.reserveLeft {
		return false
	}
	l.reserveLeft -= b.Len()
	l.reserved = append(l.reserved, b.Bytes())
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return true
}

// Wait is called when the logger's context has ended. It returns once all queued
// lines are written, or after the timeout.
func (l *Logger) Wait(timeout time.Duration) {
	select {
	case <-l.done:
	case <-l.clock.After(timeout):
	}
}

func (l *Logger) run(ctx context.Context, w io.Writer) {
	defer close(l.done)
	reportTimer := l.clock.NewTimer(reportInterval)
	defer reportTimer.Stop()
	for {
		select {
		case <-l.wake:
			l.writeReserved(w)
		case line := <-l.lines:
			w.Write(line) //nolint:errcheck // a failed log write cannot be reported anywhere
		case <-reportTimer.Chan():
			l.reportDropped(w)
			reportTimer.Reset(reportInterval)
		case <-ctx.Done():
			l.flush(w)
			return
		}
	}
}

// flush writes all lines that wait, those of the reserve first.
func (l *Logger) flush(w io.Writer) {
	l.writeReserved(w)
	l.reportDropped(w)
	var lines [][]byte
	for len(l.lines) > 0 {
		lines = append(lines, <-l.lines)
	}
	writeBatches(w, lines)
	l.writeReserved(w)
	l.reportDropped(w)
}

func (l *Logger) writeReserved(w io.Writer) {
	l.mu.Lock()
	lines := l.reserved
	l.reserved = nil
	l.mu.Unlock()
	writeBatches(w, lines)
}

// writeBatches writes lines with few calls, as each may take a slow reader's time.
func writeBatches(w io.Writer, lines [][]byte) {
	var batch []byte
	for i, line := range lines {
		batch = append(batch, line...)
		if len(batch) >= maxBatch || i == len(lines)-1 {
			w.Write(batch) //nolint:errcheck // see run
			batch = batch[:0]
		}
	}
}

// reportDropped writes a line with the number of lines dropped since the last report, by
// message.
func (l *Logger) reportDropped(w io.Writer) {
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

// takeTokens refills the bucket and takes the estimated size of a line from it. It
// reports false when too little is left for the class.
func (l *Logger) takeTokens(c lineClass) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.available = min(l.available+now.Sub(l.refilledAt).Seconds()*l.bytesPerSecond, burstSeconds*l.bytesPerSecond)
	l.refilledAt = now
	if l.available-estimatedLineBytes < minRemaining[c]*burstSeconds*l.bytesPerSecond {
		return false
	}
	l.available -= estimatedLineBytes
	return true
}

func (l *Logger) charge(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.available -= float64(n)
}

func (l *Logger) countDropped(keyvals []any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropped[messageOf(keyvals)]++
}

func classOf(keyvals []any) lineClass {
	switch valueOf(keyvals, level.Key()) {
	case level.DebugValue():
		return routine
	case level.WarnValue(), level.ErrorValue():
		return failure
	}
	return stateChange
}

func messageOf(keyvals []any) string {
	switch text := valueOf(keyvals, "msg").(type) {
	case string:
		return text
	case Reserved:
		return string(text)
	}
	return "unnamed"
}

// valueOf returns the value of a key, nil if there is none.
func valueOf(keyvals []any, key any) any {
	for i := 0; i+1 < len(keyvals); i += 2 {
		if keyvals[i] == key {
			return keyvals[i+1]
		}
	}
	return nil
}
