// Package service defines the plain services that are offered besides the model
// engines, and which of their calls may be repeated.
package service

import (
	"slices"

	"rosereach/core/finding"
)

// Service is the document of a plain service.
type Service struct {
	Name string `json:"name"`
	// Repeatable and Unrepeatable list methods for which the service overrides
	// the HTTP definition of idempotent methods.
	Repeatable   []string `json:"repeatable"`
	Unrepeatable []string `json:"unrepeatable"`
	Revision     uint64   `json:"revision"`
}

// idempotentMethods are the methods that HTTP defines as idempotent.
var idempotentMethods = []string{"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"}

// IsIdempotent reports whether a call with the method may be repeated.
func (s Service) IsIdempotent(method string) bool {
	if slices.Contains(s.Unrepeatable, method) {
		return false
	}
	return slices.Contains(s.Repeatable, method) || slices.Contains(idempotentMethods, method)
}

// Check validates the document and returns all findings.
func (s Service) Check() finding.List {
	var found finding.List
	if s.Name == "" {
		found.Add("name", "missing", "a name")
	}
	for _, m := range s.Repeatable {
		if slices.Contains(s.Unrepeatable, m) {
			found.Add("repeatable", "method "+m+" is also unrepeatable", "each method in one list")
		}
	}
	return found
}
