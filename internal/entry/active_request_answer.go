package entry

import (
	"context"
	"io"
	"net/http"

	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"rosereach/core/forward"
	"rosereach/core/framing"
	"rosereach/core/placement"
	"rosereach/core/route"
	"rosereach/io/upstream"
)

// retriesAfterEscalation is the number of retries that an escalation leaves in the budget.
// The answer at hand is dropped for it: if the larger model's server refuses, there has to
// be a retry for another.
const retriesAfterEscalation = 1

// handleAnswer handles an answer whose header has arrived.
func (x *activeRequest) handleAnswer(ctx context.Context, cancel context.CancelCauseFunc, a *attempt, answer *upstream.Answer) (forward.Outcome, error) {
	a.answer = framing.Answer{Status: a.head.Status, Mark: answer.Framing, End: framing.Canceled}
	defer func() { x.answers = append(x.answers, a.answer.String()) }()
	if a.head.Slots > 0 {
		x.forwarder.recordLoad(a.server, a.head.Running, a.head.Waiting)
	}
	if !a.head.Answers(x.req.ID) {
		answer.Discard()
		x.recordRun(a)
		x.tried = append(x.tried, a.server.ID)
		return forward.Unknown, errors.Trace(upstream.ErrForeign)
	}
	if a.head.Refused {
		_, err := io.CopyN(io.Discard, answer, maxBufferedBytes)
		a.answer.End = answer.EndBy(err)
		answer.Close()
		x.tried = append(x.tried, a.server.ID)
		if a.head.Misdirected {
			x.forwarder.recordFailure(a, x, true)
		}
		return forward.NotRun, errors.Errorf("the server did not run the request: status %d, draining its body: %v", a.head.Status, err)
	}
	x.recordRun(a)
	if x.headSent && !a.head.Continues(x.sentStatus) {
		answer.Discard()
		x.tried = append(x.tried, a.server.ID)
		if a.head.IsFailure() {
			x.forwarder.recordFailure(a, x, false)
		}
		return forward.Failed, errors.Annotatef(errNotContinued, "status %d", a.head.Status)
	}
	if x.escalate(ctx, a) {
		answer.Discard()
		return forward.Failed, errors.Trace(errLowConfidence)
	}
	if x.route.Kind == route.Streaming && a.head.Status/100 == 2 {
		return x.forwardStream(ctx, cancel, a, answer)
	}
	return x.forwardWhole(ctx, cancel, a, answer)
}

// begin sends the head of an answer to the caller.
func (x *activeRequest) begin(status int, header http.Header, mark framing.Mark, length int64) {
	x.callerMark = x.sink.Begin(status, header, mark, length).String()
	x.forwarder.entry.stopLog.begun.Add(1)
}

// beginWhole sends the head of an answer whose body has been read. One whose end nothing but
// its connection marks may have been cut: it gets no other mark from this entry.
func (x *activeRequest) beginWhole(status int, header http.Header, mark framing.Mark, body forward.Body) {
	if mark == framing.ByClose {
		x.begin(status, header, framing.ByClose, -1)
		return
	}
	x.begin(status, header, framing.ByLength, int64(body.Len()))
}

// escalate decides whether to drop a low-confidence answer and ask a larger
// model. If so, it places the next attempt, at a server that can be reached. The answer
// must not have been forwarded in part.
func (x *activeRequest) escalate(ctx context.Context, a *attempt) bool {
	if !x.req.AnyModel || x.headSent || a.head.Status/100 != 2 || a.head.Confidence < 0 || !forward.MayChoose(x.route, x.runs) {
		return false
	}
	previous := x.model
	larger, ok := x.forwarder.sizes.Largest(x.route.Models, previous)
	if !ok {
		return false
	}
	x.model = larger
	next, ok := x.forwarder.chooseServer(x)
	if ok {
		spent := x.forwarder.entry.cfg.Clock.Now().Sub(x.req.Arrived)
		lateRisk := placement.LateRisk(spent+next.expected, x.route.Objective)
		ok = x.forwarder.sizes.ShouldEscalate(a.head.Confidence, lateRisk, next.meanQueued) && x.mayReplace(false, next) &&
			(x.forwarder.client.HasIdle(next.server.Address, viaOf(next.homes)) || x.connect(ctx, next)) && x.forwarder.takeRetryLeaving(x.service, false, retriesAfterEscalation)
		if ok {
			x.logEscalation(a, lateRisk, next.meanQueued)
		}
	}
	if !ok {
		x.model = previous
		return false
	}
	x.model, larger = previous, x.model
	x.forwarder.recordDropped(a, x)
	x.model = larger
	x.forwarder.commitAttempt(next)
	x.nextAttempt = next
	x.spent++
	return true
}

