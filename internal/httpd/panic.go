package httpd

import (
	"context"
	"fmt"
	stdlog "log"
	"net/http"
	"strings"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"rosereach/internal/logs"
)

const (
	// maxPanicText and maxErrorText are how much of a panic's value and of an error of http.Server,
	// such as the stack of a panic, is logged, in bytes.
	maxPanicText = 256
	maxErrorText = 4 << 10

	// maxNameBytes is how much of a request's name is kept, for as long as its connection is open, and
	// logged.
	maxNameBytes = 128

	// maxReservedPanics bounds the lines of panics that are taken from the log's reserve, which is for
	// the end of the process.
	maxReservedPanics = 64
)

const msgPanic = "Handler panics."

// errorWriter logs what is written to it.
type errorWriter struct{ logger log.Logger }

// Identify tells the connection of the request with the context which request it serves, for the
// log.
func Identify(ctx context.Context, name string) {
	if t, ok := ctx.Value(connKey{}).(*trackedConn); ok {
		t.answer.identify(strings.Clone(prefix(name, maxNameBytes)))
	}
}

// recordPanic logs and counts the panic of a request's handler. http.ErrAbortHandler is none.
func (g *Guard) recordPanic(name string, value any) {
	if value == http.ErrAbortHandler { //nolint:errorlint // as http.Server compares it
		return
	}
	g.mu.Lock()
	g.panics++
	var msg any = msgPanic
	if g.panics <= maxReservedPanics {
		msg = logs.Reserved(msgPanic)
	}
	g.mu.Unlock()
	level.Error(g.logger).Log("msg", msg, "id", name, "err", prefix(fmt.Sprint(value), maxPanicText))
}

// errorLog returns the log for the errors of an http.Server.
func (g *Guard) errorLog() *stdlog.Logger { return stdlog.New(errorWriter{g.logger}, "", 0) }

// Write implements io.Writer.
func (w errorWriter) Write(p []byte) (int, error) {
	level.Warn(w.logger).Log("msg", "HTTP server reports an error.", "err", prefix(string(p), maxErrorText))
	return len(p), nil
}

func prefix(s string, n int) string { return s[:min(n, len(s))] }
