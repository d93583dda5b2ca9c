// Package session signs and verifies session tokens. A token holds the session's
// workspace and version, so that every entry can serve the session and none has
// to store sessions.
package session

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strings"
	"time"

	"github.com/juju/errors"

	"rosereach/core/catalog"
	"rosereach/core/version"
)

// The reasons why a token cannot be issued or is refused.
const (
	ErrNoKey          = errors.ConstError("no key for session tokens exists yet; try again later")
	ErrBadToken       = errors.ConstError("the session token is malformed or its signature is invalid")
	ErrKeyRetired     = errors.ConstError("the session token's key has been rotated out")
	ErrWrongWorkspace = errors.ConstError("the session belongs to another workspace")
)

// partSeparator separates a token's key id, content and signature.
const partSeparator = "."

type (
	// Token is the content of a session token. All requests of the session use
	// its version.
	Token struct {
		ID        string      `json:"id"`
		Workspace string      `json:"workspace"`
		Version   version.Ref `json:"version"`
		OpenedAt  time.Time   `json:"opened_at"`
	}

	// Sealer signs tokens with the newest key and accepts those of all its keys.
	Sealer struct {
		keys []catalog.SealKey
	}
)

// NewSealer returns a sealer for the keys, newest first.
func NewSealer(keys []catalog.SealKey) Sealer { return Sealer{keys: keys} }

// Seal returns the token as signed text for the caller. The content is readable,
// not encrypted. The same token and key give the same text.
func (s Sealer) Seal(t Token) (string, error) {
	if len(s.keys) == 0 {
		return "", errors.Trace(ErrNoKey)
	}
	content, err := json.Marshal(t)
	if err != nil {
		return "", errors.Trace(err)
	}
	body := s.keys[0].ID + partSeparator + encode(content)
	return body + partSeparator + encode(signatureOf(s.keys[0], body)), nil
}

// Open verifies a token's signature and workspace and returns its content.
func (s Sealer) Open(text, workspace string) (Token, error) {
	parts := strings.Split(text, partSeparator)
	if len(parts) != 3 {
		return Token{}, errors.Trace(ErrBadToken)
	}
	key, ok := s.findKey(parts[0])
	if !ok {
		return Token{}, errors.Trace(ErrKeyRetired)
	}
	signature := encode(signatureOf(key, parts[0]+partSeparator+parts[1]))
	if !hmac.Equal([]byte(parts[2]), []byte(signature)) {
		return Token{}, errors.Trace(ErrBadToken)
	}
	content, err := base64.RawURLEncoding.DecodeString(parts[1])
	if err != nil {
		return Token{}, errors.Trace(ErrBadToken)
	}
	var t Token
	if err := json.Unmarshal(content, &t); err != nil {
		return Token{}, errors.Trace(ErrBadToken)
	}
	if t.Workspace != workspace {
		return Token{}, errors.Trace(ErrWrongWorkspace)
	}
	return t, nil
}

func (s Sealer) findKey(id string) (catalog.SealKey, bool) {
	for _, k := range s.keys {
		if k.ID == id {
			return k, true
		}
	}
	return catalog.SealKey{}, false
}

func signatureOf(key catalog.SealKey, body string) []byte {
	mac := hmac.New(sha256.New, key.Secret)
	mac.Write([]byte(body))
	return mac.Sum(nil)
}

func encode(b []byte) string { return base64.RawURLEncoding.EncodeToString(b) }
