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

// putOperator writes name, role and whether the operator is closed. Keys have
// changes of their own.
func (d *Documents) putOperator(c change.Change, accepted change.Result) change.Result {
	o, found := read(c, "name", func(o operator.Operator) string { return o.Name })
	if len(found) > 0 {
		return change.Refuse(found)
	}
	o.KeyHashes = d.Operators[c.Name].KeyHashes
	o.Revision = accepted.Revision
	d.Operators[c.Name] = o
	return accepted
}

func (d *Documents) writeOperatorKey(c change.Change, accepted change.Result) change.Result {
	given, found := readKey(c)
	if len(found) > 0 {
		return change.Refuse(found)
	}
	o, ok := d.Operators[c.Name]
	if !ok {
		return change.RefuseFor("name", "no operator "+c.Name, "the name of an operator")
	}
	if owner := d.operatorWith(given.Hash); owner != "" && owner != c.Name {
		return change.RefuseFor("hash", "the key belongs to another operator", "a new key")
	}
	if c.Kind == change.AddOperatorKey {
		o = o.WithKey(given.Hash)
	} else {
		o = o.WithoutKey(given.Hash)
	}
	o.Revision = accepted.Revision
	d.Operators[c.Name] = o
	return accepted
}

func (d *Documents) operatorWith(hash string) string {
	for _, name := range slices.Sorted(maps.Keys(d.Operators)) {
		if key.IsOneOf(d.Operators[name].KeyHashes, hash) {
			return name
		}
	}
	return ""
}

// readKey reads the document of a change that adds or removes a key.
func readKey(c change.Change) (change.Key, finding.List) {
	given, found := shape.Decode[change.Key](c.Document)
	if len(found) == 0 && !key.IsHash(given.Hash) {
		found.Add("hash", "no hash of a key", "SHA-256 as 64 hexadecimal digits")
	}
	return given, found
}
