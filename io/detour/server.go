package detour

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"

	"rosereach/io/upstream"
)

const (
	copyBufferBytes = 8 << 10

	// lingerTime bounds the wait for the dialing side to close after the server did.
	lingerTime = 3 * time.Second

	// acceptPause is the pause after a connection that could not be accepted, for want of a
	// descriptor for example.
	acceptPause = 50 * time.Millisecond
)

// Server passes connections of other instances on to backend servers.
type Server struct {
	// Key is the member key.
	Key string
	// Take takes the room of a connection, and reports whether there was any. Release gives
	// it back when the connection has ended.
	Take    func() bool
	Release func()
	// Connect opens a connection to a server, or returns why not. It takes no detour.
	Connect func(ctx context.Context, t Target) (net.Conn, Status)
}

// Serve accepts connections until the context ends, and then closes all of them. A connection with
// a method Establish() gets it called when the other side has proved the member key.
func (s Server) Serve(ctx context.Context, l net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { l.Close() }) //nolint:errcheck // Accept fails then
	defer stop()
	var running sync.WaitGroup
	defer running.Wait()
	for {
		conn, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return errors.Annotate(err, "accept detours")
		}
		if err != nil {
			pause(ctx, acceptPause)
			continue
		}
		running.Go(func() { s.serve(ctx, conn) })
	}
}

// pause waits for the given time or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (s Server) serve(ctx context.Context, conn net.Conn) {
	defer conn.Close()                                     //nolint:errcheck // the connection is not used again
	stop := context.AfterFunc(ctx, func() { reset(conn) }) // an answer may be cut
	defer stop()
	upstream.LimitUnacked(conn)
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return // a peer that never ends the handshake would stay
	}
	t, err := answer(conn, s.Key)
	if err != nil {
		return
	}
	if c, ok := conn.(interface{ Establish() }); ok {
		c.Establish()
	}
	status, server := Busy, net.Conn(nil)
	if s.Take() {
		defer s.Release()
		server, status = s.Connect(ctx, t)
	}
	if server != nil {
		defer server.Close() //nolint:errcheck // see above
	}
	if _, err := conn.Write([]byte{byte(status)}); err != nil || status != Connected {
		return
	}
	conn.SetDeadline(time.Time{}) //nolint:errcheck // a deadline that stays closes the connection, which is safe
	splice(ctx, conn, server)
}

// splice passes bytes both ways until either side ends. The end of the dialing side ends the
// server's connection at once: its caller has left. A clean end of the server is passed on as
// one, a broken one as a reset, so that no answer that was cut off looks complete.
func splice(ctx context.Context, dialing, server net.Conn) {
	stop := context.AfterFunc(ctx, func() { server.Close() }) //nolint:errcheck // the copies end then
	defer stop()
	var toServer sync.WaitGroup
	writer := &watchedWriter{w: server}
	toServer.Go(func() {
		if err := copyAll(writer, dialing); err != nil {
			reset(server)
		}
		server.Close() //nolint:errcheck // see splice
	})
	defer toServer.Wait()
	if err := copyAll(dialing, server); err != nil || writer.hasFailed() {
		reset(dialing)
		return
	}
	if c, ok := dialing.(interface{ CloseWrite() error }); ok {
		c.CloseWrite()                                      //nolint:errcheck // the other side has gone
		dialing.SetReadDeadline(time.Now().Add(lingerTime)) //nolint:errcheck // see above
	}
}

// watchedWriter remembers whether a write failed. The kernel reports the reset of a
// connection once: if a write got it, a read returns the same as at a clean end.
type watchedWriter struct {
	w io.Writer

	mu     sync.Mutex
	failed bool
}

func (w *watchedWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, err := w.w.Write(p)
	w.failed = w.failed || err != nil
	return n, err
}

// hasFailed waits for a write in progress, which a connection that has ended does not hold
// up.
func (w *watchedWriter) hasFailed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failed
}

func copyAll(to io.Writer, from io.Reader) error {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return errors.Trace(err)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Trace(err)
		}
	}
}

// reset closes a connection with a reset.
func reset(conn net.Conn) {
	if c, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		c.SetLinger(0) //nolint:errcheck // it is closed in any case
	}
	conn.Close() //nolint:errcheck // see above
}
