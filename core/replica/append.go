package replica

import (
	"slices"
	"time"
)

// transferElectionTimeouts is the timeout of a leadership transfer, in election timeouts.
const transferElectionTimeouts = 2

// progress is a leader's view of another replica's log.
type progress struct {
	// match is the last index known to be synced and equal to the leader's.
	match uint64
	// next is the index of the next entry to send.
	next uint64
	// ackedSendTime is the send time of the latest message that the replica answered.
	ackedSendTime time.Time
	// snapshot is the snapshot being sent, if any, and snapshotOffset the position
	// of its current chunk.
	snapshot       *Snapshot
	snapshotOffset int
}

// becomeLeader makes the replica the leader. It appends a first entry, because entries of
// earlier terms are committed only together with one of the leader's own term.
func (r *Replica) becomeLeader(first Entry) {
	r.role = Leader
	r.leader = r.cfg.Self
	r.votes = nil
	r.peers = make(map[Identity]*progress)
	r.leaderSince = r.now
	r.loadMembers()
	r.firstIndexOfTerm = r.log.lastIndex() + 1
	r.catchUpIndex = r.firstIndexOfTerm
	r.appendOwnEntries(r.now, first)
}

// firstEntryAfterHalfElection returns the first entry of a leader that half of the voters elected: a
// membership without one of the voters whose disks are lost, of which that half is a
// majority.
func (r *Replica) firstEntryAfterHalfElection() Entry {
	for _, v := range r.members.Voters {
		if r.lostBefore[v.Identity] {
			next := r.members.Without(v.Identity)
			return Entry{Kind: Members, Members: &next}
		}
	}
	return Entry{Kind: Empty}
}

// appendOwnEntries appends entries in the leader's term to its log and sends them.
func (r *Replica) appendOwnEntries(now time.Time, entries ...Entry) {
	r.now = now
	for i := range entries {
		entries[i].Index = r.log.lastIndex() + uint64(i) + 1
		entries[i].Term = r.hardState.Term
	}
	r.log.appendEntries(entries...)
	r.writeEntries(entries)
	if slices.ContainsFunc(entries, isMembershipEntry) {
		r.loadMembers()
	}
	r.broadcast(false)
}

func (r *Replica) tickLeader() {
	if r.now.Sub(r.quorumContact(r.now)) >= r.cfg.ElectionTimeout {
		r.becomeFollower(Identity{})
		return
	}
	if !r.transferTarget.IsZero() && !r.now.Before(r.transferDeadline) {
		r.becomeFollower(Identity{})
		return
	}
	if r.now.Before(r.nextHeartbeat) {
		return
	}
	r.nextHeartbeat = r.now.Add(r.cfg.HeartbeatInterval)
	r.catchUpIndex = max(r.firstIndexOfTerm, r.heartbeatCommit)
	r.heartbeatCommit = r.commit
	r.broadcast(true)
}

// broadcast sends every other replica the entries that it lacks.
func (r *Replica) broadcast(heartbeat bool) {
	for _, m := range r.Peers() {
		if p, ok := r.peers[m.Identity]; ok {
			r.sendNext(m.Identity, p, heartbeat)
		}
	}
}

// sendNext sends the next entries or, if they are compacted, the snapshot. A
// heartbeat is sent even if there are no entries to send or the window is full.
func (r *Replica) sendNext(id Identity, p *progress, heartbeat bool) {
	if p.snapshot != nil {
		if heartbeat {
			r.sendChunk(id, p)
		}
		return
	}
	before, ok := r.log.term(p.next - 1)
	if !ok {
		r.startSnapshot(id, p)
		return
	}
	last := r.batchEnd(p)
	if last < p.next && !heartbeat {
		return
	}
	m := Message{Kind: Append, To: id, Index: p.next - 1, LogTerm: before, Commit: r.commit, Round: r.currentRound()}
	if last >= p.next {
		m.Entries = r.log.between(p.next-1, last)
		p.next = last + 1
	}
	r.send(m)
}

