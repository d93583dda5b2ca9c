// Package stream splits a text/event-stream into events and keeps their order when
// another backend server resumes the stream.
package stream

import (
	"bytes"
	"strconv"
	"unicode"

	"github.com/juju/errors"
)

const (
	// ErrGap is the cause of an error when events are missing from a stream.
	ErrGap = errors.ConstError("events are missing from the stream")

	// ErrNoEvent is the cause of an error when bytes are no event of a stream.
	ErrNoEvent = errors.ConstError("the stream holds something else than events")

	// ErrTooLong is the cause of an error when an event is longer than MaxEventBytes.
	ErrTooLong = errors.ConstError("an event of the stream is too long")
)

// MaxEventBytes is the largest event in bytes.
const MaxEventBytes = 1 << 20

// byteOrderMark may begin a stream.
const byteOrderMark = "\ufeff"

// maxSpentBytes is how much of a buffer is kept whose events were returned.
const maxSpentBytes = 16 << 10

type (
	// Event is one event of a text/event-stream.
	Event struct {
		// ID is the event's id, 0 for none.
		ID uint64
		// Raw holds the event's bytes with the blank line that ends it.
		Raw []byte
	}

	// Splitter splits bytes into complete events.
	Splitter struct {
		buffer []byte
		// searched is the number of bytes of buffer without the end of an event.
		searched int
	}

	// Sequencer passes each event once, in the order of the ids, and detects gaps.
	Sequencer struct {
		lastID uint64
		jumps  bool // the ids grow by more than one
	}

	// Gap is where an id is not the next one, as a server shows it.
	Gap struct {
		Server string
		// After and Before are the ids of the events around it.
		After, Before uint64
	}
)

// Push adds bytes and returns the events that they complete, and an error with the cause
// ErrTooLong if the event after them is too long.
func (s *Splitter) Push(p []byte) ([]Event, error) {
	s.buffer = append(s.buffer, p...)
	var events []Event
	spent := 0
	for {
		// A blank line may have begun in the bytes that were searched.
		from := max(s.searched-len("\r\n\r"), 0)
		end := eventEnd(s.buffer[from:])
		if end < 0 {
			break
		}
		raw := bytes.Clone(s.buffer[:from+end])
		s.buffer, s.searched = s.buffer[from+end:], 0
		spent += from + end
		events = append(events, Event{ID: eventID(raw), Raw: raw})
	}
	if spent > maxSpentBytes {
		s.buffer = bytes.Clone(s.buffer)
	}
	s.searched = len(s.buffer)
	if len(s.buffer) > MaxEventBytes {
		return events, errors.Annotatef(ErrTooLong, "%d bytes without an end", len(s.buffer))
	}
	return events, nil
}

// Len returns the number of buffered bytes.
func (s *Splitter) Len() int { return len(s.buffer) }

// Buffered returns the number of buffered bytes of an incomplete event, without
// surrounding white space.
func (s *Splitter) Buffered() int { return len(bytes.TrimSpace(s.buffer)) }

// Rest returns the buffered bytes.
func (s *Splitter) Rest() []byte { return s.buffer }

// IsAtEnd reports whether nothing is buffered but comments and white space.
func (s *Splitter) IsAtEnd() bool { return firstLine(s.buffer) == nil }

// Partial returns the id of the incomplete event that is buffered, 0 if it is not known, and
// whether there is one. Comments, and bytes with which no event begins, are none.
func (s *Splitter) Partial() (id uint64, ok bool) {
	if !isField(firstLine(s.buffer)) {
		return 0, false
	}
	// The last line may be cut.
	whole := s.buffer[:bytes.LastIndexByte(s.buffer, '\n')+1]
	return eventID(whole), true
}

// IsContent reports whether the event has an id or data. Comments and changes of the retry
// time have neither.
func (e Event) IsContent() bool {
	if e.ID > 0 {
		return true
	}
	for line := range bytes.Lines(e.Raw) {
		if bytes.HasPrefix(line, []byte("data")) {
			return true
		}
	}
	return false
}

// firstLine returns the first line that is neither empty nor a comment, nil if there is none.
func firstLine(text []byte) []byte {
	for line := range bytes.Lines(text) {
		if line = bytes.TrimSpace(line); len(line) > 0 && line[0] != ':' {
			return line
		}
	}
	return nil
}

// isField reports whether a line, which may be cut, is a field of an event, behind a byte order mark if
// the line is a stream's first.
func isField(line []byte) bool {
	name, _, _ := bytes.Cut(bytes.TrimPrefix(line, []byte(byteOrderMark)), []byte(":"))
	return len(name) > 0 && !bytes.ContainsFunc(name, func(r rune) bool {
		return r != '-' && r != '_' && !unicode.IsLetter(r) && !unicode.IsDigit(r)
	})
}

// NewSequencer returns a sequencer for a stream whose caller has received the
// events up to the id after, 0 for none.
func NewSequencer(after uint64) Sequencer { return Sequencer{lastID: after} }

// WithJumps returns a sequencer of a stream whose ids grow by more than one.
func (s Sequencer) WithJumps() Sequencer {
	s.jumps = true
	return s
}

// IsAt reports whether another server shows the same gap: nothing is missing then.
func (g Gap) IsAt(other Gap) bool {
	return g.Server != other.Server && g.After == other.After && g.Before == other.Before
}

// LastID returns the id of the last event that was passed, 0 for none.
func (s *Sequencer) LastID() uint64 { return s.lastID }

// Admit reports whether to pass the event on. It returns false for a duplicate, and
// an error with the cause ErrGap when events are missing before this one, or ErrNoEvent when
// it begins with no field. Events without an id always pass, and so does the first event of a caller
// that has none.
func (s *Sequencer) Admit(e Event) (bool, error) {
	switch {
	case e.ID == 0 && firstLine(e.Raw) != nil && !isField(firstLine(e.Raw)):
		return false, errors.Annotatef(ErrNoEvent, "%.40q", e.Raw)
	case e.ID == 0:
		return true, nil
	case e.ID <= s.lastID:
		return false, nil
	case s.lastID > 0 && e.ID != s.lastID+1 && !s.jumps:
		return false, errors.Annotatef(ErrGap, "event %d follows event %d", e.ID, s.lastID)
	}
	s.lastID = e.ID
	return true, nil
}

// eventEnd returns the length of the first complete event, or -1.
func eventEnd(b []byte) int {
	end := -1
	for _, blank := range []string{"\n\n", "\r\n\r\n"} {
		if i := bytes.Index(b, []byte(blank)); i >= 0 && (end < 0 || i+len(blank) < end) {
			end = i + len(blank)
		}
	}
	return end
}

// eventID returns the event's id, or 0 when it has no numeric one.
func eventID(raw []byte) uint64 {
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
