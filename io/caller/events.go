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

// slowTimeout is how long a caller may take no byte of its answer before it
// counts as gone.
const slowTimeout = 10 * time.Second

// eventSink streams an answer to a caller as server-sent events. Tokens that
// come together are written together.
type eventSink struct {
	w       http.ResponseWriter
	control *http.ResponseController
	id      string
	clock   clock.Clock
	buffer  []byte
	started bool
}

func newEventSink(w http.ResponseWriter, id string, c clock.Clock) *eventSink {
	return &eventSink{w: w, control: http.NewResponseController(w), id: id, clock: c}
}

// Text sends one event for each token.
func (e *eventSink) Text(ref version.Ref, offset int64, tokens []string) error {
	e.start(ref)
	for i, token := range tokens {
		if err := e.add(iobackend.NewChunk(e.id, ref, e.clock.Now(), offset+int64(i), token)); err != nil {
			return err
		}
	}
	return e.flush()
}

// end says that the answer is whole.
func (e *eventSink) end(a request.Answer) {
	if !e.started {
		setAnswerHeaders(e.w.Header(), a)
	}
	e.start(a.Version)
	if e.add(iobackend.NewEndChunk(e.id, a.Version, e.clock.Now(), a.Usage)) != nil {
		return
	}
	e.buffer = append(e.buffer, "data: [DONE]\n\n"...)
	e.flush() //nolint:errcheck // the caller has gone; the answer is recorded
}

// fail ends a started answer with an error event, so that a cut answer is
// never taken for a whole one.
func (e *eventSink) fail(err error) {
	failure := struct {
		Error Problem `json:"error"`
	}{problemOf(err)}
	if e.add(failure) == nil {
		e.flush() //nolint:errcheck // the caller has gone
	}
}

func (e *eventSink) start(ref version.Ref) {
	if e.started {
		return
	}
	e.started = true
	e.w.Header().Set("Content-Type", "text/event-stream")
	e.w.Header().Set(HeaderVersion, ref.String())
	e.w.WriteHeader(http.StatusOK)
}

func (e *eventSink) add(event any) error {
	data, err := json.Marshal(event)
	if err != nil {
		return errors.Trace(err)
	}
	e.buffer = append(e.buffer, "data: "...)
	e.buffer = append(e.buffer, data...)
	e.buffer = append(e.buffer, "\n\n"...)
	return nil
}

// flush writes what was added. A caller that takes nothing for long is given
// up.
func (e *eventSink) flush() error {
	err := e.control.SetWriteDeadline(e.clock.Now().Add(slowTimeout))
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		return errors.Trace(err)
	}
	_, err = e.w.Write(e.buffer)
	e.buffer = e.buffer[:0]
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(e.control.Flush())
}
