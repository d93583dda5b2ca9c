// Package httpd runs HTTP servers that shut down gracefully when a context ends,
// and loads TLS certificates for them and for clients.
package httpd

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
)

const (
	headerTimeout = 5 * time.Second

	// idleTimeout closes connections without requests. A caller whose connection
	// was closed opens a new one.
	idleTimeout = 60 * time.Second

	// shutdownTimeout limits the wait for open requests after the context ended.
	shutdownTimeout = 5 * time.Second
)

// Listen opens a TCP listener. With port 0 the kernel chooses a free port.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", address)
	return l, errors.Annotatef(err, "listen on %s", address)
}

// Serve serves on the listener until the context ends, then gives open requests
// up to shutdownTimeout to complete.
func Serve(ctx context.Context, l net.Listener, h http.Handler) error {
	return ServeWithTimeouts(ctx, l, h, Timeouts{Shutdown: func() time.Duration { return shutdownTimeout }})
}

// Timeouts are the timeouts of a server. They are functions because a timeout may
// change while the server runs.
type Timeouts struct {
	// Shutdown returns how long open requests may take after the context ended.
	Shutdown func() time.Duration
	// Idle returns how long a connection may be without a request. When it is nil
	// or returns zero, only idleTimeout applies.
	Idle func() time.Duration
}

// ServeWithTimeouts is Serve with the given timeouts.
func ServeWithTimeouts(ctx context.Context, l net.Listener, h http.Handler, t Timeouts) error {
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	open := newConns(t.Idle)
	server.ConnState = open.onStateChange
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(trackedListener{l}) }()
	select {
	case err := <-failed:
		return errors.Trace(err)
	case <-ctx.Done():
	}
	l.Close() //nolint:errcheck // no request is lost if it fails
	open.drain(t.Shutdown())
	open.resetOnClose()
	if err := server.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return errors.Trace(err)
	}
	return nil
}
