package entry

import (
	"context"
	"strings"

	"github.com/juju/errors"

	"rosereach/core/request"
	"rosereach/core/version"
	iobackend "rosereach/io/backend"
	"rosereach/io/caller"
)

// maxRecordedBytes bounds the text of an answer that the ledger keeps.
const maxRecordedBytes = 64 << 10

type (
	// output orders the pieces of an answer and holds them back until the
	// begin record is durable.
	output struct {
		sink  caller.Sink
		begun func(context.Context) error
		ready bool
		next  int64
		text  strings.Builder
		gone  error
	}
)

// take passes on the piece's tokens that are new. A gap is an error, so that
// an answer is never put together from parts that do not follow each other.
func (o *output) take(ctx context.Context, ref version.Ref, p iobackend.Piece) error {
	if !o.ready {
		if err := o.begun(ctx); err != nil {
			return err
		}
		o.ready = true
	}
	if p.Offset < o.next {
		return nil
	}
	if p.Offset > o.next {
		return errors.Errorf("answer jumps from token %d to %d", o.next, p.Offset)
	}
	o.next++
	o.text.WriteString(p.Text)
	if o.gone == nil {
		o.gone = o.sink.Text(ref, p.Offset, p.Text)
	}
	return o.gone
}

// answer returns the end record of the whole answer.
func (o *output) answer(ref version.Ref, backend string, usage request.Usage) request.Answer {
	a := request.Answer{
		Outcome: request.Done, Status: 200, ContentType: "text/plain", Version: ref, Backend: backend, Usage: usage,
		Body: []byte(o.text.String()),
	}
	if len(a.Body) > maxRecordedBytes {
		a.Body = nil
		a.Code = request.CodeAnswerNotKept
	}
	return a
}
