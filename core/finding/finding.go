// Package finding collects the validation errors of a document or of settings,
// each with its path, so that all of them are reported together.
package finding

import (
	"strings"
)

type (
	// Finding is one validation error.
	Finding struct {
		// Path is the dotted path of the invalid value, preceded by the file's name
		// if there is one. It is empty for the whole document.
		Path string `json:"place"`
		// Problem says what is wrong with the value.
		Problem string `json:"problem"`
		// Allowed describes the valid values. It may be empty.
		Allowed string `json:"allowed,omitempty"`
	}

	// List holds findings in the order in which they were added. It implements
	// error; use Err to get nil for an empty list.
	List []Finding
)

// Add appends a finding. The parameter allowed may be empty.
func (l *List) Add(path, problem, allowed string) {
	*l = append(*l, Finding{Path: path, Problem: problem, Allowed: allowed})
}

// AddNested appends the findings of another list, with prefix before each path.
func (l *List) AddNested(prefix string, other List) {
	for _, f := range other {
		f.Path = strings.TrimSuffix(prefix+"."+f.Path, ".")
		*l = append(*l, f)
	}
}

// AddFile appends the findings of a file, with the file's name before each path.
func (l *List) AddFile(file string, other List) {
	for _, f := range other {
		f.Path = strings.TrimSuffix(file+": "+f.Path, ": ")
		*l = append(*l, f)
	}
}

// Err returns the list as an error, or nil when it is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}

// Error returns all findings, one on each line.
func (l List) Error() string {
	lines := make([]string, 0, len(l))
	for _, f := range l {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// String formats the finding as "PATH: PROBLEM; allowed: ALLOWED", without the
// parts that are empty.
func (f Finding) String() string {
	text := f.Problem
	if f.Path != "" {
		text = f.Path + ": " + text
	}
	if f.Allowed != "" {
		text += "; allowed: " + f.Allowed
	}
	return text
}
