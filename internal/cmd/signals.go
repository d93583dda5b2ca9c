package cmd

import (
	"context"
	"os/signal"
	"syscall"
)

// withServerSignals prepares a process that serves for signals that would end it at once: a write to
// a standard output that nobody reads any more fails, and no more.
func withServerSignals() { signal.Ignore(syscall.SIGPIPE) }

// stopAtHangup returns a context that also ends at SIGHUP, unless the process was started to ignore
// it.
func stopAtHangup(ctx context.Context) (context.Context, context.CancelFunc) {
	if signal.Ignored(syscall.SIGHUP) {
		return context.WithCancel(ctx)
	}
	return signal.NotifyContext(ctx, syscall.SIGHUP)
}
