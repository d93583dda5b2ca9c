package entry

import (
	"cmp"
	"context"
	"io"

	"github.com/juju/errors"

	"rosereach/core/forward"
	"rosereach/core/framing"
	"rosereach/core/stream"
	"rosereach/io/upstream"
)

// streamBufferBytes is the size, in bytes, of the buffer for reading a stream.
const streamBufferBytes = 8 << 10

// forwardStream forwards events as they arrive, each complete and exactly once.
// If the stream breaks, the next attempt resumes after the last forwarded
// event.
func (x *activeRequest) forwardStream(ctx context.Context, cancel context.CancelCauseFunc, a *attempt, answer *upstream.Answer) (forward.Outcome, error) {
	order := x.sequencer()
	splitter := heldSplitter{room: a.room}
	watch := x.startIdleTimer(ctx, cancel, errStalled, a, x.eventTimeouts())
	defer watch.stop()
	buffer := make([]byte, streamBufferBytes)
	for {
		n, err := answer.Read(buffer)
		if n > 0 {
			x.heardAt = x.now()
		}
		events, tooLong := splitter.push(buffer[:n])
		failed := x.forwardEvents(a, answer, &order, events)
		splitter.sent()
		if err != nil || failed != nil || tooLong != nil {
			a.answer.Partial = !splitter.IsAtEnd()
			x.recordRest(&splitter, err, failed)
		}
		switch {
		case len(events) > 0:
			watch.reset(x.headSent, x.unnumbered)
		case n > 0:
			// Bytes are a sign of life and no progress: an event may have no end.
			x.forwarder.recordActivity(a.server.ID)
		}
		if failed == nil && tooLong != nil {
			failed = tooLong
		}
		if failed != nil {
			x.takeOver(watch)
			return x.handleBrokenStream(ctx, a, answer, failed, false)
		}
		if err != nil {
			a.answer.End = answer.EndBy(err)
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) && splitter.IsAtEnd() && x.hasBegun():
			return x.handleStreamEnd(ctx, a, answer, splitter.Rest(), watch)
		default:
			x.awaitsEnd = x.awaitsEnd || errors.Is(err, io.EOF) && x.seemsWhole(a)
			h := x.takeOver(watch)
			return x.handleBrokenStream(ctx, a, answer, errors.Annotatef(errIncomplete, "%v", err), h.serverDead)
		}
	}
}

// seemsWhole reports whether an answer that has ended in order had events, and showed nothing that follows
// them.
func (x *activeRequest) seemsWhole(a *attempt) bool {
	return a.answer.Events > 0 && !x.moreSeen() && x.claimedEventID <= x.lastEventID
}

// handleStreamEnd handles an answer to a stream that has ended in order after a whole event.
func (x *activeRequest) handleStreamEnd(ctx context.Context, a *attempt, answer *upstream.Answer, rest []byte, watch *idleTimer) (forward.Outcome, error) {
	answer.Close()
	extended := a.answer.Events > 0
	switch {
	case x.moreSeen(), x.isAtDeadline() && answer.Framing != framing.ByLength:
	case answer.Framing != framing.ByClose:
		x.confirmed++
	case x.endsWithServer() || x.forwarder.isThere(ctx, a):
		x.closes++
	case !extended || !x.canAskForRest():
		h := x.takeOver(watch)
		return x.handleBrokenStream(ctx, a, answer, errors.Trace(errIncomplete), h.serverDead)
	}
	s := x.streamSoFar()
	s.Extended, s.Last, s.TimeUp = extended, !x.mayFollow(forward.Incomplete), x.isAtDeadline()
	if answer.Framing.EndsStream(s) {
		x.endStream(a, answer, rest)
		return "", nil
	}
	x.takeOver(watch)
	x.tried = append(x.tried, a.server.ID)
	if extended || !x.moreSeen() {
		x.awaitsEnd = true
		return forward.Incomplete, errors.Trace(errUnprovenEnd)
	}
	x.forwarder.recordFailure(a, x, false)
	return forward.Incomplete, errors.Trace(errContradictedEnd)
}

// streamSoFar returns what the answers have shown of the stream.
func (x *activeRequest) streamSoFar() framing.Stream {
	return framing.Stream{
		Begun: x.hasBegun(), MoreSeen: x.moreSeen(), Claimed: x.claimedEventID > x.lastEventID,
		Confirmations: x.confirmed, Closes: x.closes, CanAsk: x.canAskForRest(),
	}
}

// hasAgreedEnd reports whether a stream that has begun may end when no other server can be asked, or
// none answers in time.
func (x *activeRequest) hasAgreedEnd(ctx context.Context) bool {
	cause := context.Cause(ctx)
	isThere := cause == nil || isExit(cause) || errors.Is(cause, context.DeadlineExceeded)
	return x.headSent && isThere && x.streamSoFar().IsAgreed()
}

// hasBegun reports whether the caller has events of the stream.
func (x *activeRequest) hasBegun() bool { return x.events > 0 || x.req.LastEventID > 0 }

// moreSeen reports whether an event was seen that the caller does not have.
func (x *activeRequest) moreSeen() bool { return x.seenEventID > x.lastEventID }

