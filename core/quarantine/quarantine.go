// Package quarantine finds parts of prompts and whole requests that crash backend servers,
// known as queries of death or poison pills, and lists them, so that requests with them are
// rejected. Entries report which requests they had at servers that ended; what no entry
// can tell from its own requests shows in the evidence of all of them.
package quarantine

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxRequestsPerEnd and maxRequestsPerWorkspace bound the requests that an entry
	// reports of one server's end, altogether and of one workspace.
	maxRequestsPerEnd       = 32
	maxRequestsPerWorkspace = 12

	// maxParts is the number of parts of a prompt that are looked at.
	maxParts = 16
)

type (
	// Key identifies a part of a prompt, or a whole request, at a service. It is a hash, as
	// both are callers' words.
	Key uint64

	// Request is a request that an entry had at a server when it ended.
	Request struct {
		_ struct{} `cbor:",toarray"`
		// ID is a hash of the request's id.
		ID uint64
		// Workspace is a hash of the workspace's name.
		Workspace uint64
		// Parts are the keys of its prompt's shared parts, in order.
		Parts []Key
		// Digest is the key of the whole request, 0 if it is not known.
		Digest Key
	}

	// End is what one entry had at a server that ended.
	End struct {
		_           struct{} `cbor:",toarray"`
		Service     string
		Server      string
		Incarnation uint64
		Requests    []Request
	}

	// Sound is the recent number of sound answers to requests with a part, weighted
	// by age.
	Sound struct {
		_       struct{} `cbor:",toarray"`
		Key     Key
		Answers float64
	}

	// Listing is a part that requests are rejected for, or a request that is rejected.
	Listing struct {
		_       struct{} `cbor:",toarray"`
		Key     Key
		Service string
		// Left is the time until the listing ends.
		Left time.Duration
		// Ends, Requests and Sound are what it is based on: the servers that ended under
		// requests with the part, the number of these requests, and the sound answers
		// to others.
		Ends     int
		Requests int
		Sound    float64
		// Repeat means that the key is that of a whole request.
		Repeat bool
	}

	// Report is evidence from one sender.
	Report struct {
		// Sender is the id of an entry, or of a control that passes listings on. Sound
		// replaces what the sender said before.
		Sender string    `json:"sender"`
		Ends   []End     `json:"ends,omitempty"`
		Sound  []Sound   `json:"sound,omitempty"`
		Listed []Listing `json:"listed,omitempty"`
		Trials []Trial   `json:"trials,omitempty"`
	}
)

// KeyOf returns the key of a part at a service. The empty part stands for all requests to
// the service.
func KeyOf(service, part string) Key {
	h := xxhash.New()
	h.WriteString(service + "\x00" + part) //nolint:errcheck // a hash takes all bytes
	return Key(h.Sum64())
}

// DigestOf returns the key of a whole request to a service: a request that comes again has the
// same one, whatever its id. It needs no prompt.
func DigestOf(service, workspace, method, target string, body [][]byte) Key {
	h := xxhash.New()
	h.WriteString(service + "\x00" + workspace + "\x00" + method + "\x00" + target + "\x00") //nolint:errcheck // a hash takes all bytes
	for _, piece := range body {
		h.Write(piece) //nolint:errcheck // a hash takes all bytes
	}
	return Key(h.Sum64())
}

// String returns the key as it is logged.
func (k Key) String() string { return fmt.Sprintf("%016x", uint64(k)) }

// SharedKeys returns the keys of the parts of a prompt that other requests may share: all
// but the last, which belongs to the request or its session.
func SharedKeys(service string, parts []string) []Key {
	n := min(len(parts)-1, maxParts)
	if n <= 0 {
		return nil
	}
	keys := make([]Key, 0, n)
	for _, part := range parts[:n] {
		keys = append(keys, KeyOf(service, part))
	}
	return keys
}

// RequestID returns the hash of a request's id.
func RequestID(id string) uint64 { return xxhash.Sum64String(id) }

// NewRequest returns the record of a request with the given shared parts.
func NewRequest(id, workspace string, parts []Key) Request {
	return Request{ID: RequestID(id), Workspace: xxhash.Sum64String(workspace), Parts: parts}
}

// WithDigest returns the request with the key of the whole request.
func (r Request) WithDigest(k Key) Request {
	r.Digest = k
	return r
}

// WithRequest returns the end with another request, unless it holds it already, or as many
// as are reported, of all workspaces or of the request's.
func (e End) WithRequest(r Request) End {
	ofWorkspace := 0
	for _, other := range e.Requests {
		if other.ID == r.ID {
			return e
		}
		if other.Workspace == r.Workspace {
			ofWorkspace++
		}
	}
	if len(e.Requests) >= maxRequestsPerEnd || ofWorkspace >= maxRequestsPerWorkspace {
		return e
	}
	e.Requests = append(e.Requests[:len(e.Requests):len(e.Requests)], r)
	return e
}
