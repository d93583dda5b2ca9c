// Package workspace holds workspaces: a template's name, the values for its
// parameters and the hashes of the keys that callers present.
package workspace

import (
	"rosereach/core/finding"
	"rosereach/core/key"
	"rosereach/core/template"
)

// Workspace is one customer's document.
type Workspace struct {
	Name      string          `json:"name"`
	Template  string          `json:"template"`
	Values    template.Values `json:"values"`
	KeyHashes []string        `json:"key_hashes"`
	Closed    bool            `json:"closed"`
	Revision  uint64          `json:"revision"`
}

// HashKey returns the hash under which a caller's key is stored.
func HashKey(text string) string { return key.Hash(text) }

// WithKey returns the workspace with one more key hash.
func (w Workspace) WithKey(hash string) Workspace {
	w.KeyHashes = key.Add(w.KeyHashes, hash)
	return w
}

// WithoutKey returns the workspace without the key hash.
func (w Workspace) WithoutKey(hash string) Workspace {
	w.KeyHashes = key.Remove(w.KeyHashes, hash)
	return w
}

// Check returns the findings that need no other document.
func (w Workspace) Check() finding.List {
	var found finding.List
	if w.Name == "" {
		found.Add("name", "missing", "a name")
	}
	if w.Template == "" {
		found.Add("template", "missing", "the name of a template")
	}
	return found
}
