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

	// maxGreetingBytes bounds what is read of a peer that has proved nothing.
	maxGreetingBytes = 4 << 10

	// The sides of a greeting, so that no proof can be sent back as an answer.
	dialingSide   = "rosereach member dials"
	acceptingSide = "rosereach member accepts"
)

// ErrWrongKey is the cause when a peer did not prove the member key.
const ErrWrongKey = errors.ConstError("the peer does not hold the member key: give all controls and entries the same --member-key")

// greeting is one message of the exchange in which both sides prove that they
// hold the key, which itself is never sent. The dialling side sends its nonce,
// gets the other's nonce and proof, and sends its own proof.
type greeting struct {
	Peer  Peer   `json:"peer"`
	Nonce []byte `json:"nonce,omitempty"`
	Proof []byte `json:"proof,omitempty"`
}

// greet is the dialling side of the exchange.
func greet(ctx context.Context, ws *websocket.Conn, key string, self Peer) (Peer, error) {
	ws.SetReadLimit(maxGreetingBytes)
	mine := greeting{Peer: self, Nonce: newNonce()}
	if err := writeGreeting(ctx, ws, mine); err != nil {
		return Peer{}, err
	}
	theirs, err := readGreeting(ctx, ws)
	if err != nil {
		return Peer{}, err
	}
	if !hmac.Equal(theirs.Proof, proofOf(key, acceptingSide, mine, theirs)) {
		return Peer{}, errors.Trace(ErrWrongKey)
	}
	return theirs.Peer, writeGreeting(ctx, ws, greeting{Proof: proofOf(key, dialingSide, mine, theirs)})
}

// welcome is the accepting side of the exchange.
func welcome(ctx context.Context, ws *websocket.Conn, key string, self Peer) (Peer, error) {
	ws.SetReadLimit(maxGreetingBytes)
	theirs, err := readGreeting(ctx, ws)
	if err != nil {
		return Peer{}, err
	}
	mine := greeting{Peer: self, Nonce: newNonce()}
	mine.Proof = proofOf(key, acceptingSide, theirs, mine)
	if err := writeGreeting(ctx, ws, mine); err != nil {
		return Peer{}, err
	}
	last, err := readGreeting(ctx, ws)
	if err != nil {
		return Peer{}, err
	}
	if !hmac.Equal(last.Proof, proofOf(key, dialingSide, theirs, mine)) {
		return Peer{}, errors.Trace(ErrWrongKey)
	}
	return theirs.Peer, nil
}

// proofOf binds the key to both nonces, both names and the side.
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

// readGreeting reads a greeting. A close by the peer means that it refuses.
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
