// Package audit keeps the audit trail of changes. Each event holds the hash of
// the event before it, so that a modified, missing or reordered event is
// detected.
package audit

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/juju/errors"
)

// ErrBroken is the cause of every error that reports a damaged trail or export.
const ErrBroken = errors.ConstError("the audit chain is broken")

type (
	// Kind is the type of an event.
	Kind string

	// Event is one entry of the trail.
	Event struct {
		// Sequence numbers the events of a chain from 1.
		Sequence uint64    `json:"sequence"`
		At       time.Time `json:"at"`
		Kind     Kind      `json:"kind"`
		// Actor is the operator, or the part of the system, that caused the event.
		Actor string `json:"actor"`
		// From is where the actor's request came from.
		From string `json:"from"`
		// Subject identifies the affected object as KIND/NAME, such as
		// version/small@v1.
		Subject string `json:"subject"`
		// Action is the kind of change.
		Action   string `json:"action,omitempty"`
		ChangeID string `json:"change_id,omitempty"`
		// Revision is the catalog revision that the event is about.
		Revision uint64 `json:"revision,omitempty"`
		// Detail is free text, such as the findings of a refused change.
		Detail string `json:"detail,omitempty"`
		// Before and After are the document before and after the change, as JSON.
		Before json.RawMessage `json:"before,omitempty"`
		After  json.RawMessage `json:"after,omitempty"`
		// PreviousHash is the hash of the previous event.
		PreviousHash string `json:"previous"`
		// Hash is the SHA-256 of all other fields.
		Hash string `json:"hash"`
	}

	// Chain is the head of a trail: the sequence and hash of its last event.
	Chain struct {
		Sequence uint64 `json:"sequence"`
		Hash     string `json:"hash"`
	}
)

// The kinds of event.
const (
	// Changed records an accepted change, except for a hold.
	Changed Kind = "changed"
	// Refused records a refused or conflicting change, or a denied API request.
	Refused Kind = "refused"
	Ordered Kind = "ordered"
	// Held records an accepted change that put a version on hold.
	Held Kind = "held"
	// LeaseEnded records the end of an entry's lease.
	LeaseEnded Kind = "lease_ended"
	// Membership records a change of the group of controls.
	Membership Kind = "membership"
	// InForce records that a revision is in force at every entry.
	InForce Kind = "in_force"
)

// Append adds the event to the chain and returns it with its sequence and hash.
func (c *Chain) Append(e Event) Event {
	c.Sequence++
	e.Sequence = c.Sequence
	e.PreviousHash = c.Hash
	e.Hash = computeHash(e)
	c.Hash = e.Hash
	return e
}

// Verify checks that the events are consecutive and unmodified. The parameter
// previous is the hash of the event before the first one.
func Verify(previous string, events []Event) error {
	for i, e := range events {
		if e.PreviousHash != previous {
			return errors.Annotatef(ErrBroken, "event %d does not hold the hash of the event before it", e.Sequence)
		}
		if computeHash(e) != e.Hash {
			return errors.Annotatef(ErrBroken, "event %d was changed", e.Sequence)
		}
		if i > 0 && e.Sequence != events[i-1].Sequence+1 {
			return errors.Annotatef(ErrBroken, "event %d is missing", events[i-1].Sequence+1)
		}
		previous = e.Hash
	}
	return nil
}

func computeHash(e Event) string {
	e.Hash = ""
	data, err := json.Marshal(e)
	if err != nil {
		return "unreadable"
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
