// Package finding collects the problems of a document or of settings, each
// with its place, so that all of them are reported together.
package finding

import (
	"strings"
)

type (
	// Finding is one problem: where it is, what is wrong and what is allowed.
	Finding struct {
		Place   string `json:"place"`
		Problem string `json:"problem"`
		Allowed string `json:"allowed,omitempty"`
	}

	// List is a set of findings in the order they were met. It is an error
	// when it is not empty; use Err to get nil for an empty list.
	List []Finding
)

// Add appends a finding. Allowed may be empty.
func (l *List) Add(place, problem, allowed string) {
	*l = append(*l, Finding{Place: place, Problem: problem, Allowed: allowed})
}

// Within appends the findings of another list, with prefix before each place.
func (l *List) Within(prefix string, other List) {
	for _, f := range other {
		f.Place = strings.TrimSuffix(prefix+"."+f.Place, ".")
		*l = append(*l, f)
	}
}

// In appends the findings of a file, with its name before each place.
func (l *List) In(file string, other List) {
	for _, f := range other {
		f.Place = strings.TrimSuffix(file+": "+f.Place, ": ")
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

// Error lists all findings, one a line.
func (l List) Error() string {
	lines := make([]string, 0, len(l))
	for _, f := range l {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// String gives the finding on one line.
func (f Finding) String() string {
	text := f.Problem
	if f.Place != "" {
		text = f.Place + ": " + text
	}
	if f.Allowed != "" {
		text += "; allowed: " + f.Allowed
	}
	return text
}
