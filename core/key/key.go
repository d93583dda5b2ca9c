// Package key hashes the keys that callers and operators present, and compares
// the hashes in a time that does not depend on them.
package key

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"
)

// hashLength is the length of a hash, in characters.
const hashLength = 2 * sha256.Size

// Hash returns the hash under which a key is stored. Keys are random and long,
// so that a plain hash is enough.
func Hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// IsHash reports whether the text has the form of a hash.
func IsHash(text string) bool {
	data, err := hex.DecodeString(text)
	return err == nil && len(data) == sha256.Size && len(text) == hashLength
}

// IsOneOf reports whether the hash is in the list. It always looks at all.
func IsOneOf(hashes []string, hash string) bool {
	found := 0
	for _, h := range hashes {
		found |= subtle.ConstantTimeCompare([]byte(h), []byte(hash))
	}
	return found == 1
}

// Add returns the list with the hash, which stands in it once.
func Add(hashes []string, hash string) []string {
	if slices.Contains(hashes, hash) {
		return hashes
	}
	return append(slices.Clone(hashes), hash)
}

// Remove returns the list without the hash.
func Remove(hashes []string, hash string) []string {
	return slices.DeleteFunc(slices.Clone(hashes), func(h string) bool { return h == hash })
}