// batchEnd returns the index of the last entry of the next message, within the
// limits on entries, bytes and unacknowledged entries.
func (r *Replica) batchEnd(p *progress) uint64 {
	last := min(r.log.lastIndex(), p.next-1+uint64(r.cfg.MaxAppendEntries), p.match+r.cfg.MaxInflightEntries)
	size := 0
	for i := p.next; i <= last; i++ {
		size += len(r.log.entries[i-r.log.snapshot.Index-1].Data)
		if size > r.cfg.MaxMessageBytes && i > p.next {
			return i - 1
		}
	}
	return last
}

// currentRound returns the round number of messages sent now: the nanoseconds since
// this replica became leader, plus one. The reply echoes it, which gives the
// leader the send time of the message.
func (r *Replica) currentRound() uint64 { return uint64(r.now.Sub(r.leaderSince)) + 1 }

func (r *Replica) onAppend(m Message) {
	if m.Term < r.hardState.Term {
		r.send(Message{Kind: AppendReply, To: m.From, Reject: true, Index: r.log.lastIndex()})
		return
	}
	r.followSender(m)
	reply := Message{Kind: AppendReply, To: m.From, Round: m.Round}
	m = r.trimCompacted(m)
	if term, ok := r.log.term(m.Index); !ok || term != m.LogTerm {
		reply.Reject, reply.Index, reply.Commit = true, r.rejectHint(m.Index), m.Index
		r.send(reply)
		return
	}
	last := m.Index + uint64(len(m.Entries))
	r.mergeEntries(m.Entries)
	r.advanceCommit(max(r.commit, min(m.Commit, last)))
	if len(m.Entries) == 0 {
		reply.Index = min(last, r.log.stable)
		r.send(reply)
		return
	}
	reply.Index = last
	r.sendAfterSync(reply)
}

// followSender follows the sender of a message as the leader of its term and restarts the
// election timeout.
func (r *Replica) followSender(m Message) {
	if m.Term > r.hardState.Term {
		r.enterTerm(m.Term)
	}
	if r.role != Follower || r.leader != m.From {
		r.becomeFollower(m.From)
	}
	r.lastContact = r.now
	r.resetElectionTimeout()
}

// trimCompacted drops the entries of an append message that this replica's snapshot covers.
func (r *Replica) trimCompacted(m Message) Message {
	first := r.log.snapshot.Index
	if m.Index >= first {
		return m
	}
	skip := min(first-m.Index, uint64(len(m.Entries)))
	m.Entries = m.Entries[skip:]
	if len(m.Entries) > 0 || m.Index+skip == first {
		m.Index, m.LogTerm = first, r.log.snapshot.Term
	}
	return m
}

// rejectHint returns the last index at which the log may match the leader's, after
// a mismatch at the given index. It skips the whole conflicting term, so that
// the leader needs one message per term, not per entry.
func (r *Replica) rejectHint(index uint64) uint64 {
	last := r.log.lastIndex()
	if index > last {
		return last
	}
	conflict, ok := r.log.term(index)
	if !ok {
		return r.commit
	}
	for index > r.commit {
		if term, ok := r.log.term(index); !ok || term != conflict {
			break
		}
		index--
	}
	return index
}

// mergeEntries appends the leader's entries that the log lacks. From the first
// entry that differs, they replace the rest of the log.
func (r *Replica) mergeEntries(entries []Entry) {
	for i, e := range entries {
		if term, ok := r.log.term(e.Index); ok && term == e.Term {
			continue
		}
		fresh := entries[i:]
		movesMembers := e.Index <= r.membersIndex || slices.ContainsFunc(fresh, isMembershipEntry)
		r.log.truncateAndAppend(fresh)
		for j := range r.inflightWrites {
			r.inflightWrites[j].lastIndex = min(r.inflightWrites[j].lastIndex, e.Index-1)
		}
		r.writeEntries(fresh)
		if movesMembers {
			r.loadMembers()
		}
		return
	}
}

