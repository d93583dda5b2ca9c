package member

import (
	"context"
	"crypto/subtle"
	"crypto/tls"
	"net/http"
	"time"

	"github.com/coder/websocket"
	"github.com/juju/errors"
)

const (
	// Path is where a control listens for members.
	Path = "/v1/member"

	headerID     = "X-Member-Id"
	headerRegion = "X-Member-Region"
	headerZone   = "X-Member-Zone"

	dialTimeout = 3 * time.Second
)

// Dial connects to the member at address, host:port, and starts to answer its
// messages until the context ends.
func Dial(ctx context.Context, address, key string, self Peer, h Handler) (*Conn, error) {
	return DialTLS(ctx, address, key, self, h, nil)
}

// DialTLS is Dial over TLS, unless the settings are nil.
func DialTLS(ctx context.Context, address, key string, self Peer, h Handler, security *tls.Config) (*Conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	header := http.Header{}
	header.Set("Authorization", "Bearer "+key)
	header.Set(headerID, self.ID)
	header.Set(headerRegion, self.Region)
	header.Set(headerZone, self.Zone)
	opts := &websocket.DialOptions{HTTPHeader: header}
	target := "ws://" + address + Path
	if security != nil {
		target = "wss://" + address + Path
		opts.HTTPClient = &http.Client{Transport: &http.Transport{TLSClientConfig: security}}
	}
	ws, resp, err := websocket.Dial(dialCtx, target, opts)
	if resp != nil && resp.Body != nil {
		defer resp.Body.Close()
	}
	if err != nil {
		return nil, errors.Annotatef(err, "member at %s", address)
	}
	c := newConn(Peer{ID: address}, ws, h)
	go c.Run(ctx) //nolint:errcheck // the end of the connection is seen by its calls
	return c, nil
}

// Accept answers a member's dial and serves the connection until it ends.
// Joined is called once the connection stands, and its result when it ends.
func Accept(w http.ResponseWriter, r *http.Request, key string, h Handler, joined func(*Conn) func()) {
	given := r.Header.Get("Authorization")
	if subtle.ConstantTimeCompare([]byte(given), []byte("Bearer "+key)) != 1 {
		http.Error(w, "wrong member key", http.StatusUnauthorized)
		return
	}
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	c := newConn(Peer{
		ID: r.Header.Get(headerID), Region: r.Header.Get(headerRegion), Zone: r.Header.Get(headerZone),
	}, ws, h)
	left := joined(c)
	defer left()
	c.Run(r.Context()) //nolint:errcheck // the peer is gone; it dials again
}
