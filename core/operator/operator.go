// Package operator defines the operators: the people and programs that read or
// change the documents, with their roles and the hashes of their keys.
package operator

import (
	"slices"

	"rosereach/core/finding"
	"rosereach/core/key"
)

// The roles of operators.
const (
	RoleReader   Role = "reader"
	RoleMonitor  Role = "monitor"
	RoleOperator Role = "operator"
)

// The rights that API routes require.
const (
	// Read allows reading documents and status.
	Read Right = "read"
	// Audit allows reading the audit trail and bills.
	Audit Right = "audit"
	// Change allows making changes.
	Change Right = "change"
)

// rights lists the rights of each role.
var rights = map[Role][]Right{
	RoleReader:   {Read},
	RoleMonitor:  {Read, Audit},
	RoleOperator: {Read, Audit, Change},
}

type (
	// Role is a set of rights.
	Role string

	// Right allows one kind of access.
	Right string

	// Operator is the document of one operator.
	Operator struct {
		Name      string   `json:"name"`
		Role      Role     `json:"role"`
		KeyHashes []string `json:"key_hashes"`
		// Closed is set when the operator has no rights any more.
		Closed   bool   `json:"closed"`
		Revision uint64 `json:"revision"`
	}
)

// May reports whether the operator has the right.
func (o Operator) May(r Right) bool { return !o.Closed && slices.Contains(rights[o.Role], r) }

// WithKey returns the operator with the key hash added.
func (o Operator) WithKey(hash string) Operator {
	o.KeyHashes = key.Add(o.KeyHashes, hash)
	return o
}

// WithoutKey returns the operator without the key hash.
func (o Operator) WithoutKey(hash string) Operator {
	o.KeyHashes = key.Remove(o.KeyHashes, hash)
	return o
}

// Check validates the document and returns all findings.
func (o Operator) Check() finding.List {
	var found finding.List
	if o.Name == "" {
		found.Add("name", "missing", "a name")
	}
	if _, ok := rights[o.Role]; !ok {
		found.Add("role", "unknown role "+string(o.Role), "reader, monitor, operator")
	}
	for _, h := range o.KeyHashes {
		if !key.IsHash(h) {
			found.Add("key_hashes", "no hash of a key", "SHA-256 as 64 hexadecimal digits")
		}
	}
	return found
}
