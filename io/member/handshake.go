package member

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

const (
	nonceBytes = 32

	// maxGreetingBytes is the maximum message size before a peer is authenticated.
	maxGreetingBytes = 4 << 10

	// The proof includes the side that computed it, so that a peer's proof cannot
	// be reflected to it.
	dialingSide   = "rosereach member dials"
	acceptingSide = "rosereach member accepts"
)

// ErrWrongKey is the cause when a peer does not have the same member key.
const ErrWrongKey = errors.ConstError("the peer does not hold the member key: give all controls and entries the same --member-key")

// greeting is one message of the handshake, in which both sides prove that they
// have the member key without sending it. The dialing side sends its nonce,
// receives the accepting side's nonce and proof, and sends its own proof.
type greeting struct {
	Peer  Peer   `json:"peer"`
	Nonce []byte `json:"nonce,omitempty"`
	Proof []byte `json:"proof,omitempty"`
}

// greet performs the dialing side of the handshake.
func greet(ctx context.Context, ws *websocket.Conn, key string, self Peer) (Peer, error) {
	ws.SetReadLimit(maxGreetingBytes)
	local := greeting{Peer: self, Nonce: newNonce()}
	if err := writeGreeting(ctx, ws, local); err != nil {
		return Peer{}, err
	}
	remote, err := readGreeting(ctx, ws)
	if err != nil {
		return Peer{}, err
	}
	if !hmac.Equal(remote.Proof, proofOf(key, acceptingSide, local, remote)) {
		return Peer{}, errors.Trace(ErrWrongKey)
	}
	return remote.Peer, writeGreeting(ctx, ws, greeting{Proof: proofOf(key, dialingSide, local, remote)})
}

// welcome performs the accepting side of the handshake.
func welcome(ctx context.Context, ws *websocket.Conn, key string, self Peer) (Peer, error) {
	ws.SetReadLimit(maxGreetingBytes)
	remote, err := readGreeting(ctx, ws)
	if err != nil {
		return Peer{}, err
	}
	local := greeting{Peer: self, Nonce: newNonce()}
	local.Proof = proofOf(key, acceptingSide, remote, local)
	if err := writeGreeting(ctx, ws, local); err != nil {
		return Peer{}, err
	}
	final, err := readGreeting(ctx, ws)
	if err != nil {
		return Peer{}, err
	}
	if !hmac.Equal(final.Proof, proofOf(key, dialingSide, remote, local)) {
		return Peer{}, errors.Trace(ErrWrongKey)
	}
	return remote.Peer, nil
}

// proofOf returns the HMAC of the side, both nonces and both peer IDs.
func proofOf(key, side string, dialing, accepting greeting) []byte {
	h := hmac.New(sha256.New, []byte(key))
	for _, part := range [][]byte{[]byte(side), dialing.Nonce, accepting.Nonce, []byte(dialing.Peer.ID), []byte(accepting.Peer.ID)} {
		sum := sha256.Sum256(part)
		h.Write(sum[:]) //nolint:errcheck // it never fails
	}
	return h.Sum(nil)
}

func writeGreeting(ctx context.Context, ws *websocket.Conn, g greeting) error {
	data, err := cbor.Marshal(g)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(ws.Write(ctx, websocket.MessageBinary, data))
}

// readGreeting reads a handshake message. It returns ErrWrongKey if the peer
// closed the connection because the key was not proved to it.
func readGreeting(ctx context.Context, ws *websocket.Conn) (greeting, error) {
	var g greeting
	_, data, err := ws.Read(ctx)
	if websocket.CloseStatus(err) == websocket.StatusPolicyViolation {
		return g, errors.Trace(ErrWrongKey)
	}
	if err != nil {
		return g, errors.Trace(err)
	}
	return g, errors.Trace(cbor.Unmarshal(data, &g))
}

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	rand.Read(nonce) //nolint:errcheck // it never fails
	return nonce
}
