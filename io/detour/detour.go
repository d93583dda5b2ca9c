// Package detour is the protocol by which an instance reaches a backend server through another
// instance: an authenticated connection on which, once the other instance has connected to the
// server, bytes pass both ways unchanged.
//
// The dialing side sends its nonce; the accepting side answers with its own and a proof of the
// member key over both; the dialing side sends its proof over both and the server; the answer
// is one byte, a Status. Nothing reaches the server before.
package detour

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"io"
	"syscall"

	"github.com/juju/errors"

	"rosereach/core/encoding"
)

const (
	nonceBytes = 32

	// maxTargetBytes bounds the encoded name of a server.
	maxTargetBytes = 1 << 10

	// The proof includes the side that computed it, so that it can't be reflected.
	dialingSide   = "rosereach detour dials"
	acceptingSide = "rosereach detour accepts"
)

// The answers of the accepting side.
const (
	// Connected means that the server accepted a connection.
	Connected Status = iota
	// ServerUnreachable means that the server accepts no connection from the other instance
	// either, which reaches others.
	ServerUnreachable
	// ServerRefused is ServerUnreachable for a server that refuses connections.
	ServerRefused
	// UnknownServer means that the other instance doesn't know the server.
	UnknownServer
	// CutOff means that the other instance reaches no server itself.
	CutOff
	// Busy means that the other instance takes no more detours now.
	Busy
)

// The causes of errors, for errors.Is.
const (
	// ErrServerUnreachable means that the server fails, as the other instance sees it.
	ErrServerUnreachable = errors.ConstError("the server accepts no connection from another instance either")
	// ErrNoDetour means that the other instance can't be used now.
	ErrNoDetour = errors.ConstError("the other instance opens no connection to the server")
)

type (
	// Status is the answer to a request for a connection.
	Status byte

	// Target names a backend server. The accepting side connects to the address that it
	// knows itself, so that it opens no connection to anything else.
	Target struct {
		_           struct{} `cbor:",toarray"`
		Server      string
		Incarnation uint64
	}
)

// err returns the error of a status, nil for Connected.
func (s Status) err() error {
	switch s {
	case Connected:
		return nil
	case ServerUnreachable:
		return errors.Trace(ErrServerUnreachable)
	case ServerRefused:
		return fmt.Errorf("%w: %w", ErrServerUnreachable, syscall.ECONNREFUSED)
	}
	return errors.Annotatef(ErrNoDetour, "status %d", s)
}

// proof returns the HMAC of the side, both nonces and the target, which is empty for the
// accepting side.
func proof(key, side string, dialing, accepting, target []byte) []byte {
	h := hmac.New(sha256.New, []byte(key))
	for _, part := range [][]byte{[]byte(side), dialing, accepting, target} {
		sum := sha256.Sum256(part)
		h.Write(sum[:]) //nolint:errcheck // it never fails
	}
	return h.Sum(nil)
}

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	rand.Read(nonce) //nolint:errcheck // it never fails
	return nonce
}

// offer is the dialing side's part of the handshake.
func offer(rw io.ReadWriter, key string, t Target) error {
	nonce := newNonce()
	if _, err := rw.Write(nonce); err != nil {
		return errors.Trace(err)
	}
	reply := make([]byte, nonceBytes+sha256.Size)
	if _, err := io.ReadFull(rw, reply); err != nil {
		return errors.Trace(err)
	}
	other := reply[:nonceBytes]
	if !hmac.Equal(reply[nonceBytes:], proof(key, acceptingSide, nonce, other, nil)) {
		return errors.Annotate(ErrNoDetour, "the other instance doesn't hold the member key")
	}
	target, err := encoding.Marshal(t)
	if err != nil {
		return errors.Trace(err)
	}
	message := proof(key, dialingSide, nonce, other, target)
	message = binary.BigEndian.AppendUint16(message, uint16(len(target))) //nolint:gosec // ids are short
	if _, err := rw.Write(append(message, target...)); err != nil {
		return errors.Trace(err)
	}
	var status [1]byte
	if _, err := io.ReadFull(rw, status[:]); err != nil {
		return errors.Trace(err)
	}
	return Status(status[0]).err()
}

// answer is the accepting side's part of the handshake but for the status.
func answer(rw io.ReadWriter, key string) (Target, error) {
	var t Target
	other := make([]byte, nonceBytes)
	if _, err := io.ReadFull(rw, other); err != nil {
		return t, errors.Trace(err)
	}
	nonce := newNonce()
	if _, err := rw.Write(append(nonce[:nonceBytes:nonceBytes], proof(key, acceptingSide, other, nonce, nil)...)); err != nil {
		return t, errors.Trace(err)
	}
	head := make([]byte, sha256.Size+2)
	if _, err := io.ReadFull(rw, head); err != nil {
		return t, errors.Trace(err)
	}
	n := binary.BigEndian.Uint16(head[sha256.Size:])
	if n > maxTargetBytes {
		return t, errors.Errorf("a server's name of %d bytes", n)
	}
	target := make([]byte, n)
	if _, err := io.ReadFull(rw, target); err != nil {
		return t, errors.Trace(err)
	}
	if !hmac.Equal(head[:sha256.Size], proof(key, dialingSide, other, nonce, target)) {
		return t, errors.New("the other instance doesn't hold the member key")
	}
	return t, errors.Trace(encoding.Unmarshal(target, &t))
}
