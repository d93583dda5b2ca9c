// Package httpd runs HTTP servers that shut down gracefully when a context ends,
// and loads TLS certificates for them and for clients.
package httpd

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/juju/clock"
	"github.com/juju/errors"

	"rosereach/core/overload"
)

const (
	// defaultHeaderTimeout and defaultHeaderBytes limit the head of a request where nothing else
	// is configured.
	defaultHeaderTimeout = 5 * time.Second
	defaultHeaderBytes   = 64 << 10

	// defaultWriteTimeout ends an answer of which the client takes nothing. Other than a slow
	// reader, it has stopped reading.
	defaultWriteTimeout = 30 * time.Second

	// idleTimeout closes connections without requests. A caller whose connection
	// was closed opens a new one.
	idleTimeout = 60 * time.Second

	// defaultBodyCost is the memory for a byte of a body that is read as a whole and decoded.
	defaultBodyCost = 4

	// shutdownTimeout limits the wait for open requests after the context ended.
	shutdownTimeout = 5 * time.Second

	// defaultEndTimeout limits the wait for handlers whose requests are over.
	defaultEndTimeout = 150 * time.Millisecond
)

// ErrStopped is the cause of the end of a request's context when the time of a stop is over.
const ErrStopped = errors.ConstError("the server has stopped")

type (
	// Timeouts are the timeouts of a server. They are functions because a timeout may
	// change while the server runs. One that is nil, or but for Shutdown returns zero, stands
	// for the default.
	Timeouts struct {
		// Shutdown returns how long open requests may take after the context ended, by default
		// shutdownTimeout.
		Shutdown func() time.Duration
		// End returns how long handlers may take to return when their requests are ended after
		// Shutdown, and again when their connections are, by default defaultEndTimeout.
		End func() time.Duration
		// Header returns how long the head of a request may take from its first byte on, by
		// default defaultHeaderTimeout.
		Header func() time.Duration
		// Write returns how long a client may take nothing of an answer, by default
		// defaultWriteTimeout.
		Write func() time.Duration
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
		// BodyCost is the memory that a byte of a body takes while its request is handled,
		// defaultBodyCost if it is 0.
		BodyCost int64
		// Guard is shared by the servers of a process. A server without one has its own, with
		// the limits of an instance that is not known.
		Guard *Guard
		// Clock measures the stop, by default the wall clock.
		Clock clock.Clock
		// AnswerLost, if not nil, is called for each answer that its handler has finished and its
		// client did not get to its end.
		AnswerLost func(LostAnswer)
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
	return ServeGuarded(ctx, l, h, nil)
}

// ServeGuarded is Serve with a guard that the servers of the process share.
func ServeGuarded(ctx context.Context, l net.Listener, h http.Handler, g *Guard) error {
	return Server{Handler: h, Guard: g}.Serve(ctx, l)
}

// ServeWithTimeouts is Serve with the given timeouts.
func ServeWithTimeouts(ctx context.Context, l net.Listener, h http.Handler, t Timeouts) error {
	return Server{Handler: h, Timeouts: t}.Serve(ctx, l)
}

// Serve serves on the listener until the context ends, then gives open requests time to complete.
// Those that have not are ended: their contexts end with the cause ErrStopped and their bodies with
// an *overload.Refusal, so that handlers can still answer. A connection whose handler does not return
// is reset. Serve returns when all handlers of connections that are not hijacked have, and at the latest
// when Timeouts.Shutdown and twice Timeouts.End have passed since the context ended.
func (s Server) Serve(ctx context.Context, l net.Listener) error {
	guard := s.Guard
	if guard == nil {
		guard = NewGuard(overload.LimitsFor(0, 0), clock.WallClock, log.NewNopLogger())
	}
	open := newConns(s)
	// The connections limit the time of a head themselves, as the limit may change.
	server := &http.Server{ //nolint:gosec // see above
		Handler: s.serveRequests(), ConnState: open.onStateChange, ConnContext: withConn, IdleTimeout: idleTimeout, ErrorLog: guard.errorLog(),
		BaseContext: func(net.Listener) context.Context { return context.WithoutCancel(ctx) },
	}
	failed := make(chan error, 1)
	closes := &closingTime{}
	go func() {
		failed <- server.Serve(&trackedListener{Listener: l, server: s, guard: guard, ended: ctx.Done(), closes: closes})
	}()
	select {
	case err := <-failed:
		return errors.Trace(err)
	case <-ctx.Done():
	}
	// These times bound all of what follows, so that no part of it adds to them.
	shutdown, end := s.shutdownTimeout(), s.endTimeout()
	closes.begin(shutdown, end)
	exits := s.clock().Now().Add(shutdown)
	stopAccepting(l)
	<-failed  //nolint:errcheck // it accepts no more
	l.Close() //nolint:errcheck // no request is lost if it fails
	open.drain()
	if !open.await(exits) {
		open.endRequests()
		open.finish()
		if !open.await(exits.Add(end)) {
			open.resetRunning()
		}
	}
	if err := server.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return errors.Trace(err)
	}
	open.await(exits.Add(2 * end))
	return nil
}

func (s Server) shutdownTimeout() time.Duration {
	if s.Timeouts.Shutdown == nil {
		return shutdownTimeout
	}
	return s.Timeouts.Shutdown()
}

func (s Server) endTimeout() time.Duration { return valueOf(s.Timeouts.End, defaultEndTimeout) }

func (s Server) clock() clock.Clock {
	if s.Clock == nil {
		return clock.WallClock
	}
	return s.Clock
}

func (s Server) headerTimeout() time.Duration {
	return valueOf(s.Timeouts.Header, defaultHeaderTimeout)
}

func (s Server) writeTimeout() time.Duration {
	return valueOf(s.Timeouts.Write, defaultWriteTimeout)
}

func (s Server) maxHeaderBytes() int { return valueOf(s.MaxHeaderBytes, defaultHeaderBytes) }

func (s Server) bodyCost() int64 { return cmp.Or(s.BodyCost, defaultBodyCost) }

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
