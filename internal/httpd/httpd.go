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
	return ServeFor(ctx, l, h, func() time.Duration { return closeTimeout })
}

// ServeFor is Serve with the time that open requests are given, asked for when
// the context ends.
func ServeFor(ctx context.Context, l net.Listener, h http.Handler, longest func() time.Duration) error {
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(l) }()
	select {
	case err := <-failed:
		return errors.Trace(err)
	case <-ctx.Done():
	}
	closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), longest())
	defer cancel()
	if server.Shutdown(closing) != nil {
		return errors.Trace(server.Close())
	}
	return nil
}
