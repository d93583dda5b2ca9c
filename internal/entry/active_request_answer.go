package entry

import (
	"context"
	"io"
	"net/http"

	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"rosereach/core/forward"
	"rosereach/core/placement"
	"rosereach/core/route"
	"rosereach/io/upstream"
)

// receive handles an answer whose header has arrived.
func (x *passage) receive(ctx context.Context, cancel context.CancelCauseFunc, a *attempt, answer *upstream.Answer) (forward.Outcome, error) {
	x.f.observe(a)
	if a.head.Echo != "" && a.head.Echo != x.req.ID {
		answer.Discard()
		x.runs++
		x.tried = append(x.tried, a.server.ID)
		return forward.Unknown, errors.Trace(errForeign)
	}
	if a.head.Refused {
		_, err := io.CopyN(io.Discard, answer, maxBuffered)
		answer.Close()
		x.tried = append(x.tried, a.server.ID)
		if a.head.Wrong {
			x.f.fail(a, x, true)
		}
		return forward.NotRun, errors.Errorf("the server did not run the request: status %d, draining its body: %v", a.head.Status, err)
	}
	x.runs++
	if x.escalates(a) {
		answer.Discard()
		return forward.Failed, errors.Trace(errDoubted)
	}
	if x.route.Kind == route.Streaming && a.head.Status/100 == 2 {
		return x.passStream(ctx, cancel, a, answer)
	}
	return x.passWhole(ctx, cancel, a, answer)
}

// escalates decides whether to drop a low-confidence answer and ask a larger
// model. If so, it places the next attempt. The answer must not have been
// forwarded in part.
func (x *passage) escalates(a *attempt) bool {
	if !x.req.AnyModel || x.begun || a.head.Status/100 != 2 || a.head.Confidence < 0 || x.runs >= x.route.Attempts {
		return false
	}
	previous := x.model
	larger, ok := x.f.sizes.Larger(x.route.Models, previous)
	if !ok {
		return false
	}
	x.model = larger
	next, ok := x.f.choose(x)
	if ok {
		spent := x.f.entry.cfg.Clock.Now().Sub(x.req.Arrived)
		lateRisk := placement.LateRisk(spent+next.expected, x.route.Objective)
		ok = x.f.sizes.IsWorthAsking(a.head.Confidence, lateRisk, next.crowd) && x.f.takeRepeat()
		if ok {
			x.logAgain(a, lateRisk, next.crowd)
		}
	}
	if !ok {
		x.model = previous
		return false
	}
	x.f.commit(next)
	x.next = next
	return true
}

// passWhole buffers an answer before forwarding it, so that the request can
// be retried if the answer breaks off.
func (x *passage) passWhole(ctx context.Context, cancel context.CancelCauseFunc, a *attempt, answer *upstream.Answer) (forward.Outcome, error) {
	watch := x.watchSilence(cancel, errStalled, a, x.bodyPatience())
	defer watch.stop()
	body, err := io.ReadAll(io.LimitReader(answer, maxBuffered+1))
	watch.stop()
	x.tried = append(x.tried, a.server.ID)
	if err != nil || len(body) > maxBuffered {
		answer.Discard()
		if ctx.Err() == nil || errors.Is(context.Cause(ctx), errStalled) {
			x.f.fail(a, x, false)
		}
		return forward.Broken, errors.Errorf("reading the answer failed after %d bytes: %v", len(body), err)
	}
	answer.Close()
	if a.head.Status >= http.StatusInternalServerError {
		x.f.fail(a, x, false)
		x.held = &heldAnswer{status: answer.Status, header: answer.Header, body: body}
		return forward.Failed, errors.Errorf("status %d", a.head.Status)
	}
	x.f.succeed(a, x)
	x.sink.Begin(answer.Status, answer.Header, int64(len(body)))
	if err := x.sink.Write(body); err != nil {
		level.Debug(x.f.entry.cfg.Logger).Log("msg", "Failed to write the answer to the caller.", "id", x.req.ID, "err", err)
	}
	return "", nil
}
