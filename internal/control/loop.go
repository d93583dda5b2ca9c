package control

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"rosereach/core/encoding"
	"rosereach/core/replica"
	"rosereach/core/state"
	"rosereach/io/disk"
)

const (
	// snapshotEveryEntries, snapshotEveryChanges and snapshotEveryBytes trigger a
	// snapshot after so many log entries, changes or bytes of commands. Changes
	// have a lower limit as they cost far more to replay than other commands.
	// The limit of bytes keeps large changes from filling a small disk and
	// slowing down a restart: 256 KiB are replayed within about 20 ms.
	snapshotEveryEntries = 50_000
	snapshotEveryChanges = 2_000
	snapshotEveryBytes   = 256 << 10

	// handOverTimeout bounds how long a planned stop waits for a new leader.
	handOverTimeout = 2 * electionTimeout

	// retransferDelay is how long a control that stops leads before it transfers the
	// leadership on, which another one that stops passed to it. By then that one has
	// announced its stop.
	retransferDelay = 4 * leaveInterval

	// diskFullRetryDelay is the pause before a write to a full disk is retried.
	diskFullRetryDelay = time.Second
)

// snapshot is the encoded state at a log index, or the error of encoding it.
type snapshot struct {
	index uint64
	data  []byte
	err   error
}

// loop feeds events to the replica and carries out the work that it returns.
// When ctx ends, loop transfers the leadership and leaves the group before it returns;
// when running ends, it returns at once.
func (n *Node) loop(ctx, running context.Context) error {
	tick := n.cfg.Clock.NewTimer(tickInterval)
	defer tick.Stop()
	stopping := ctx.Done()
	var handOverTimedOut <-chan time.Time
	var left chan struct{}
	leave := func() {
		left, handOverTimedOut = make(chan struct{}), nil
		go func() {
			defer close(left)
			n.leaveGroup(running)
		}()
	}
	for {
		select {
		case <-running.Done():
			return nil
		case <-stopping:
			stopping = nil
			if !n.transferLeadership() {
				leave()
				break
			}
			handOverTimedOut = n.cfg.Clock.After(handOverTimeout)
		case <-handOverTimedOut:
			leave()
		case <-left:
			return nil
		case <-tick.Chan():
			n.tick()
			if stopping == nil && n.hasLedFor(retransferDelay) {
				n.transferLeadership()
			}
			tick.Reset(tickInterval)
		case batch := <-n.inbox:
			n.receive(batch)
		case p := <-n.proposals:
			n.proposeBatch(p)
		case sequence := <-n.synced:
			n.writeSynced(sequence)
		case s := <-n.snapshots:
			if err := n.compact(s); err != nil {
				return err
			}
		case <-n.flushRequests:
		}
		if err := n.flush(running); err != nil {
			return err
		}
		if stopping == nil && left == nil && n.hasSuccessor() {
			leave()
		}
	}
}

// hasSuccessor reports whether this control follows a new leader. Having stepped
// down is not enough: the election may still be in progress.
func (n *Node) hasSuccessor() bool {
	s := n.group()
	return s.Role != replica.Leader && !s.Leader.IsZero()
}

// hasLedFor reports whether this control has been the leader for the given time.
func (n *Node) hasLedFor(d time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leadership != nil && n.leadership.members != nil && n.cfg.Clock.Now().Sub(n.leadership.since) >= d
}

// transferLeadership starts a leadership transfer, and reports whether there is one to
// wait for.
func (n *Node) transferLeadership() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.replica == nil {
		return false
	}
	var avoid []replica.Identity
	if n.leadership != nil && n.leadership.members != nil {
		avoid = n.leadership.members.Leaving()
	}
	return n.replica.TransferLeadership(n.cfg.Clock.Now(), avoid...)
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

// writeSynced reports a finished write to the replica.
func (n *Node) writeSynced(sequence uint64) {
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
	if err := n.apply(ctx, n.replica.TakeCommitted()); err != nil {
		return err
	}
	n.links.update(ctx, n.replica.Peers())
	n.links.send(n.replica.TakeMessages())
	if !n.writing {
		if w, ok := n.replica.TakeWrite(); ok {
			n.writing = true
			n.writes <- w
		}
	}
	n.updateLeadership(ctx)
	n.startSnapshot(ctx)
	return nil
}

// apply executes committed entries on the state, after a snapshot if there is
// one. Callers hold n.mu.
func (n *Node) apply(ctx context.Context, c replica.CommittedBatch) error {
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
		n.permitHalfElections()
		n.documentsCommitted(ctx, revision)
	}
	return nil
}

func (n *Node) applyEntry(e replica.Entry) error {
	n.applied = e.Index
	n.bytesSinceSnapshot += len(e.Data)
	var result state.Result
	if e.Kind == replica.Command {
		var c state.Command
		if err := encoding.Unmarshal(e.Data, &c); err != nil {
			return errors.Annotatef(err, "log entry %d in %s: use the program version that wrote it, or repair this replica from the others", e.Index, n.cfg.Folder)
		}
		if what := c.Unsupported(); what != "" {
			return errors.Errorf("log entry %d in %s has %s that this build does not know: use the program version that wrote it, or a newer one", e.Index, n.cfg.Folder, what)
		}
		result = n.state.Apply(e.Index, c)
		if c.Change != nil {
			n.changesSinceSnapshot++
		}
	}
	n.completeCommand(e, result)
	return nil
}

// startSnapshot encodes the state in a goroutine of its own once enough was
// applied since the last snapshot. Callers hold n.mu.
func (n *Node) startSnapshot(ctx context.Context) {
	due := n.applied-n.snapshotIndex >= snapshotEveryEntries || n.changesSinceSnapshot >= snapshotEveryChanges || n.bytesSinceSnapshot >= snapshotEveryBytes
	if n.snapshotting || !due {
		return
	}
	n.snapshotting, n.changesSinceSnapshot, n.bytesSinceSnapshot = true, 0, 0
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
	n.snapshotting = false
	n.snapshotIndex = max(n.snapshotIndex, s.index)
	n.replica.Compact(s.index, s.data)
	return nil
}

// runWriter saves the replica's writes in order. On a full disk it retries until
// there is space; changes are refused meanwhile.
func (n *Node) runWriter(ctx context.Context) error {
	for {
		var w replica.Write
		select {
		case w = <-n.writes:
		case <-ctx.Done():
			return nil
		}
		for {
			err := n.save(w)
			n.recordWriteResult(err)
			if err == nil {
				break
			}
			if !errors.Is(err, disk.ErrFull) {
				return err
			}
			select {
			case <-n.cfg.Clock.After(diskFullRetryDelay):
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

// recordWriteResult records the result of a write, which decides whether changes are
// refused.
func (n *Node) recordWriteResult(err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if (err == nil) != (n.diskFullErr == nil) {
		level.Error(n.cfg.Logger).Log("msg", "Disk space changes.", "full", err != nil, "err", err)
	}
	n.diskFullErr = err
}
