// Package key hashes the keys that callers and operators present, and compares
// the hashes in constant time.
package key

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"
)

// hashLength is the length of a hash in hexadecimal digits.
const hashLength = 2 * sha256.Size

// Hash returns the SHA-256 of a key in hexadecimal digits. Keys are stored in this
// form. Keys are random and long, so they need neither a salt nor a slow hash.
func Hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// IsHash reports whether the text has the format of a hash.
func IsHash(text string) bool {
	data, err := hex.DecodeString(text)
	return err == nil && len(data) == sha256.Size && len(text) == hashLength
}

// Contains reports whether the list contains the hash. It compares with all
// entries in constant time.
func Contains(hashes []string, hash string) bool {
	found := 0
	for _, h := range hashes {
		found |= subtle.ConstantTimeCompare([]byte(h), []byte(hash))
	}
	return found == 1
}

// Add returns the list with the hash appended, or the list itself if it already
// contains the hash.
func Add(hashes []string, hash string) []string {
	if slices.Contains(hashes, hash) {
		return hashes
	}
	return append(slices.Clone(hashes), hash)
}

// Remove returns a copy of the list without the hash.
func Remove(hashes []string, hash string) []string {
	return slices.DeleteFunc(slices.Clone(hashes), func(h string) bool { return h == hash })
}
