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
	// maxRecordedBytes bounds the text of an answer that the ledger keeps.
	maxRecordedBytes = 64 << 10

	// maxTextBytes bounds the text of one answer.
	maxTextBytes = 8 << 20

	// errCallerGone is the cause that ends work nobody waits for.
	errCallerGone = errors.ConstError("the caller has gone")
)

type (
	// execution is one request that this entry runs. Callers that sent the
	// request, once or more often, follow it, each at its own speed. Gone is
	// closed once nothing is left to record of it.
	execution struct {
		req    request.Request
		hash   uint64
		ctx    context.Context
		cancel context.CancelCauseFunc
		stop   context.CancelFunc
		gone   chan struct{}

		mu        sync.Mutex
		state     request.State
		followers map[chan struct{}]bool
		begun     bool
		ref       version.Ref
		tokens    []string
		bytes     int
		ended     bool
		answer    request.Answer
		err       error
	}

	// progress is what a follower has not seen yet. Err counts when ended.
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
		gone: make(chan struct{}),
	}
	ctx, x.stop = context.WithDeadline(ctx, req.Deadline)
	x.ctx, x.cancel = context.WithCancelCause(ctx)
	return x
}

func (x *execution) key() ledger.Key {
	return ledger.Key{Workspace: x.req.Workspace, RequestID: x.req.ID}
}

// fire moves the request through its chart.
func (x *execution) fire(t request.Trigger) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.move(t)
}

// move is fire for callers that hold x.mu.
func (x *execution) move(t request.Trigger) error {
	next, err := request.Chart.Next(x.state, t)
	if err != nil {
		return err
	}
	x.state = next
	return nil
}

// outcome is what the request ends with when it ends now without an answer.
func (x *execution) outcome() request.Outcome {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.state.Outcome()
}

// show lets followers see the answer, once the begin record is durable.
func (x *execution) show() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.begun = true
	x.wake()
}

// take adds the piece's token when it is new. A gap is an error, so that an
// answer is never put together from parts that do not follow each other.
func (x *execution) take(ref version.Ref, p iobackend.Piece) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	next := int64(len(x.tokens))
	if p.Offset < next || x.ended {
		return nil
	}
	if p.Offset > next {
		return errors.Errorf("answer jumps from token %d to %d", next, p.Offset)
	}
	if x.bytes+len(p.Text) > maxTextBytes {
		return errors.Errorf("answer over %d bytes", maxTextBytes)
	}
	if x.state != request.Streaming {
		if err := x.move(request.Stream); err != nil {
			return err
		}
	}
	x.ref = ref
	x.tokens = append(x.tokens, p.Text)
	x.bytes += len(p.Text)
	if x.begun {
		x.wake()
	}
	return nil
}

// discard drops the text of attempts that nobody has seen.
func (x *execution) discard() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.tokens, x.bytes = nil, 0
}

// replay takes the text of a recorded answer.
func (x *execution) replay(a request.Answer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.begun = true
	x.ref, x.tokens = a.Version, nil
	if x.req.Kind == request.Model && len(a.Body) > 0 {
		x.tokens = []string{string(a.Body)}
	}
}

// received returns the number of tokens so far.
func (x *execution) received() int64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return int64(len(x.tokens))
}

// text returns the answer so far.
func (x *execution) text() string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return strings.Join(x.tokens, "")
}

// end ends the request for all that follow it. The first end counts.
func (x *execution) end(a request.Answer, err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.ended {
		return
	}
	x.ended = true
	x.answer, x.err = a, err
	x.wake()
	x.cancel(nil)
	x.stop()
}

func (x *execution) isEnded() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.ended
}

// waitRecorded waits until the end of a request is recorded, so that a resend
// finds it in the ledger.
func (x *execution) waitRecorded(ctx context.Context, deadline time.Time) error {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	select {
	case <-x.gone:
		return nil
	case <-ctx.Done():
		return request.NewUnknown(request.CodeLedger, "the end of the request is not recorded yet; ask again").
			WithRetryAfter(resendRetryAfter)
	}
}

// wake tells the followers that there is more. Callers hold x.mu.
func (x *execution) wake() {
	for f := range x.followers {
		select {
		case f <- struct{}{}:
		default:
		}
	}
}

// follow passes the answer to the sink, which may be nil, until the request
// ends. An idempotent request that nobody follows any more is cancelled; any
// other one runs to its end. Woken is what join returned.
func (x *execution) follow(ctx context.Context, woken chan struct{}, sink caller.Sink) (request.Answer, error) {
	defer x.leave(woken)
	seen := 0
	for {
		p := x.after(seen)
		if len(p.tokens) > 0 && sink != nil {
			if err := sink.Text(p.ref, int64(seen), p.tokens); err != nil {
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
			return request.Answer{}, x.unfollowed(ctx)
		}
	}
}

// unfollowed is the error of a follower that stopped waiting.
func (x *execution) unfollowed(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return request.NewUnknown(request.CodeDeadline, "the deadline passed while the request ran; ask again").
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

// after returns what followed the tokens that were seen.
func (x *execution) after(seen int) progress {
	x.mu.Lock()
	defer x.mu.Unlock()
	p := progress{ref: x.ref, ended: x.ended, answer: x.answer, err: x.err}
	if x.begun && seen < len(x.tokens) {
		p.tokens = x.tokens[seen:len(x.tokens):len(x.tokens)]
	}
	return p
}

// whole returns the end record of the whole answer.
func (x *execution) whole(ref version.Ref, backend string, usage request.Usage) request.Answer {
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
