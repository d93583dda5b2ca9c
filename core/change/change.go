// Package change defines the changes that operators and the system itself
// make to the replicated documents.
package change

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"strconv"
	"time"

	"rosereach/core/finding"
)

// The kinds of change; each is named for the document that it writes.
const (
	PutTemplate  Kind = "put_template"
	PutWorkspace Kind = "put_workspace"
	AddKey       Kind = "add_key"
	RemoveKey    Kind = "remove_key"
	PutService   Kind = "put_service"
	PutVersion   Kind = "put_version"
	MoveVersion  Kind = "move_version"
	RotateSeal   Kind = "rotate_seal"
	PutRollout   Kind = "put_rollout"
	MoveRollout  Kind = "move_rollout"
	PutRouting   Kind = "put_routing"
	PutOperator  Kind = "put_operator"

	AddOperatorKey    Kind = "add_operator_key"
	RemoveOperatorKey Kind = "remove_operator_key"
)

// The answers to a change.
const (
	Accepted Status = "accepted"
	Conflict Status = "conflict"
	Refused  Status = "refused"
)

// The kinds of document, as they stand before the slash of a subject.
const (
	Template  = "template"
	Workspace = "workspace"
	Service   = "service"
	Version   = "version"
	Rollout   = "rollout"
	Routing   = "routing"
	Operator  = "operator"
)

// documentKinds gives the kind of document that each kind of change writes.
var documentKinds = map[Kind]string{
	PutTemplate: Template, PutWorkspace: Workspace, AddKey: Workspace, RemoveKey: Workspace, PutService: Service,
	PutVersion: Version, MoveVersion: Version, PutRollout: Rollout, MoveRollout: Rollout, PutRouting: Routing, PutOperator: Operator,
	AddOperatorKey: Operator, RemoveOperatorKey: Operator,
}

type (
	// Kind says which document a change writes, and how.
	Kind string

	// Status is the answer to a change.
	Status string

	// Change is one write of one document. ID makes it idempotent. Expect is
	// the revision that the document must have, 0 for a document that must not
	// exist; nil accepts any. Actor and From say who asked, and from where; At
	// is set by the leader.
	Change struct {
		ID       string          `json:"change_id"`
		Kind     Kind            `json:"kind"`
		Name     string          `json:"name"`
		Expect   *uint64         `json:"expect,omitempty"`
		Document json.RawMessage `json:"document,omitempty"`
		Actor    string          `json:"actor"`
		From     string          `json:"from"`
		At       time.Time       `json:"at"`
	}

	// Result is the answer to a change. Revision is the revision that an
	// accepted change made, or the document's current one after a conflict.
	// Repeated says that the change was known and this is its first answer.
	Result struct {
		Status   Status       `json:"status"`
		Revision uint64       `json:"revision"`
		Findings finding.List `json:"findings,omitempty"`
		Repeated bool         `json:"repeated,omitempty"`
	}

	// Move is the document of MoveVersion: the trigger and, for a canary or a
	// ramping version, its share of the traffic.
	Move struct {
		Trigger string  `json:"trigger"`
		Share   float64 `json:"share"`
		Reason  string  `json:"reason"`
	}

	// Key is the document of the changes that add and remove keys.
	Key struct {
		Hash string `json:"hash"`
	}
)

// Hash returns the hash of what the change asks for, without who and when.
func (c Change) Hash() string {
	expect := "any"
	if c.Expect != nil {
		expect = strconv.FormatUint(*c.Expect, 10)
	}
	h := sha256.New()
	for _, part := range [][]byte{[]byte(c.ID), []byte(c.Kind), []byte(c.Name), []byte(expect), c.Document} {
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part)))) //nolint:errcheck // it never fails
		h.Write(part)                                                  //nolint:errcheck // it never fails
	}
	return hex.EncodeToString(h.Sum(nil))
}

// Subject names the document that the change writes, as KIND/NAME.
func (c Change) Subject() string {
	kind, ok := documentKinds[c.Kind]
	if !ok {
		kind = string(c.Kind)
	}
	return kind + "/" + c.Name
}

// WithAt returns the change with the leader's time.
func (c Change) WithAt(at time.Time) Change {
	c.At = at.UTC()
	return c
}

// Refuse returns the answer for a change with findings.
func Refuse(found finding.List) Result { return Result{Status: Refused, Findings: found} }

// RefuseFor returns the answer for a change with one finding.
func RefuseFor(place, problem, allowed string) Result {
	return Refuse(finding.List{{Place: place, Problem: problem, Allowed: allowed}})
}
