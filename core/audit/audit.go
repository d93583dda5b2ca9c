// Package audit keeps the trail of changes as a chain of hashes, so that one
// changed byte is found.
package audit

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/juju/errors"
)

// ErrBroken is the cause of every error of Verify.
const ErrBroken = errors.ConstError("the audit chain is broken")

type (
	// Kind says what happened.
	Kind string

	// Event is one line of the trail. Subject names what it is about, such as
	// version/small@v1; Action is the kind of change. Before and After are
	// documents as JSON.
	Event struct {
		Sequence uint64          `json:"sequence"`
		At       time.Time       `json:"at"`
		Kind     Kind            `json:"kind"`
		Actor    string          `json:"actor"`
		From     string          `json:"from"`
		Subject  string          `json:"subject"`
		Action   string          `json:"action,omitempty"`
		ChangeID string          `json:"change_id,omitempty"`
		Revision uint64          `json:"revision,omitempty"`
		Detail   string          `json:"detail,omitempty"`
		Before   json.RawMessage `json:"before,omitempty"`
		After    json.RawMessage `json:"after,omitempty"`
		Previous string          `json:"previous"`
		Hash     string          `json:"hash"`
	}

	// Chain is the end of a trail, to which events are added.
	Chain struct {
		Sequence uint64 `json:"sequence"`
		Hash     string `json:"hash"`
	}
)

// The kinds of event.
const (
	Changed    Kind = "changed"
	Refused    Kind = "refused"
	Ordered    Kind = "ordered"
	Held       Kind = "held"
	LeaseEnded Kind = "lease_ended"
	Membership Kind = "membership"
	InForce    Kind = "in_force"
)

// Append puts the event at the chain's end and returns it with its hash.
func (c *Chain) Append(e Event) Event {
	c.Sequence++
	e.Sequence = c.Sequence
	e.Previous = c.Hash
	e.Hash = hashOf(e)
	c.Hash = e.Hash
	return e
}

// Verify checks that the events follow each other and that none was changed.
// Previous is the hash before the first event.
func Verify(previous string, events []Event) error {
	for i, e := range events {
		if e.Previous != previous {
			return errors.Annotatef(ErrBroken, "event %d does not follow the one before", e.Sequence)
		}
		if hashOf(e) != e.Hash {
			return errors.Annotatef(ErrBroken, "event %d was changed", e.Sequence)
		}
		if i > 0 && e.Sequence != events[i-1].Sequence+1 {
			return errors.Annotatef(ErrBroken, "event %d is missing", events[i-1].Sequence+1)
		}
		previous = e.Hash
	}
	return nil
}

func hashOf(e Event) string {
	e.Hash = ""
	data, err := json.Marshal(e)
	if err != nil {
		return "unreadable"
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
