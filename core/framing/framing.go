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

	// Stream is what is known of a stream of events when an answer to it ends in order
	// after a whole event.
	Stream struct {
		// Extended means that the answer had events that the caller did not have.
		Extended bool
		// Begun means that the caller has events, of this answer or of others.
		Begun bool
		// MoreSeen means that an event, or a part of one, was seen that the caller does not
		// have.
		MoreSeen bool
		// Claimed means that one server wrote what may belong to such an event.
		Claimed bool
		// Confirmations is the number of framed answers, this one included, by which nothing
		// follows the last event.
		Confirmations int
		// Closes is the number of answers, this one included, that ended with their connections
		// after the last event, and whose servers have not ended with them.
		Closes int
		// Last means that the attempts are used up.
		Last bool
		// CanAsk means that another server may be asked for what follows.
		CanAsk bool
		// TimeUp means that the time that the server was given is over.
		TimeUp bool
	}
)

func (m Mark) String() string { return [...]string{"close", "length", "chunks"}[m] }

// minConfirmations is the number of answers that have to agree on the end of a stream. One may come
// from a server that fails at once.
const minConfirmations = 2

// EndsStream reports whether the end of an answer with the mark ends the stream. Servers that
// are killed, and those that fail at once, end answers in order as well: where another server
// may be asked, the end of a connection is no end, and an answer without events needs another
// one that agrees. None ends a stream of which more was seen; what only one server claims is
// outweighed by two that agree. When no proof can be had any more, servers that agree on the end
// make up for it, however they tell. A server whose time is over may have stopped in the middle, which a
// length shows and chunks don't.
func (m Mark) EndsStream(s Stream) bool {
	switch {
	case s.MoreSeen, s.TimeUp && m != ByLength, s.Claimed && s.Confirmations < minConfirmations:
		return false
	case s.Last && s.IsAgreed():
		return true
	case m == ByClose:
		return s.Extended && !s.CanAsk
	}
	return s.Extended || s.Begun && (s.Confirmations >= minConfirmations || !s.CanAsk)
}

// IsAgreed reports whether servers agree that the caller has the whole stream, as far as that can
// be known without another answer. One that closes its connection in order has sent its whole
// answer, if it has not been killed.
func (s Stream) IsAgreed() bool {
	return s.Begun && !s.MoreSeen && !s.Claimed && s.Confirmations+s.Closes >= minConfirmations
}

// String returns the fields for a log, separated by colons.
func (a Answer) String() string {
	fields := []string{strconv.Itoa(a.Status), a.Mark.String(), string(a.End), strconv.Itoa(a.Events)}
	if a.Partial {
		fields = append(fields, "partial")
	}
	return strings.Join(fields, ":")
}
