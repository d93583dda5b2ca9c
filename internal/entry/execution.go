package entry

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"rosereach/core/ledger"
	"rosereach/core/request"
	"rosereach/core/version"
	iobackend "rosereach/io/backend"
	"rosereach/io/caller"
)

const (
	// maxRecordedBytes is the maximum size of an answer's text that is stored in
	// the ledger.
	maxRecordedBytes = 64 << 10

	// maxTextBytes is the maximum size of an answer's text.
	maxTextBytes = 8 << 20

	// errCallerGone is the cancellation cause of a request that no caller waits
	// for.
	errCallerGone = errors.ConstError("no caller is waiting for the answer")
)

type (
	// execution is one request that this entry runs. Every caller that sent it,
	// the first one and those that resent it, follows it at its own pace.
	execution struct {
		req      request.Request
		hash     uint64
		ctx      context.Context
		cancel   context.CancelCauseFunc
		stop     context.CancelFunc
		recorded chan struct{} // closed once no record of the request is outstanding

		mu        sync.Mutex
		state     request.State
		followers map[chan struct{}]bool
		visible   bool // followers may see the answer
		ref       version.Ref
		tokens    []string
		bytes     int
		ended     bool
		answer    request.Answer
		err       error
	}

	// progress is the part of an answer that a follower has not seen yet. Answer
	// and err are valid once ended is true.
	progress struct {
		ref    version.Ref
		tokens []string
		ended  bool
		answer request.Answer
		err    error
	}
)

func newExecution(ctx context.Context, req request.Request, hash uint64) *execution {
	x := &execution{
		req: req, hash: hash, state: request.Chart.Initial(), followers: make(map[chan struct{}]bool),
		recorded: make(chan struct{}),
	}
	ctx, x.stop = context.WithDeadline(ctx, req.Deadline)
	x.ctx, x.cancel = context.WithCancelCause(ctx)
	return x
}

func (x *execution) key() ledger.Key {
	return ledger.Key{Workspace: x.req.Workspace, RequestID: x.req.ID}
}

// fire applies a trigger to the request's state machine.
func (x *execution) fire(t request.Trigger) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.fireLocked(t)
}

// fireLocked is fire for callers that hold x.mu already.
func (x *execution) fireLocked(t request.Trigger) error {
	next, err := request.Chart.Next(x.state, t)
	if err != nil {
		return err
	}
	x.state = next
	return nil
}

// outcome returns the outcome that the request would have if it ended now
// without an answer.
func (x *execution) outcome() request.Outcome {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.state.Outcome()
}

// makeVisible makes the answer visible to followers. It is called once the
// begin record is durable.
func (x *execution) makeVisible() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.visible = true
	x.wakeFollowers()
}

// appendPiece appends the piece's token unless it is a duplicate. A gap is an
// error, so that an answer never consists of parts that are not contiguous.
func (x *execution) appendPiece(ref version.Ref, p iobackend.Piece) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	next := int64(len(x.tokens))
	if p.Offset < next || x.ended {
		return nil
	}
	if p.Offset > next {
		return errors.Errorf("gap in the answer: expected token %d, got token %d", next, p.Offset)
	}
	if x.bytes+len(p.Text) > maxTextBytes {
		return errors.Errorf("answer exceeds %d bytes", maxTextBytes)
	}
	if x.state != request.Streaming {
		if err := x.fireLocked(request.Stream); err != nil {
			return err
		}
	}
	x.ref = ref
	x.tokens = append(x.tokens, p.Text)
	x.bytes += len(p.Text)
	if x.visible {
		x.wakeFollowers()
	}
	return nil
}

// discardTokens drops the text received so far. No follower may have seen any
// of it.
func (x *execution) discardTokens() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.tokens, x.bytes = nil, 0
}

