// Package httpd runs an HTTP server until a context ends.
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

	// idleTimeout ends connections that nobody uses; callers that keep one for
	// longer open a new one.
	idleTimeout = 60 * time.Second

	// closeTimeout bounds the wait for open requests once the context ended.
	closeTimeout = 5 * time.Second
)

// Listen opens a TCP listener; port 0 leaves the choice to the kernel.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", address)
	return l, errors.Annotatef(err, "listen on %s", address)
}

// Serve serves on the listener until the context ends, then lets open
// requests end for a short time.
func Serve(ctx context.Context, l net.Listener, h http.Handler) error {
	return ServeFor(ctx, l, h, Times{Longest: func() time.Duration { return closeTimeout }})
}

// Times are bounds that may change while a server runs. Longest is the time
// that open requests are given when the context has ended; Idle is how long a
// connection may be without a request, zero for no bound of its own.
type Times struct {
	Longest func() time.Duration
	Idle    func() time.Duration
}

// ServeFor is Serve with bounds of its own.
func ServeFor(ctx context.Context, l net.Listener, h http.Handler, t Times) error {
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	if t.Idle != nil {
		server.ConnState = newIdleCloser(t.Idle).changed
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(l) }()
	select {
	case err := <-failed:
		return errors.Trace(err)
	case <-ctx.Done():
	}
	closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), t.Longest())
	defer cancel()
	if server.Shutdown(closing) != nil {
		return errors.Trace(server.Close())
	}
	return nil
}
