package entry

import (
	"io"

	"github.com/juju/errors"

	"rosereach/core/forward"
	"rosereach/core/stream"
	"rosereach/internal/httpd"
)

// growingCost is the memory of a byte in a buffer that grows.
const growingCost = 2

type (
	// heldReader takes room for what it reads.
	heldReader struct {
		r    io.Reader
		room *httpd.AnswerRoom
		cost int64 // memory of a byte
	}

	// heldSplitter takes room for the event that is incomplete, and for complete ones until they
	// are sent.
	heldSplitter struct {
		stream.Splitter
		room      *httpd.AnswerRoom
		droppedID uint64 // of the last event that was dropped, 0 for none
	}
)

// Read implements io.Reader.
func (h heldReader) Read(p []byte) (int, error) {
	n, err := h.r.Read(p)
	if n > 0 && !h.room.Add(h.cost*int64(n)) {
		return 0, errors.Trace(errNoRoom)
	}
	return n, err
}

// push is Push with room for the events until sent is called. Without it they are dropped, and the
// error is errNoRoom.
func (s *heldSplitter) push(p []byte) ([]stream.Event, error) {
	before := s.Len()
	events, err := s.Push(p)
	var n int64
	for _, e := range events {
		n += int64(len(e.Raw))
	}
	if !s.room.Add(growingCost*int64(s.Len()-before)) || !s.room.Send(n) {
		for _, e := range events {
			s.droppedID = max(s.droppedID, e.ID)
		}
		return nil, errors.Trace(errNoRoom)
	}
	return events, err
}

// sent records that the events were sent or dropped.
func (s *heldSplitter) sent() { s.room.Sent() }

// readWhole reads an answer to its end, or to a byte more than is buffered. It takes room as it
// arrives.
func readWhole(room *httpd.AnswerRoom, answer io.Reader) (forward.Body, error) {
	first, err := io.ReadAll(heldReader{io.LimitReader(answer, growingBytes), room, growingCost})
	if err != nil || len(first) < growingBytes {
		return forward.BodyOf(first), err
	}
	rest, err := forward.ReadBody(heldReader{io.LimitReader(answer, maxBufferedBytes+1-growingBytes), room, 1}, -1)
	return append(forward.BodyOf(first), rest...), err
}
