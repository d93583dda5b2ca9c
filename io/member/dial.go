package member

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/coder/websocket"
	"github.com/juju/errors"

	"rosereach/io/bounded"
)

const (
	// Path is the HTTP path on which a control accepts members.
	Path = "/v1/member"

	// dialTimeout bounds connecting and the handshake.
	dialTimeout = time.Second

	// connectTimeout bounds the TCP connection. It allows for several round trips
	// between regions.
	connectTimeout = 300 * time.Millisecond

	// connectInterval is the time after which a further connection is attempted
	// beside those that are not answered yet. The kernel retransmits a lost SYN only
	// after a second, while a machine that has just started may be reachable long
	// before.
	connectInterval = 75 * time.Millisecond

	// Messages of at least compressionThreshold bytes, such as documents and log
	// entries, are compressed, because bandwidth between regions is low and billed. For
	// small ones the saving is not worth the processor time.
	compression          = websocket.CompressionNoContextTakeover
	compressionThreshold = 1024

	// pingInterval and pingTimeout detect a connection that fails without a reset
	// within three seconds, including a round trip between regions.
	pingInterval = 1500 * time.Millisecond
	pingTimeout  = 1500 * time.Millisecond
)

// Dial connects to the member at address, host:port, and handles its messages in
// the background until the context ends. Both sides must have the same key.
func Dial(ctx context.Context, address, key string, self Peer, h Handler) (*Conn, error) {
	return DialTLS(ctx, address, key, self, h, nil)
}

// DialTLS is like Dial, but over TLS unless the configuration is nil.
func DialTLS(ctx context.Context, address, key string, self Peer, h Handler, tlsConfig *tls.Config) (*Conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	target := "ws://" + address + Path
	if tlsConfig != nil {
		target = "wss://" + address + Path
	}
	opts := &websocket.DialOptions{CompressionMode: compression, CompressionThreshold: compressionThreshold, HTTPClient: &http.Client{
		Transport: bounded.Transport(&http.Transport{TLSClientConfig: tlsConfig, DialContext: connectStaggered, DisableKeepAlives: true}),
	}}
	ws, resp, err := websocket.Dial(dialCtx, target, opts)
	if resp != nil && resp.Body != nil {
		defer resp.Body.Close()
	}
	if err != nil {
		return nil, errors.Annotatef(err, "member at %s", address)
	}
	peer, err := dialHandshake(dialCtx, ws, key, self)
	if err != nil {
		ws.CloseNow() //nolint:errcheck // the connection has failed already
		return nil, errors.Annotatef(err, "member at %s", address)
	}
	c := newConn(peer, ws, h)
	go c.Run(ctx) //nolint:errcheck // calls on the connection fail when it ends
	go c.keepAlive(ctx)
	return c, nil
}

// connectStaggered opens a TCP connection. It starts a further attempt after each
// connectInterval; the first that succeeds counts.
func connectStaggered(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	type result struct {
		conn net.Conn
		err  error
	}
	const attempts = int(connectTimeout / connectInterval)
	results := make(chan result, attempts)
	started, ended := 0, 0
	start := func() {
		started++
		go func() {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			results <- result{conn, err}
		}()
	}
	// Connections that are established after the first are closed.
	defer func() {
		go func() {
			for ; ended < started; ended++ {
				if r := <-results; r.conn != nil {
					r.conn.Close() //nolint:errcheck // nothing was sent on it
				}
			}
		}()
	}()
	next := time.NewTicker(connectInterval)
	defer next.Stop()
	for start(); ; {
		select {
		case r := <-results:
			ended++
			if r.err == nil || ended == started {
				return r.conn, r.err
			}
		case <-next.C:
			if started < attempts {
				start()
			}
		}
	}
}

// Accept accepts a connection that a member opened and serves it until it ends.
// It calls onJoin with the request's context after the handshake, and the function
// that onJoin returns when the connection has ended.
func Accept(w http.ResponseWriter, r *http.Request, key string, self Peer, h Handler, onJoin func(context.Context, *Conn) func()) {
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: compression, CompressionThreshold: compressionThreshold})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), dialTimeout)
	defer cancel()
	peer, err := acceptHandshake(ctx, ws, key, self)
	if err != nil {
		ws.Close(websocket.StatusPolicyViolation, "the member key is not proved") //nolint:errcheck // the peer may have gone
		return
	}
	c := newConn(peer, ws, h)
	onLeave := onJoin(r.Context(), c)
	defer onLeave()
	c.Run(r.Context()) //nolint:errcheck // the connection has ended; the peer dials again
}

// keepAlive closes the connection when the peer does not answer a ping in time.
func (c *Conn) keepAlive(ctx context.Context) {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-c.done:
			return
		case <-ctx.Done():
			return
		}
		pingCtx, cancel := context.WithTimeout(ctx, pingTimeout)
		err := c.ws.Ping(pingCtx)
		cancel()
		if err != nil {
			c.Close()
			return
		}
	}
}