// loadRecorded replaces the version and the text with those of a recorded answer.
func (x *execution) loadRecorded(a request.Answer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.visible = true
	x.ref, x.tokens = a.Version, nil
	if x.req.Kind == request.Model && len(a.Body) > 0 {
		x.tokens = []string{string(a.Body)}
	}
}

// tokenCount returns the number of tokens received so far.
func (x *execution) tokenCount() int64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return int64(len(x.tokens))
}

// text returns the text received so far.
func (x *execution) text() string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return strings.Join(x.tokens, "")
}

// end ends the request for all its followers. Calls after the first have no
// effect.
func (x *execution) end(a request.Answer, err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.ended {
		return
	}
	x.ended = true
	x.answer, x.err = a, err
	x.wakeFollowers()
	x.cancel(nil)
	x.stop()
}

func (x *execution) isEnded() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.ended
}

// waitRecorded waits until the request's end is recorded, so that a resend finds
// it in the ledger.
func (x *execution) waitRecorded(ctx context.Context, deadline time.Time) error {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	select {
	case <-x.recorded:
		return nil
	case <-ctx.Done():
		return request.NewUnknown(request.CodeLedgerUnavailable, "the end of the request is not recorded yet; ask again").
			WithRetryAfter(resendRetryAfter)
	}
}

// wakeFollowers notifies the followers of progress. Callers hold x.mu.
func (x *execution) wakeFollowers() {
	for f := range x.followers {
		select {
		case f <- struct{}{}:
		default:
		}
	}
}

// follow copies the answer to the sink, which may be nil, until the request ends.
// An idempotent request is canceled when its last follower leaves; any other runs
// to its end. Woken is the channel returned by join.
func (x *execution) follow(ctx context.Context, woken chan struct{}, sink caller.Sink) (request.Answer, error) {
	defer x.leave(woken)
	seen := 0
	for {
		p := x.progressAfter(seen)
		if len(p.tokens) > 0 && sink != nil {
			if err := sink.WriteTokens(p.ref, int64(seen), p.tokens); err != nil {
				return request.Answer{}, request.NewUnknown(request.CodeCallerGone, err.Error())
			}
		}
		seen += len(p.tokens)
		if p.ended {
			return p.answer, p.err
		}
		select {
		case <-woken:
		case <-ctx.Done():
			return request.Answer{}, x.waitError(ctx)
		}
	}
}

// waitError returns the error of a follower that stopped waiting.
func (x *execution) waitError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return request.NewUnknown(request.CodeDeadlinePassed, "the deadline passed while the request ran; ask again").
			WithRetryAfter(resendRetryAfter)
	}
	return request.NewUnknown(request.CodeCallerGone, "the caller left while the request ran")
}

func (x *execution) join() chan struct{} {
	woken := make(chan struct{}, 1)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.followers[woken] = true
	return woken
}

func (x *execution) leave(woken chan struct{}) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.followers, woken)
	if len(x.followers) == 0 && !x.ended && x.req.Idempotent {
		x.cancel(errCallerGone)
	}
}

// progressAfter returns the progress beyond the tokens that were seen already.
func (x *execution) progressAfter(seen int) progress {
	x.mu.Lock()
	defer x.mu.Unlock()
	p := progress{ref: x.ref, ended: x.ended, answer: x.answer, err: x.err}
	if x.visible && seen < len(x.tokens) {
		p.tokens = x.tokens[seen:len(x.tokens):len(x.tokens)]
	}
	return p
}

// completeAnswer returns the completed answer for the end record. Text over
// maxRecordedBytes is left out.
func (x *execution) completeAnswer(ref version.Ref, backend string, usage request.Usage) request.Answer {
	a := request.Answer{
		Outcome: request.Done, Status: 200, ContentType: "text/plain", Version: ref, Backend: backend, Usage: usage,
	}
	if x.bytes > maxRecordedBytes {
		a.Code = request.CodeAnswerNotKept
		return a
	}
	a.Body = []byte(x.text())
	return a
}
