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
	// slowTimeout is how long a caller may take no byte of its answer before it
	// counts as gone.
	slowTimeout = 10 * time.Second

	eventStart = "data: "
	eventEnd   = "\n\n"

	// slowCheck is how often the deadline for the caller is moved.
	slowCheck = time.Second
)

// eventSink streams an answer to a caller as server-sent events. Tokens that
// come together are written together.
type eventSink struct {
	w       http.ResponseWriter
	control *http.ResponseController
	id      string
	clock   clock.Clock
	began   time.Time
	layout  iobackend.Layout
	buffer  []byte
	started bool
	checked time.Time
}

func newEventSink(w http.ResponseWriter, id string, c clock.Clock) *eventSink {
	return &eventSink{w: w, control: http.NewResponseController(w), id: id, clock: c, began: c.Now()}
}

// Text sends one event for each token.
func (e *eventSink) Text(ref version.Ref, offset int64, tokens []string) error {
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

// end says that the answer is whole.
func (e *eventSink) end(a request.Answer) {
	if !e.started {
		setAnswerHeaders(e.w.Header(), a)
	}
	if e.start(a.Version) != nil || e.add(iobackend.NewEndChunk(e.id, a.Version, e.began, a.Usage)) != nil {
		return
	}
	e.buffer = append(e.buffer, eventStart+"[DONE]"+eventEnd...)
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

// start sends the headers once, and learns what the chunks have in common.
func (e *eventSink) start(ref version.Ref) error {
	if e.started {
		return nil
	}
	chunk, err := json.Marshal(iobackend.NewChunk(e.id, ref, e.began, 0, ""))
	if err != nil {
		return errors.Trace(err)
	}
	layout, ok := iobackend.LearnLayout(chunk)
	if !ok {
		return errors.Errorf("chunk without text and offset: %s", chunk)
	}
	e.layout = layout
	e.started = true
	e.w.Header().Set("Content-Type", "text/event-stream")
	e.w.Header().Set(HeaderVersion, ref.String())
	e.w.WriteHeader(http.StatusOK)
	return nil
}

func (e *eventSink) add(event any) error {
	data, err := json.Marshal(event)
	if err != nil {
		return errors.Trace(err)
	}
	e.buffer = append(e.buffer, eventStart...)
	e.buffer = append(e.buffer, data...)
	e.buffer = append(e.buffer, eventEnd...)
	return nil
}

// flush writes what was added. A caller that takes nothing for long is given
// up.
func (e *eventSink) flush() error {
	if err := e.moveDeadline(); err != nil {
		return err
	}
	_, err := e.w.Write(e.buffer)
	e.buffer = e.buffer[:0]
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(e.control.Flush())
}

func (e *eventSink) moveDeadline() error {
	now := e.clock.Now()
	if now.Sub(e.checked) < slowCheck {
		return nil
	}
	e.checked = now
	err := e.control.SetWriteDeadline(now.Add(slowTimeout))
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		return errors.Trace(err)
	}
	return nil
}