// recordRest records events that were dropped, and what follows the last whole event of an answer.
// A server that ends its answer in order, or writes events behind a gap, may have written what
// belongs to no event of the stream: it claims that there is more, and shows it only with the next
// id.
func (x *activeRequest) recordRest(s *heldSplitter, err, failed error) {
	x.seenEventID = max(x.seenEventID, s.droppedID)
	id, ok := s.Partial()
	switch {
	case !ok || errors.Is(failed, stream.ErrNoEvent):
	case errors.Is(failed, stream.ErrGap), id > x.lastEventID+1 && !x.idsJump, id == 0 && errors.Is(err, io.EOF):
		x.claimedEventID = max(x.claimedEventID, id, x.lastEventID+1)
	default:
		x.seenEventID = max(x.seenEventID, cmp.Or(id, x.lastEventID+1))
	}
}

// endStream passes on the rest of an answer, which belongs to no event, and the head of one without
// events: its caller had all of them.
func (x *activeRequest) endStream(a *attempt, answer *upstream.Answer, rest []byte) {
	if !x.headSent {
		x.forwarder.recordSuccess(a, x)
		x.headSent, x.sentStatus = true, answer.Status
		x.begin(answer.Status, answer.Header, framing.ByLength, 0)
		return
	}
	if a.answer.Events > 0 && len(rest) > 0 {
		x.callerCut = x.sink.Write(rest) != nil
	}
}

// canAskForRest reports whether another server may be asked for the rest of a stream.
func (x *activeRequest) canAskForRest() bool {
	return x.route.Resumable && x.route.MaxAttempts > 1 && !x.unnumbered
}

// endsWithServer reports whether the end of the connection marks the end of the stream for the caller
// as for the entry.
func (x *activeRequest) endsWithServer() bool {
	return !x.canAskForRest() && x.callerMark == framing.ByClose.String()
}

// mayFollow reports whether another attempt may follow one with the outcome. None goes on behind an
// event that has no id.
func (x *activeRequest) mayFollow(o forward.Outcome) bool {
	return forward.MayRetry(x.route, o, x.runs) && !x.unnumbered
}

// forwardEvents forwards the events that the caller has not received yet.
func (x *activeRequest) forwardEvents(a *attempt, answer *upstream.Answer, order *stream.Sequencer, events []stream.Event) error {
	for _, e := range events {
		if gap, ok := a.pace.observe(x.now()); ok {
			x.forwarder.tallyPace(a, x, gap)
		}
		isNew, err := order.Admit(e)
		if errors.Is(err, stream.ErrGap) && x.isAgreedGap(stream.Gap{Server: a.server.ID, After: order.LastID(), Before: e.ID}) {
			*order = order.WithJumps()
			isNew, err = order.Admit(e)
		}
		if err != nil {
			return err
		}
		x.seenEventID = max(x.seenEventID, e.ID)
		if !isNew {
			continue
		}
		if !a.successRecorded {
			a.successRecorded, a.firstEventAt = true, x.now()
			x.forwarder.recordSuccess(a, x)
		}
		if x.now().Sub(a.firstEventAt) >= soundAfter {
			x.recordSound(a)
		}
		if e.IsContent() {
			x.unnumbered = e.ID == 0
		}
		if err := x.forwardEvent(answer, e.Raw); err != nil {
			return err
		}
		x.lastEventID = order.LastID()
		if e.IsContent() {
			x.confirmed, x.closes, x.awaitsEnd, x.awaitsRescue = 0, 0, false, false
			x.rescues.end()
			x.events++
			a.answer.Events++
		}
	}
	return nil
}

// sequencer returns a sequencer for what follows the last forwarded event.
func (x *activeRequest) sequencer() stream.Sequencer {
	s := stream.NewSequencer(x.lastEventID)
	if x.idsJump {
		return s.WithJumps()
	}
	return s
}

// isAgreedGap records a gap and reports whether another server has shown the same one. What one
// server has behind a gap may belong to another stream.
func (x *activeRequest) isAgreedGap(g stream.Gap) bool {
	x.claimedEventID = max(x.claimedEventID, g.Before)
	x.idsJump = x.gap.IsAt(g)
	x.gap = g
	return x.idsJump
}

// forwardEvent forwards an event, preceded by the answer's header if it is the
// first.
func (x *activeRequest) forwardEvent(answer *upstream.Answer, raw []byte) error {
	if !x.headSent {
		if !x.answerGate.pass() {
			return errors.Trace(errExiting)
		}
		x.headSent, x.sentStatus = true, answer.Status
		mark := framing.ByChunks
		if answer.Framing == framing.ByClose && !x.canAskForRest() {
			mark = framing.ByClose
		}
		x.begin(answer.Status, answer.Header, mark, -1)
	}
	if err := x.sink.Write(raw); err != nil {
		return errors.Annotatef(errCallerWrite, "%v", err)
	}
	return nil
}

// handleBrokenStream ends an attempt whose stream broke off. Dead means that
// the server is silent on all connections.
func (x *activeRequest) handleBrokenStream(ctx context.Context, a *attempt, answer *upstream.Answer, err error, dead bool) (forward.Outcome, error) {
	answer.Discard()
	x.tried = append(x.tried, a.server.ID)
	if errors.Is(context.Cause(ctx), errStalled) {
		if gap, ok := a.pace.end(x.now()); ok {
			x.forwarder.tallyPace(a, x, gap)
		}
	}
	ownEnd := errors.Is(err, errCallerWrite) || errors.Is(err, errExiting) || errors.Is(err, errNoRoom)
	if !ownEnd && ctx.Err() == nil || errors.Is(context.Cause(ctx), errStalled) {
		x.forwarder.recordFailure(a, x, dead)
	}
	if !ownEnd && ctx.Err() == nil {
		x.recordEnd(ctx, a)
	}
	return forward.Incomplete, err
}
