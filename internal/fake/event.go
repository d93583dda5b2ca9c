package fake

import (
	"bytes"
	"encoding/json"
	"strconv"
	"time"

	"github.com/juju/errors"

	iobackend "rosereach/io/backend"
)

// Placeholders for text and offset in the encoded event, which is split there.
const (
	textPlaceholder         = "@@text@@"
	offsetPlaceholder int64 = 987654321987654321
)

// eventWriter formats the events of one stream. Only text and offset differ
// between them, so the rest is encoded once.
type eventWriter struct {
	sequence           *sequence
	head, middle, tail []byte
}

func newEventWriter(s *sequence, at time.Time) (*eventWriter, error) {
	data, err := json.Marshal(iobackend.NewChunk(s.id, s.ref, at, offsetPlaceholder, textPlaceholder))
	if err != nil {
		return nil, errors.Trace(err)
	}
	head, rest, _ := bytes.Cut(data, []byte(textPlaceholder))
	middle, tail, found := bytes.Cut(rest, strconv.AppendInt(nil, offsetPlaceholder, 10))
	if !found {
		return nil, errors.New("the encoded chunk has no offset after its text")
	}
	return &eventWriter{
		sequence: s, head: append([]byte("data: "), head...), middle: middle, tail: append(tail, "\n\n"...),
	}, nil
}

// append appends the event of the n-th token of the whole answer.
func (e *eventWriter) append(b []byte, n int64) []byte {
	b = append(b, e.head...)
	b = e.sequence.appendToken(b, n)
	b = append(b, e.middle...)
	b = strconv.AppendInt(b, n, 10)
	return append(b, e.tail...)
}

// appendEnd appends the events that end an answer.
func (e *eventWriter) appendEnd(b []byte, at time.Time) []byte {
	data, err := json.Marshal(iobackend.NewEndChunk(e.sequence.id, e.sequence.ref, at, e.sequence.usage))
	if err != nil {
		return b
	}
	b = append(b, "data: "...)
	b = append(b, data...)
	return append(b, "\n\ndata: [DONE]\n\n"...)
}
