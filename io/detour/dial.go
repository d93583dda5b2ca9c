package detour

import (
	"context"
	"net"
	"time"

	"github.com/juju/errors"

	"rosereach/io/upstream"
)

// handshakeTimeout bounds the handshake, with the other instance's attempt to connect to the
// server and round trips between regions.
const handshakeTimeout = time.Second

// Dial connects to a server through the instance at the address. The error's cause is
// ErrServerUnreachable if the server fails, and ErrNoDetour or another one if the instance
// can't be used. Nothing was sent to the server then.
func Dial(ctx context.Context, address, key string, t Target) (net.Conn, error) {
	conn, err := upstream.DialOnce(ctx, address)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() }) //nolint:errcheck // the handshake fails then
	defer stop()
	conn.SetDeadline(time.Now().Add(handshakeTimeout)) //nolint:errcheck // without it the handshake ends with the context
	if err := offer(conn, key, t); err != nil {
		conn.Close() //nolint:errcheck // nothing was sent to the server
		return nil, errors.Annotatef(err, "detour by %s", address)
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		conn.Close() //nolint:errcheck // see above
		return nil, errors.Trace(err)
	}
	return conn, nil
}
