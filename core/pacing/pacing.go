// Package pacing keeps backend servers within the number of requests a second that they
// name in their answers. Controls share the number out among entries, and each entry sends
// a server as many as its share allows.
package pacing

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// The kinds of statement that an answer makes about a limit. An answer that can't be read,
// or that belongs to another server, makes none.
const (
	None Kind = iota
	// Unlimited means that the answer names no limit.
	Unlimited
	// Limited means that the answer names one.
	Limited
)

const (
	// MinLimit is the smallest limit that is kept. A server that names less, or 0, gets a
	// request every few seconds nevertheless: only an answer can end its limit.
	MinLimit = 0.2

	// MaxLimit is the largest limit that is kept. It is far above what a server can do.
	MaxLimit = 1e6
)

type (
	// Kind is the kind of a statement.
	Kind uint8

	// Statement is what an answer says about its server's limit.
	Statement struct {
		Kind Kind
		// PerSecond is the limit in requests a second, from MinLimit to MaxLimit.
		PerSecond float64
	}

	// Word is a statement about the limit of one start of a server that is passed on.
	Word struct {
		_           struct{} `cbor:",toarray"`
		Server      string
		Incarnation uint64
		// PerSecond is the limit, 0 for none.
		PerSecond float64
		// Age is the time since a limit was last heard. For no limit it is the time since
		// the request was sent whose answer named none: an answer to an earlier request may
		// have been made before the limit was named.
		Age time.Duration
	}

	// Share is the part of a server's limit that one entry may use.
	Share struct {
		_           struct{} `cbor:",toarray"`
		Server      string
		Incarnation uint64
		// Limit is the server's limit, and PerSecond the entry's part, which may be 0.
		Limit     float64
		PerSecond float64
	}
)

// ParseLimit reads the values of a header that names a limit. It is the only reading of
// that header in the project:
//
//   - No value means that there is no limit.
//   - One value, a number of requests a second in decimal notation with an optional
//     fraction, is the limit. Spaces around it are ignored. It is kept within MinLimit and
//     MaxLimit; so 0 stands for MinLimit.
//   - Anything else is an error, and no statement: several values, an empty value, negative
//     numbers, NaN and infinities, exponents and units.
func ParseLimit(values []string) (Statement, error) {
	return parseRate(values, MinLimit)
}

// parseRate reads a number a second, kept within least and MaxLimit.
func parseRate(values []string, least float64) (Statement, error) {
	switch len(values) {
	case 0:
		return Statement{Kind: Unlimited}, nil
	case 1:
	default:
		return Statement{}, errors.Errorf("%d values instead of one", len(values))
	}
	text := strings.Trim(values[0], " \t")
	if strings.Trim(text, ".0123456789") != "" {
		return Statement{}, errors.Errorf("%.40q is no number of requests a second", text)
	}
	n, err := strconv.ParseFloat(text, 64)
	if err != nil && !math.IsInf(n, 1) {
		return Statement{}, errors.Errorf("%.40q is no number of requests a second", text)
	}
	return Statement{Kind: Limited, PerSecond: min(max(n, least), MaxLimit)}, nil
}
