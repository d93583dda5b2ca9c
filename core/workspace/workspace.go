// Package workspace defines workspaces. A workspace names a template, sets the
// values of its parameters and holds the hashes of the keys that callers present.
package workspace

import (
	"rosereach/core/finding"
	"rosereach/core/key"
	"rosereach/core/template"
)

// Workspace is the document of one customer's workspace.
type Workspace struct {
	Name string `json:"name"`
	// Template is the name of the workspace's template.
	Template  string          `json:"template"`
	Values    template.Values `json:"values"`
	KeyHashes []string        `json:"key_hashes"`
	// Closed is set when the workspace accepts no requests.
	Closed   bool   `json:"closed"`
	Revision uint64 `json:"revision"`
}

// HashKey returns the hash under which a caller's key is stored.
func HashKey(callerKey string) string { return key.Hash(callerKey) }

// WithKey returns the workspace with the key hash added.
func (w Workspace) WithKey(hash string) Workspace {
	w.KeyHashes = key.Add(w.KeyHashes, hash)
	return w
}

// WithoutKey returns the workspace without the key hash.
func (w Workspace) WithoutKey(hash string) Workspace {
	w.KeyHashes = key.Remove(w.KeyHashes, hash)
	return w
}

// Check validates the document on its own and returns all findings. Whether the
// values match the template is checked by template.Template.Fill.
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
