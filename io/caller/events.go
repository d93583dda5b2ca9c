package caller

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/clock"
	"github.com/juju/errors"

	"rosereach/core/request"
	"rosereach/core/version"
	iobackend "rosereach/io/backend"
)

const (
	// writeStallTimeout is how long a caller may read nothing of its answer before the
	// entry closes the connection.
	writeStallTimeout = 10 * time.Second

	eventStart = "data: "
	eventEnd   = "\n\n"

	// deadlineInterval is the minimum interval between updates of the write deadline.
	deadlineInterval = time.Second
)

// eventSink streams an answer to a caller as server-sent events. It writes tokens
// that arrive together in one write.
type eventSink struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	id         string
	clock      clock.Clock
	// createdAt is the time of creation that all chunks carry.
	createdAt time.Time
	layout    iobackend.Layout
	// buffer holds events that are not yet written.
	buffer []byte
	// started is set once the headers are sent.
	started bool
	// deadlineSetAt is when the write deadline was last updated.
	deadlineSetAt time.Time
}

func newEventSink(w http.ResponseWriter, id string, c clock.Clock) *eventSink {
	return &eventSink{w: w, controller: http.NewResponseController(w), id: id, clock: c, createdAt: c.Now()}
}

// WriteTokens sends one event for each token.
func (e *eventSink) WriteTokens(ref version.Ref, offset int64, tokens []string) error {
	if err := e.start(ref); err != nil {
		return err
	}
	for i, token := range tokens {
		e.buffer = append(e.buffer, eventStart...)
		e.buffer = e.layout.Append(e.buffer, offset+int64(i), token)
		e.buffer = append(e.buffer, eventEnd...)
	}
	return e.flush()
}

// writeEnd writes the last chunk and the end marker of a complete answer.
func (e *eventSink) writeEnd(a request.Answer) {
	if !e.started {
		setAnswerHeaders(e.w.Header(), a)
	}
	if e.start(a.Version) != nil || e.appendEvent(iobackend.NewEndChunk(e.id, a.Version, e.createdAt, a.Usage)) != nil {
		return
	}
	e.buffer = append(e.buffer, eventStart+"[DONE]"+eventEnd...)
	e.flush() //nolint:errcheck // the caller has disconnected; the answer is recorded
}

// writeError ends a started answer with an error event, so that a client does not
// treat an incomplete answer as complete.
func (e *eventSink) writeError(err error) {
	failure := struct {
		Error Problem `json:"error"`
	}{newProblem(err)}
	if e.appendEvent(failure) == nil {
		e.flush() //nolint:errcheck // the caller has disconnected
	}
}

// start sends the headers on the first call and derives the layout of the chunks.
func (e *eventSink) start(ref version.Ref) error {
	if e.started {
		return nil
	}
	chunk, err := json.Marshal(iobackend.NewChunk(e.id, ref, e.createdAt, 0, ""))
	if err != nil {
		return errors.Trace(err)
	}
	layout, ok := iobackend.ParseLayout(chunk)
	if !ok {
		return errors.Errorf("chunk has no text and offset: %s", chunk)
	}
	e.layout = layout
	e.started = true
	e.w.Header().Set("Content-Type", "text/event-stream")
	e.w.Header().Set(HeaderVersion, ref.String())
	e.w.WriteHeader(http.StatusOK)
	return nil
}

// appendEvent appends an event to the buffer.
func (e *eventSink) appendEvent(event any) error {
	data, err := json.Marshal(event)
	if err != nil {
		return errors.Trace(err)
	}
	e.buffer = append(e.buffer, eventStart...)
	e.buffer = append(e.buffer, data...)
	e.buffer = append(e.buffer, eventEnd...)
	return nil
}

// flush writes the buffered events. It fails for a caller that has read nothing
// until the write deadline.
func (e *eventSink) flush() error {
	if err := e.extendDeadline(); err != nil {
		return err
	}
	_, err := e.w.Write(e.buffer)
	e.buffer = e.buffer[:0]
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(e.controller.Flush())
}

// extendDeadline extends the write deadline, at most once per
// deadlineInterval.
func (e *eventSink) extendDeadline() error {
	now := e.clock.Now()
	if now.Sub(e.deadlineSetAt) < deadlineInterval {
		return nil
	}
	e.deadlineSetAt = now
	err := e.controller.SetWriteDeadline(now.Add(writeStallTimeout))
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		return errors.Trace(err)
	}
	return nil
}