// writeBody writes the body of an answer to the caller.
func (x *activeRequest) writeBody(body forward.Body) error {
	if len(body) == 0 {
		return x.sink.Write(nil)
	}
	for _, piece := range body {
		if err := x.sink.Write(piece); err != nil {
			return err
		}
	}
	return nil
}

// mayBeCut reports whether a success of which only its connection marks the end may be a part: its
// server takes no more connections. The kernel of one that is killed ends them in order. A request
// that may not run again is better served by what there is.
func (x *activeRequest) mayBeCut(ctx context.Context, a *attempt, answer *upstream.Answer) bool {
	return answer.Framing == framing.ByClose && a.head.Status/100 == 2 && x.route.IsRetryable() && !x.forwarder.isThere(ctx, a) && ctx.Err() == nil
}

// forwardWhole buffers an answer before forwarding it, so that the request can
// be retried if the answer breaks off.
func (x *activeRequest) forwardWhole(ctx context.Context, cancel context.CancelCauseFunc, a *attempt, answer *upstream.Answer) (forward.Outcome, error) {
	watch := x.startIdleTimer(ctx, cancel, errStalled, a, x.bodyTimeouts())
	defer watch.stop()
	body, err := readWhole(a.room, answer)
	switch {
	case err != nil:
		a.answer.End = answer.EndBy(err)
	case body.Len() <= maxBufferedBytes:
		a.answer.End = answer.EndBy(io.EOF)
	}
	x.takeOver(watch)
	x.tried = append(x.tried, a.server.ID)
	if errors.Is(err, errNoRoom) {
		answer.Discard()
		x.abandoned = true // there is no more room for the next answer
		return forward.Incomplete, err
	}
	if err != nil || body.Len() > maxBufferedBytes {
		answer.Discard()
		if ctx.Err() == nil || errors.Is(context.Cause(ctx), errStalled) {
			x.forwarder.recordFailure(a, x, false)
		}
		if ctx.Err() == nil && err != nil {
			x.recordEnd(ctx, a)
		}
		return forward.Incomplete, errors.Errorf("reading the answer failed after %d bytes: %v", body.Len(), err)
	}
	a.room.Keep()
	answer.Close()
	if x.mayBeCut(ctx, a, answer) {
		x.forwarder.recordFailure(a, x, true)
		x.recordEnd(ctx, a)
		return forward.Incomplete, errors.Annotatef(errIncomplete, "the server is gone after %d bytes", body.Len())
	}
	if a.head.IsFailure() {
		x.forwarder.recordFailure(a, x, false)
	} else {
		x.forwarder.recordSuccess(a, x)
	}
	switch {
	case !forward.MayPassOn(x.route, a.head, x.runs):
		return forward.Failed, errors.Annotatef(errFalsePromise, "status %d", a.head.Status)
	case a.head.Status >= http.StatusInternalServerError:
		x.fallback = &fallbackAnswer{status: answer.Status, header: answer.Header, mark: answer.Framing, body: body}
		return forward.Failed, errors.Errorf("status %d", a.head.Status)
	}
	x.beginWhole(answer.Status, answer.Header, answer.Framing, body)
	if err := x.writeBody(body); err != nil {
		x.callerCut = true
		level.Debug(x.forwarder.entry.cfg.Logger).Log("msg", "Failed to write the answer to the caller.", "id", x.req.ID, "err", err)
	}
	return "", nil
}
