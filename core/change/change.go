// Package change defines the changes that operators and the system itself make to
// the replicated documents, and their results.
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

// The kinds of change. Their values are stored in the log and the audit trail.
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

	PutEvacuation Kind = "put_evacuation"
	EnableFeature Kind = "enable_feature"

	PutOperator Kind = "put_operator"

	AddOperatorKey    Kind = "add_operator_key"
	RemoveOperatorKey Kind = "remove_operator_key"
)

// The statuses of a change. Conflict means that the document does not have the
// expected revision.
const (
	Accepted Status = "accepted"
	Conflict Status = "conflict"
	Refused  Status = "refused"
)

// The kinds of document, as in the part of a subject before the slash.
const (
	Template  = "template"
	Workspace = "workspace"
	Service   = "service"
	Version   = "version"
	Rollout   = "rollout"
	Routing   = "routing"
	Operator  = "operator"

	Evacuation = "evacuation"
)

// documentKinds maps each kind of change to the kind of document that it writes.
var documentKinds = map[Kind]string{
	PutTemplate: Template, PutWorkspace: Workspace, AddKey: Workspace, RemoveKey: Workspace, PutService: Service,
	PutVersion: Version, MoveVersion: Version, PutRollout: Rollout, MoveRollout: Rollout, PutRouting: Routing, PutOperator: Operator,
	AddOperatorKey: Operator, RemoveOperatorKey: Operator, PutEvacuation: Evacuation,
}

type (
	// Kind says which document a change writes, and how.
	Kind string

	// Status says whether a change was made.
	Status string

	// Change is one write of one document.
	Change struct {
		// ID makes the change idempotent: a resend with the same ID gets the
		// result of the first one.
		ID   string `json:"change_id"`
		Kind Kind   `json:"kind"`
		// Name is the name of the document.
		Name string `json:"name"`
		// ExpectedRevision is the revision that the document must have. 0 stands for a
		// document that must not exist, nil for any revision.
		ExpectedRevision *uint64         `json:"expect,omitempty"`
		Document         json.RawMessage `json:"document,omitempty"`
		// Actor is who asked for the change, and From where the request came from.
		Actor string `json:"actor"`
		From  string `json:"from"`
		// At is set by the leader.
		At time.Time `json:"at"`
	}

	// Result is the result of a change.
	Result struct {
		Status Status `json:"status"`
		// Revision is the document's revision: the new one after an accepted
		// change, the current one after a conflict.
		Revision uint64       `json:"revision"`
		Findings finding.List `json:"findings,omitempty"`
		// Repeated is set on the reply to a resend, which has the result of the
		// first change with this ID.
		Repeated bool `json:"repeated,omitempty"`
	}

	// Move is the document of MoveVersion: the trigger and, for a canary or a
	// ramping version, its share of the traffic.
	Move struct {
		Trigger string  `json:"trigger"`
		Share   float64 `json:"share"`
		Reason  string  `json:"reason"`
	}

	// Key is the document of the changes that add and remove keys: the hash of
	// the key, never the key itself.
	Key struct {
		Hash string `json:"hash"`
	}
)

// Hash returns a hash of the change's content without Actor, From and At. A resend
// must have the same hash as the first change with its ID.
func (c Change) Hash() string {
	expect := "any"
	if c.ExpectedRevision != nil {
		expect = strconv.FormatUint(*c.ExpectedRevision, 10)
	}
	h := sha256.New()
	for _, part := range [][]byte{[]byte(c.ID), []byte(c.Kind), []byte(c.Name), []byte(expect), c.Document} {
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part)))) //nolint:errcheck // it never fails
		h.Write(part)                                                  //nolint:errcheck // it never fails
	}
	return hex.EncodeToString(h.Sum(nil))
}

// Subject returns the document that the change writes as KIND/NAME, where KIND is
// the kind of document.
func (c Change) Subject() string {
	kind, ok := documentKinds[c.Kind]
	if !ok {
		kind = string(c.Kind)
	}
	return kind + "/" + c.Name
}

// WithTime returns the change with the leader's time.
func (c Change) WithTime(at time.Time) Change {
	c.At = at.UTC()
	return c
}

// Refuse returns the result of a change that is refused for its findings.
func Refuse(found finding.List) Result { return Result{Status: Refused, Findings: found} }

// RefuseFor returns the result of a change that is refused for one finding.
func RefuseFor(place, problem, allowed string) Result {
	return Refuse(finding.List{{Path: place, Problem: problem, Allowed: allowed}})
}
