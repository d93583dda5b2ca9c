// Package framing describes what marks the end of an answer's body and how that end was
// seen. Only a mark that was reached proves that a body is whole.
package framing

import (
	"strconv"
	"strings"
)

// What marks the end of a body.
const (
	// ByClose means that only the end of the connection does. A server that is killed ends
	// it in the same way, so that such a body may have been cut off.
	ByClose Mark = iota
	ByLength
	ByChunks
)

// The ways in which a body ends.
const (
	// Marked means that the length or the last chunk was reached.
	Marked End = "marked"
	// Closed means that the connection of a body that has no other mark ended in order.
	Closed End = "closed"
	// Truncated means that the connection ended in order before the mark.
	Truncated End = "truncated"
	// Reset means that the connection was reset.
	Reset End = "reset"
	// Canceled means that this process ended the connection.
	Canceled End = "canceled"
)

type (
	// Mark is what marks the end of a body.
	Mark int

	// End is how the end of a body was seen, empty while the body has not ended.
	End string

	// Answer is an answer of one server, as far as its end is concerned.
	Answer struct {
		Status int
		Mark   Mark
		End    End
		// Events is the number of events of a stream that were passed on.
		Events int
		// Partial means that bytes of a further event followed them.
		Partial bool
	}
)

func (m Mark) String() string { return [...]string{"close", "length", "chunks"}[m] }

// String returns the fields for a log, separated by colons.
func (a Answer) String() string {
	fields := []string{strconv.Itoa(a.Status), a.Mark.String(), string(a.End), strconv.Itoa(a.Events)}
	if a.Partial {
		fields = append(fields, "partial")
	}
	return strings.Join(fields, ":")
}
