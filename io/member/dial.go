package member

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/coder/websocket"
	"github.com/juju/errors"
)

const (
	// Path is where a control listens for members.
	Path = "/v1/member"

	// dialTimeout bounds connecting and proving the key.
	dialTimeout = time.Second

	// connectTimeout bounds opening the connection: several round trips between
	// regions. The kernel would repeat a lost opening packet only after a
	// second, when a machine that has just started is long there.
	connectTimeout = 300 * time.Millisecond

	// Large messages, which are documents and log entries, are compressed: the
	// link between regions is narrow and billed. Small ones are not worth the
	// time.
	compression  = websocket.CompressionNoContextTakeover
	compressFrom = 1024

	// pingInterval and pingTimeout find connections that went silent without a
	// reset within three seconds, a round trip between regions included.
	pingInterval = 1500 * time.Millisecond
	pingTimeout  = 1500 * time.Millisecond
)

// Dial connects to the member at address, host:port, and starts to answer its
// messages until the context ends. Both sides must hold the key.
func Dial(ctx context.Context, address, key string, self Peer, h Handler) (*Conn, error) {
	return DialTLS(ctx, address, key, self, h, nil)
}

// DialTLS is Dial over TLS, unless the settings are nil.
func DialTLS(ctx context.Context, address, key string, self Peer, h Handler, security *tls.Config) (*Conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	target := "ws://" + address + Path
	if security != nil {
		target = "wss://" + address + Path
	}
	connect := (&net.Dialer{Timeout: connectTimeout}).DialContext
	opts := &websocket.DialOptions{CompressionMode: compression, CompressionThreshold: compressFrom, HTTPClient: &http.Client{
		Transport: &http.Transport{TLSClientConfig: security, DialContext: connect, DisableKeepAlives: true},
	}}
	ws, resp, err := websocket.Dial(dialCtx, target, opts)
	if resp != nil && resp.Body != nil {
		defer resp.Body.Close()
	}
	if err != nil {
		return nil, errors.Annotatef(err, "member at %s", address)
	}
	peer, err := greet(dialCtx, ws, key, self)
	if err != nil {
		ws.CloseNow() //nolint:errcheck // the connection has failed already
		return nil, errors.Annotatef(err, "member at %s", address)
	}
	c := newConn(peer, ws, h)
	go c.Run(ctx) //nolint:errcheck // the end of the connection is seen by its calls
	go c.keepAlive(ctx)
	return c, nil
}

// Accept answers a member's dial and serves the connection until it ends.
// Joined is called once the peer has proved the key, and its result when the
// connection ends.
func Accept(w http.ResponseWriter, r *http.Request, key string, self Peer, h Handler, joined func(*Conn) func()) {
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: compression, CompressionThreshold: compressFrom})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), dialTimeout)
	defer cancel()
	peer, err := welcome(ctx, ws, key, self)
	if err != nil {
		ws.Close(websocket.StatusPolicyViolation, "the member key is not proved") //nolint:errcheck // the peer may have gone
		return
	}
	c := newConn(peer, ws, h)
	left := joined(c)
	defer left()
	c.Run(r.Context()) //nolint:errcheck // the peer is gone; it dials again
}

// keepAlive ends the connection when its peer answers no ping.
func (c *Conn) keepAlive(ctx context.Context) {
	tick := time.NewTicker(pingInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-c.done:
			return
		case <-ctx.Done():
			return
		}
		pinging, cancel := context.WithTimeout(ctx, pingTimeout)
		err := c.ws.Ping(pinging)
		cancel()
		if err != nil {
			c.Close()
			return
		}
	}
}
