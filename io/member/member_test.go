package member

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

// echo replies to every message with its body.
type echo struct{}

func (echo) Handle(_ context.Context, _ *Conn, _ Kind, body cbor.RawMessage) (any, error) {
	return body, nil
}

// listen starts a server that accepts members with the key and sends each one
// that joins to the channel.
func listen(t *testing.T, key string) (string, chan Peer) {
	t.Helper()
	joined := make(chan Peer, 1)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		Accept(w, r, key, Peer{ID: "control-1"}, echo{}, func(_ context.Context, c *Conn) func() {
			joined <- c.Peer()
			return func() {}
		})
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://"), joined
}

// After the handshake both sides have the other's identity, and a call returns
// its reply.
func TestDial(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	address, joined := listen(t, "key")
	c, err := Dial(ctx, address, "key", Peer{ID: "entry-1", Zone: "heredia"}, echo{})
	if err != nil {
		t.Fatal(err)
	}
	if c.Peer().ID != "control-1" {
		t.Errorf("peer %+v", c.Peer())
	}
	if p := <-joined; p.ID != "entry-1" || p.Zone != "heredia" {
		t.Errorf("joined %+v", p)
	}
	var reply string
	if err := c.Call(ctx, KindLease, "hello", &reply); err != nil || reply != "hello" {
		t.Errorf("reply %q, %v", reply, err)
	}
}

// A dialing peer with another key fails with ErrWrongKey and does not join.
func TestDialWithWrongKey(t *testing.T) {
	address, joined := listen(t, "key")
	_, err := Dial(context.Background(), address, "other", Peer{ID: "entry-1"}, echo{})
	if !errors.Is(err, ErrWrongKey) {
		t.Errorf("dialled with error %v", err)
	}
	select {
	case p := <-joined:
		t.Errorf("%+v joined", p)
	case <-time.After(50 * time.Millisecond):
	}
}

// The proofs of the two sides differ, so that a proof cannot be reflected.
func TestProofSides(t *testing.T) {
	a, b := handshakeMessage{Nonce: newNonce()}, handshakeMessage{Nonce: newNonce()}
	if string(computeProof("key", dialingSide, a, b)) == string(computeProof("key", acceptingSide, a, b)) {
		t.Error("both sides compute the same proof")
	}
	if string(computeProof("key", dialingSide, a, b)) == string(computeProof("key", dialingSide, b, a)) {
		t.Error("the proof does not depend on the order of the nonces")
	}
}

// A dialing peer that sends a random proof is rejected. One that sends no proof
// is disconnected after a timeout.
func TestAcceptWithoutProof(t *testing.T) {
	address, joined := listen(t, "key")
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for name, proof := range map[string][]byte{"an invented proof": newNonce(), "no proof": nil} {
		ws, _, err := websocket.Dial(ctx, "ws://"+address+Path, nil) //nolint:bodyclose // the library closes it
		if err != nil {
			t.Fatal(err)
		}
		if err := writeHandshake(ctx, ws, handshakeMessage{Peer: Peer{ID: "entry-1"}, Nonce: newNonce()}); err != nil {
			t.Fatal(err)
		}
		if _, err := readHandshake(ctx, ws); err != nil {
			t.Fatal(err)
		}
		if proof != nil {
			if err := writeHandshake(ctx, ws, handshakeMessage{Proof: proof}); err != nil {
				t.Fatal(err)
			}
		}
		if _, _, err := ws.Read(ctx); err == nil || ctx.Err() != nil {
			t.Errorf("%s: read error %v", name, err)
		}
		ws.CloseNow()
	}
	select {
	case p := <-joined:
		t.Errorf("%+v joined", p)
	default:
	}
}
