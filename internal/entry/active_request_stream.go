package entry

import (
	"context"
	"io"

	"github.com/juju/errors"

	"rosereach/core/forward"
	"rosereach/core/stream"
	"rosereach/io/upstream"
)

// streamBuffer is the size, in bytes, of the buffer for reading a stream.
const streamBuffer = 8 << 10

// passStream forwards events as they arrive, each complete and exactly once.
// If the stream breaks, the next attempt resumes after the last forwarded
// event.
func (x *passage) passStream(ctx context.Context, cancel context.CancelCauseFunc, a *attempt, answer *upstream.Answer) (forward.Outcome, error) {
	order := stream.NewOrder(x.last)
	var splitter stream.Splitter
	watch := x.watchSilence(cancel, errStalled, a, x.eventPatience())
	defer watch.stop()
	buffer := make([]byte, streamBuffer)
	lastBefore := x.last
	for {
		n, err := answer.Read(buffer)
		if n > 0 {
			watch.heard()
		}
		if failed := x.passEvents(a, answer, &order, splitter.Push(buffer[:n])); failed != nil {
			return x.broken(ctx, a, answer, failed, false)
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) && splitter.Rest() == 0 && order.Last() > lastBefore:
			answer.Close()
			return "", nil
		default:
			return x.broken(ctx, a, answer, errors.Annotatef(errCut, "%v", err), watch.isDead())
		}
	}
}

// passEvents forwards the events that the caller has not received yet.
func (x *passage) passEvents(a *attempt, answer *upstream.Answer, order *stream.Order, events []stream.Event) error {
	for _, e := range events {
		isNew, err := order.Admit(e)
		if err != nil {
			return err
		}
		if !isNew {
			continue
		}
		if !a.answered {
			a.answered = true
			x.f.succeed(a, x)
		}
		if err := x.show(answer, e.Raw); err != nil {
			return err
		}
		x.last = order.Last()
	}
	return nil
}

// show forwards an event, preceded by the answer's header if it is the
// first.
func (x *passage) show(answer *upstream.Answer, raw []byte) error {
	if !x.begun {
		x.begun = true
		x.sink.Begin(answer.Status, answer.Header, -1)
	}
	if err := x.sink.Write(raw); err != nil {
		return errors.Annotatef(errCaller, "%v", err)
	}
	return nil
}

// broken ends an attempt whose stream broke off. Dead means that
// the server is silent on all connections.
func (x *passage) broken(ctx context.Context, a *attempt, answer *upstream.Answer, err error, dead bool) (forward.Outcome, error) {
	answer.Discard()
	x.tried = append(x.tried, a.server.ID)
	callerLeft := errors.Is(err, errCaller)
	if !callerLeft && ctx.Err() == nil || errors.Is(context.Cause(ctx), errStalled) {
		x.f.fail(a, x, dead)
	}
	return forward.Broken, err
}
