package control

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"rosereach/core/replica"
	"rosereach/core/state"
	"rosereach/io/disk"
)

const (
	// snapshotEvery, snapshotEveryChanges and snapshotEveryBytes trigger a
	// snapshot after so many log entries, changes or bytes of commands. Changes
	// have a lower limit as they cost far more to replay than other commands.
	// The limit of bytes keeps large changes from filling a small disk and
	// slowing down a restart: 256 KiB are replayed within about 20 ms.
	snapshotEvery        = 50_000
	snapshotEveryChanges = 2_000
	snapshotEveryBytes   = 256 << 10

	// handOverTime bounds how long a planned stop waits for a new leader.
	handOverTime = 2 * electionTimeout

	// fullRetry is the pause before a write to a full disk is retried.
	fullRetry = time.Second
)

// snapshot is the encoded state at a log index, or the error of encoding it.
type snapshot struct {
	index uint64
	data  []byte
	err   error
}

// loop feeds events to the replica and carries out the work that it returns.
// When ctx ends, loop transfers the leadership before it returns; when running
// ends, it returns at once.
func (n *Node) loop(ctx, running context.Context) error {
	tick := n.cfg.Clock.NewTimer(tickInterval)
	defer tick.Stop()
	stopping := ctx.Done()
	var handOverTimedOut <-chan time.Time
	for {
		select {
		case <-running.Done():
			return nil
		case <-stopping:
			stopping = nil
			if !n.handOver() {
				return nil
			}
			handOverTimedOut = n.cfg.Clock.After(handOverTime)
		case <-handOverTimedOut:
			return nil
		case <-tick.Chan():
			n.tick()
			tick.Reset(tickInterval)
		case batch := <-n.inbox:
			n.receive(batch)
		case p := <-n.proposals:
			n.accept(p)
		case sequence := <-n.synced:
			n.completed(sequence)
		case s := <-n.snapshots:
			if err := n.compact(s); err != nil {
				return err
			}
		case <-n.kick:
		}
		if err := n.flush(running); err != nil {
			return err
		}
		if stopping == nil && n.hasSuccessor() {
			return nil
		}
	}
}

// hasSuccessor reports whether this control follows a new leader. Having stepped
// down is not enough: the election may still be in progress.
func (n *Node) hasSuccessor() bool {
	s := n.group()
	return s.Role != replica.Leader && !s.Leader.IsZero()
}

// handOver starts a leadership transfer, and reports whether there is one to
// wait for.
func (n *Node) handOver() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.replica != nil && n.replica.Transfer(n.cfg.Clock.Now())
}

func (n *Node) tick() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.replica != nil {
		n.replica.Tick(n.cfg.Clock.Now())
	}
}

func (n *Node) receive(batch []replica.Message) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.replica == nil {
		return
	}
	now := n.cfg.Clock.Now()
	for _, m := range batch {
		n.replica.Receive(now, m)
	}
}

// completed reports a finished write to the replica.
func (n *Node) completed(sequence uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.writing = false
	n.replica.Synced(n.cfg.Clock.Now(), sequence)
}

// flush carries out the replica's pending work: it applies committed entries,
// sends messages and starts the next write.
func (n *Node) flush(ctx context.Context) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.replica == nil {
		return nil
	}
	if err := n.apply(ctx, n.replica.TakeCommits()); err != nil {
		return err
	}
	n.links.update(ctx, n.replica.Status().Members)
	n.links.send(n.replica.TakeMessages())
	if !n.writing {
		if w, ok := n.replica.TakeWrite(); ok {
			n.writing = true
			n.writes <- w
		}
	}
	n.follow(ctx)
	n.startSnapshot(ctx)
	return nil
}

// apply executes committed entries on the state, after a snapshot if there is
// one. Callers hold n.mu.
func (n *Node) apply(ctx context.Context, c replica.Commits) error {
	before := n.state.Documents().Revision
	if c.Snapshot != nil {
		if err := n.restore(*c.Snapshot); err != nil {
			return err
		}
	}
	for _, e := range c.Entries {
		if err := n.applyEntry(e); err != nil {
			return err
		}
	}
	if revision := n.state.Documents().Revision; revision != before {
		n.committed(ctx, revision)
	}
	return nil
}

func (n *Node) applyEntry(e replica.Entry) error {
	n.applied = e.Index
	n.logged += len(e.Data)
	var result state.Result
	if e.Kind == replica.Command {
		var c state.Command
		if err := cbor.Unmarshal(e.Data, &c); err != nil {
			return errors.Annotatef(err, "log entry %d in %s: use the program version that wrote it, or repair this replica from the others", e.Index, n.cfg.Folder)
		}
		result = n.state.Apply(e.Index, c)
		if c.Change != nil {
			n.changes++
		}
	}
	n.answer(e, result)
	return nil
}

// startSnapshot encodes the state in a goroutine of its own once enough was
// applied since the last snapshot. Callers hold n.mu.
func (n *Node) startSnapshot(ctx context.Context) {
	due := n.applied-n.saved >= snapshotEvery || n.changes >= snapshotEveryChanges || n.logged >= snapshotEveryBytes
	if n.saving || !due {
		return
	}
	n.saving, n.changes, n.logged = true, 0, 0
	index, encode := n.applied, n.state.Freeze()
	go func() {
		data, err := encode()
		select {
		case n.snapshots <- snapshot{index: index, data: data, err: err}:
		case <-ctx.Done():
		}
	}()
}

// compact replaces the log up to the snapshot's index by the snapshot.
func (n *Node) compact(s snapshot) error {
	if s.err != nil {
		return errors.Annotate(s.err, "encode the snapshot")
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.saving = false
	n.saved = max(n.saved, s.index)
	n.replica.Compact(s.index, s.data)
	return nil
}

// write saves the replica's writes in order. On a full disk it retries until
// there is space; changes are refused meanwhile.
func (n *Node) write(ctx context.Context) error {
	for {
		var w replica.Write
		select {
		case w = <-n.writes:
		case <-ctx.Done():
			return nil
		}
		for {
			err := n.save(w)
			n.noteFull(err)
			if err == nil {
				break
			}
			if !errors.Is(err, disk.ErrFull) {
				return err
			}
			select {
			case <-n.cfg.Clock.After(fullRetry):
			case <-ctx.Done():
				return nil
			}
		}
		select {
		case n.synced <- w.Sequence:
		case <-ctx.Done():
			return nil
		}
	}
}

// noteFull records the result of a write, which decides whether changes are
// refused.
func (n *Node) noteFull(err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if (err == nil) != (n.full == nil) {
		level.Error(n.cfg.Logger).Log("msg", "Disk space changes.", "full", err != nil, "err", err)
	}
	n.full = err
}
