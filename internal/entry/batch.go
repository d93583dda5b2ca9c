package entry

import (
	"context"

	"github.com/juju/errors"

	"rosereach/core/ledger"
	"rosereach/core/state"
	"rosereach/io/member"
)

const (
	// maxBatchCommands and maxBatchBytes limit one frame of records.
	maxBatchCommands = 256
	maxBatchBytes    = 4 << 20

	// maxFramesInFlight is the maximum number of frames in flight. Once it is
	// reached, records are collected for the next frame.
	maxFramesInFlight = 4

	// maxQueuedRecords is the maximum number of records that wait for a frame.
	maxQueuedRecords = 16_384

	// baseCommandBytes is the estimated size of a record without its answer.
	baseCommandBytes = 512
)

type (
	// batcher delivers begin and finish records to the ledger, many in a frame.
	batcher struct {
		propose func(context.Context, ...state.Command) ([]state.Result, error)
		pause   func(ctx context.Context, failures int) error
		queue   chan *submission
	}

	// submission is one record being delivered. Reply and err are valid once done
	// is closed.
	submission struct {
		command state.Command
		done    chan struct{}
		reply   ledger.Reply
		err     error
	}
)

// run sends frames until the context ends.
func (b *batcher) run(ctx context.Context) error {
	frames := make(chan struct{}, maxFramesInFlight)
	for {
		select {
		case frames <- struct{}{}:
		case <-ctx.Done():
			return nil
		}
		select {
		case first := <-b.queue:
			batch := b.gather(first)
			go func() {
				defer func() { <-frames }()
				b.send(ctx, batch)
			}()
		case <-ctx.Done():
			return nil
		}
	}
}

// deliver sends a record to the ledger and retries until it succeeds, the record
// is refused for good, or the context ends. The ledger applies a record that
// arrives twice only once.
func (b *batcher) deliver(ctx context.Context, c state.Command) (ledger.Reply, error) {
	for failures := 1; ; failures++ {
		reply, err := b.submit(ctx, c)
		if err == nil || isRefused(err) {
			return reply, err
		}
		if pauseErr := b.pause(ctx, failures); pauseErr != nil {
			return reply, err
		}
	}
}

func (b *batcher) submit(ctx context.Context, c state.Command) (ledger.Reply, error) {
	s := &submission{command: c, done: make(chan struct{})}
	select {
	case b.queue <- s:
	case <-ctx.Done():
		return ledger.Reply{}, errors.Trace(ctx.Err())
	}
	select {
	case <-s.done:
		return s.reply, s.err
	case <-ctx.Done():
		return ledger.Reply{}, errors.Trace(ctx.Err())
	}
}

// gather returns a batch of the first record and those that are waiting already.
func (b *batcher) gather(first *submission) []*submission {
	batch := []*submission{first}
	size := estimatedBytes(first.command)
	for len(batch) < maxBatchCommands && size < maxBatchBytes {
		select {
		case s := <-b.queue:
			batch = append(batch, s)
			size += estimatedBytes(s.command)
		default:
			return batch
		}
	}
	return batch
}

func (b *batcher) send(ctx context.Context, batch []*submission) {
	commands := make([]state.Command, 0, len(batch))
	for _, s := range batch {
		commands = append(commands, s.command)
	}
	results, err := b.propose(ctx, commands...)
	for i, s := range batch {
		s.err = err
		if err == nil {
			s.setResult(results[i])
		}
		close(s.done)
	}
}

func (s *submission) setResult(r state.Result) {
	if r.Ledger == nil {
		s.err = errors.New("the control's result contains no ledger reply")
		return
	}
	s.reply = *r.Ledger
}

func estimatedBytes(c state.Command) int {
	if c.Finish == nil {
		return baseCommandBytes
	}
	return baseCommandBytes + len(c.Finish.Answer.Body)
}

// isRefused reports whether the control has refused the record for good.
func isRefused(err error) bool {
	var p *member.Problem
	return errors.As(err, &p) && p.Code == member.CodeRefused
}
