package member

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"github.com/coder/websocket"
	"github.com/juju/errors"

	"rosereach/core/encoding"
)

const (
	nonceBytes = 32

	// maxHandshakeBytes is the maximum message size before a peer is authenticated.
	maxHandshakeBytes = 4 << 10

	// The proof includes the side that computed it, so that a peer's proof cannot
	// be reflected to it.
	dialingSide   = "rosereach member dials"
	acceptingSide = "rosereach member accepts"
)

// ErrWrongKey is the cause when a peer does not have the same member key.
const ErrWrongKey = errors.ConstError("the peer does not hold the member key: give all controls and entries the same --member-key")

// handshakeMessage is one message of the handshake, in which both sides prove that they
// have the member key without sending it. The dialing side sends its nonce,
// receives the accepting side's nonce and proof, and sends its own proof.
type handshakeMessage struct {
	Peer  Peer   `json:"peer"`
	Nonce []byte `json:"nonce,omitempty"`
	Proof []byte `json:"proof,omitempty"`
}

// dialHandshake performs the dialing side of the handshake.
func dialHandshake(ctx context.Context, ws *websocket.Conn, key string, self Peer) (Peer, error) {
	ws.SetReadLimit(maxHandshakeBytes)
	local := handshakeMessage{Peer: self, Nonce: newNonce()}
	if err := writeHandshake(ctx, ws, local); err != nil {
		return Peer{}, err
	}
	remote, err := readHandshake(ctx, ws)
	if err != nil {
		return Peer{}, err
	}
	if !hmac.Equal(remote.Proof, computeProof(key, acceptingSide, local, remote)) {
		return Peer{}, errors.Trace(ErrWrongKey)
	}
	return remote.Peer, writeHandshake(ctx, ws, handshakeMessage{Proof: computeProof(key, dialingSide, local, remote)})
}

// acceptHandshake performs the accepting side of the handshake.
func acceptHandshake(ctx context.Context, ws *websocket.Conn, key string, self Peer) (Peer, error) {
	ws.SetReadLimit(maxHandshakeBytes)
	remote, err := readHandshake(ctx, ws)
	if err != nil {
		return Peer{}, err
	}
	local := handshakeMessage{Peer: self, Nonce: newNonce()}
	local.Proof = computeProof(key, acceptingSide, remote, local)
	if err := writeHandshake(ctx, ws, local); err != nil {
		return Peer{}, err
	}
	final, err := readHandshake(ctx, ws)
	if err != nil {
		return Peer{}, err
	}
	if !hmac.Equal(final.Proof, computeProof(key, dialingSide, remote, local)) {
		return Peer{}, errors.Trace(ErrWrongKey)
	}
	return remote.Peer, nil
}

// computeProof returns the HMAC of the side, both nonces and both peer IDs.
func computeProof(key, side string, dialing, accepting handshakeMessage) []byte {
	h := hmac.New(sha256.New, []byte(key))
	for _, part := range [][]byte{[]byte(side), dialing.Nonce, accepting.Nonce, []byte(dialing.Peer.ID), []byte(accepting.Peer.ID)} {
		sum := sha256.Sum256(part)
		h.Write(sum[:]) //nolint:errcheck // it never fails
	}
	return h.Sum(nil)
}

func writeHandshake(ctx context.Context, ws *websocket.Conn, m handshakeMessage) error {
	data, err := encoding.Marshal(m)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(ws.Write(ctx, websocket.MessageBinary, data))
}

// readHandshake reads a handshake message. It returns ErrWrongKey if the peer
// closed the connection because the key was not proved to it.
func readHandshake(ctx context.Context, ws *websocket.Conn) (handshakeMessage, error) {
	var m handshakeMessage
	_, data, err := ws.Read(ctx)
	if websocket.CloseStatus(err) == websocket.StatusPolicyViolation {
		return m, errors.Trace(ErrWrongKey)
	}
	if err != nil {
		return m, errors.Trace(err)
	}
	return m, errors.Trace(encoding.Unmarshal(data, &m))
}

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	rand.Read(nonce) //nolint:errcheck // it never fails
	return nonce
}
