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
	// defaultHeaderTimeout and defaultHeaderBytes limit the head of a request where nothing else
	// is configured.
	defaultHeaderTimeout = 5 * time.Second
	defaultHeaderBytes   = 64 << 10

	// idleTimeout closes connections without requests. A caller whose connection
	// was closed opens a new one.
	idleTimeout = 60 * time.Second

	// shutdownTimeout limits the wait for open requests after the context ended.
	shutdownTimeout = 5 * time.Second
)

type (
	// Timeouts are the timeouts of a server. They are functions because a timeout may
	// change while the server runs. One that is nil or returns zero stands for the default.
	Timeouts struct {
		// Shutdown returns how long open requests may take after the context ended.
		Shutdown func() time.Duration
		// Header returns how long the head of a request may take from its first byte on, by
		// default defaultHeaderTimeout.
		Header func() time.Duration
		// Idle returns how long a connection may be without a request. By default, only
		// idleTimeout applies.
		Idle func() time.Duration
	}

	// Server serves HTTP to clients that need not behave.
	Server struct {
		Handler  http.Handler
		Timeouts Timeouts
		// MaxHeaderBytes returns how large the head of a request may be. It is
		// defaultHeaderBytes if it is nil or returns zero.
		MaxHeaderBytes func() int
	}
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

// ServeWithTimeouts is Serve with the given timeouts.
func ServeWithTimeouts(ctx context.Context, l net.Listener, h http.Handler, t Timeouts) error {
	return Server{Handler: h, Timeouts: t}.Serve(ctx, l)
}

// Serve serves on the listener until the context ends, then gives open requests time to complete.
func (s Server) Serve(ctx context.Context, l net.Listener) error {
	open := newConns(s)
	// The connections limit the time of a head themselves, as the limit may change.
	server := &http.Server{Handler: serveBodies(s.Handler), ConnState: open.onStateChange, IdleTimeout: idleTimeout} //nolint:gosec // see above
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(trackedListener{l, s}) }()
	select {
	case err := <-failed:
		return errors.Trace(err)
	case <-ctx.Done():
	}
	l.Close() //nolint:errcheck // no request is lost if it fails
	open.drain(s.Timeouts.Shutdown())
	open.resetOnClose()
	if err := server.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return errors.Trace(err)
	}
	return nil
}

func (s Server) headerTimeout() time.Duration {
	return valueOf(s.Timeouts.Header, defaultHeaderTimeout)
}

func (s Server) maxHeaderBytes() int { return valueOf(s.MaxHeaderBytes, defaultHeaderBytes) }

// idleTimeout returns how long a connection may wait for a request, 0 for no limit.
func (s Server) idleTimeout() time.Duration { return valueOf(s.Timeouts.Idle, 0) }

// valueOf returns what f returns, or the default if f is nil or returns zero.
func valueOf[T comparable](f func() T, byDefault T) T {
	var zero T
	if f == nil {
		return byDefault
	}
	if v := f(); v != zero {
		return v
	}
	return byDefault
}
