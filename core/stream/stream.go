// Package stream takes an event stream apart and keeps its events whole and in
// order across the backend servers that produce it.
package stream

import (
	"bytes"
	"strconv"

	"github.com/juju/errors"
)

// ErrGap is the cause when events are missing from a stream.
const ErrGap = errors.ConstError("events are missing from the stream")

type (
	// Event is one event of a text/event-stream, with the blank line that ends
	// it. ID is 0 when it has none.
	Event struct {
		ID  uint64
		Raw []byte
	}

	// Splitter cuts bytes into whole events.
	Splitter struct {
		rest []byte
	}

	// Order lets each event through once, in the order of their ids.
	Order struct {
		last uint64
	}
)

// Push adds bytes and returns the events that are whole now.
func (s *Splitter) Push(p []byte) []Event {
	s.rest = append(s.rest, p...)
	var events []Event
	for {
		end := endOf(s.rest)
		if end < 0 {
			return events
		}
		raw := bytes.Clone(s.rest[:end])
		s.rest = s.rest[end:]
		events = append(events, Event{ID: idOf(raw), Raw: raw})
	}
}

// Rest returns how many bytes belong to an event that is not whole.
func (s *Splitter) Rest() int { return len(bytes.TrimSpace(s.rest)) }

// NewOrder returns the order of a stream whose caller has the events up to an
// id, 0 for none.
func NewOrder(after uint64) Order { return Order{last: after} }

// Last returns the id of the last event that was let through.
func (o *Order) Last() uint64 { return o.last }

// Admit reports whether the event is to be passed on. One that was passed on
// already is not; the error's cause is ErrGap when some are missing before it.
func (o *Order) Admit(e Event) (bool, error) {
	switch {
	case e.ID == 0:
		return true, nil
	case e.ID <= o.last:
		return false, nil
	case o.last > 0 && e.ID != o.last+1:
		return false, errors.Annotatef(ErrGap, "event %d after %d", e.ID, o.last)
	}
	o.last = e.ID
	return true, nil
}

// endOf returns the length of the first whole event, or -1.
func endOf(b []byte) int {
	end := -1
	for _, blank := range []string{"\n\n", "\r\n\r\n"} {
		if at := bytes.Index(b, []byte(blank)); at >= 0 && (end < 0 || at+len(blank) < end) {
			end = at + len(blank)
		}
	}
	return end
}

func idOf(raw []byte) uint64 {
	for _, line := range bytes.Split(raw, []byte("\n")) {
		value, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("id:"))
		if !ok {
			continue
		}
		if id, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64); err == nil {
			return id
		}
	}
	return 0
}
