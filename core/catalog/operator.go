package catalog

import (
	"maps"
	"slices"

	"rosereach/core/change"
	"rosereach/core/finding"
	"rosereach/core/key"
	"rosereach/core/operator"
	"rosereach/core/shape"
)

// putOperator writes an operator without its keys, which have their own kinds of
// change.
func (d *Documents) putOperator(c change.Change, accepted change.Result) change.Result {
	o, found := decodeDocument(c, "name", func(o operator.Operator) string { return o.Name })
	if len(found) > 0 {
		return change.Refuse(found)
	}
	o.KeyHashes = d.Operators[c.Name].KeyHashes
	o.Revision = accepted.Revision
	d.Operators[c.Name] = o
	return accepted
}

// updateOperatorKey adds a key to an operator or removes one.
func (d *Documents) updateOperatorKey(c change.Change, accepted change.Result) change.Result {
	keyDocument, found := decodeKey(c)
	if len(found) > 0 {
		return change.Refuse(found)
	}
	o, ok := d.Operators[c.Name]
	if !ok {
		return change.RefuseFor("name", "no operator "+c.Name, "the name of an operator")
	}
	if owner := d.operatorByKey(keyDocument.Hash); owner != "" && owner != c.Name {
		return change.RefuseFor("hash", "the key belongs to another operator", "a new key")
	}
	if c.Kind == change.AddOperatorKey {
		o = o.WithKey(keyDocument.Hash)
	} else {
		o = o.WithoutKey(keyDocument.Hash)
	}
	o.Revision = accepted.Revision
	d.Operators[c.Name] = o
	return accepted
}

// operatorByKey returns the name of the operator that the key belongs to, empty
// when there is none.
func (d *Documents) operatorByKey(hash string) string {
	for _, name := range slices.Sorted(maps.Keys(d.Operators)) {
		if key.Contains(d.Operators[name].KeyHashes, hash) {
			return name
		}
	}
	return ""
}

// decodeKey decodes and validates the document of a change that adds or removes a
// key.
func decodeKey(c change.Change) (change.Key, finding.List) {
	keyDocument, found := shape.Decode[change.Key](c.Document)
	if len(found) == 0 && !key.IsHash(keyDocument.Hash) {
		found.Add("hash", "no hash of a key", "SHA-256 as 64 hexadecimal digits")
	}
	return keyDocument, found
}