func (r *Replica) onAppendReply(m Message) {
	if m.Term > r.hardState.Term {
		r.enterTerm(m.Term)
		return
	}
	p := r.recordReply(m)
	if p == nil || m.Index > r.log.lastIndex() {
		return
	}
	if m.Reject {
		if m.Commit <= p.match {
			return
		}
		p.next = max(p.match+1, min(m.Index+1, p.next))
		r.sendNext(m.From, p, false)
		return
	}
	if p.snapshot != nil && m.Index >= p.snapshot.Index {
		p.snapshot, p.next = nil, m.Index+1
	}
	p.next = max(p.next, m.Index+1)
	if m.Index > p.match {
		p.match = m.Index
		r.advance()
	}
	if r.role != Leader {
		return
	}
	r.maybeSendTimeoutNow(m.From, p)
	r.sendNext(m.From, p, false)
}

// recordReply returns the progress of a replica that replied in this term, and
// records the send time of the message that it replied to. It returns nil for a
// reply of another term or of a replica that is not a member.
func (r *Replica) recordReply(m Message) *progress {
	if r.role != Leader || m.Term != r.hardState.Term {
		return nil
	}
	p := r.peers[m.From]
	if p == nil {
		return nil
	}
	if m.Round == 0 {
		return p
	}
	if sentAt := r.leaderSince.Add(time.Duration(m.Round - 1)); sentAt.After(p.ackedSendTime) && !sentAt.After(r.now) {
		p.ackedSendTime = sentAt
	}
	return p
}

// advance commits the entries that a majority has synced, if the last of them is
// of the leader's term. A leader that is no longer a voter then steps down.
func (r *Replica) advance() {
	index := r.agreedIndex()
	if term, ok := r.log.term(index); !ok || term != r.hardState.Term || index <= r.commit {
		return
	}
	if r.advanceCommit(index) {
		// The others need a majority of the former membership too until they know of the commit.
		r.broadcast(true)
		r.dropPeers()
	}
	if r.membersIndex <= r.commit && !r.members.IsVoter(r.cfg.Self) {
		r.becomeFollower(Identity{})
	}
}

// advanceCommit moves the commit index. It reports whether that commits the newest membership,
// and then has the index written, so that a restart does not bring back the former one.
func (r *Replica) advanceCommit(index uint64) bool {
	committed := r.commit < r.membersIndex && r.membersIndex <= index
	r.commit = index
	r.writePending = r.writePending || committed
	return committed
}

func (r *Replica) matchIndex(id Identity) uint64 {
	if id == r.cfg.Self {
		return r.log.stable
	}
	if p, ok := r.peers[id]; ok {
		return p.match
	}
	return 0
}

// TransferLeadership starts a leadership transfer to the voter with the most of the log,
// to one of those to avoid only if there is no other. It returns false if the replica
// is not a leader, is already transferring, or is the only voter. From now on it refuses proposals, and it steps down at the
// transfer's timeout even if the target was not elected.
func (r *Replica) TransferLeadership(now time.Time, avoid ...Identity) bool {
	r.now = now
	if r.role != Leader || !r.transferTarget.IsZero() {
		return false
	}
	var target Identity
	for _, m := range r.members.Voters {
		if m.Identity == r.cfg.Self {
			continue
		}
		avoided, targetAvoided := slices.Contains(avoid, m.Identity), slices.Contains(avoid, target)
		if target.IsZero() || !avoided && targetAvoided || avoided == targetAvoided && r.matchIndex(m.Identity) > r.matchIndex(target) {
			target = m.Identity
		}
	}
	if target.IsZero() {
		return false
	}
	r.transferTarget = target
	r.transferDeadline = now.Add(transferElectionTimeouts * r.cfg.ElectionTimeout)
	r.maybeSendTimeoutNow(target, r.peers[target])
	return true
}

// maybeSendTimeoutNow asks the target of the transfer to start an election at once, when it
// has the whole log.
func (r *Replica) maybeSendTimeoutNow(id Identity, p *progress) {
	if r.transferTarget == id && p.match == r.log.lastIndex() {
		r.send(Message{Kind: TimeoutNow, To: id})
	}
}
