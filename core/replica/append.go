package replica

import (
	"slices"
	"time"
)

// transferTime is the timeout of a leadership transfer, in election timeouts.
const transferTime = 2

// progress is a leader's view of another replica's log.
type progress struct {
	// match is the last index known to be synced and equal to the leader's.
	match uint64
	// next is the index of the next entry to send.
	next uint64
	// acked is the send time of the latest message that the replica answered.
	acked time.Time
	// sending is the snapshot being sent, if any, and snapshotOffset the position
	// of its current chunk.
	sending *Snapshot
	offset  int
}

// lead makes the replica the leader. It appends an empty entry, because entries of
// earlier terms are committed only together with one of the leader's own term.
func (r *Replica) lead() {
	r.role = Leader
	r.leader = r.cfg.Self
	r.votes = nil
	r.peers = make(map[Identity]*progress)
	r.since = r.now
	r.loadMembers()
	r.firstOwn = r.log.lastIndex() + 1
	r.settled = r.firstOwn
	r.addEntries(r.now, Entry{Kind: Empty})
}

// addEntries appends entries in the leader's term to its log and sends them.
func (r *Replica) addEntries(now time.Time, entries ...Entry) {
	r.now = now
	for i := range entries {
		entries[i].Index = r.log.lastIndex() + uint64(i) + 1
		entries[i].Term = r.hard.Term
	}
	r.log.add(entries...)
	r.writeEntries(entries)
	if slices.ContainsFunc(entries, isMembers) {
		r.loadMembers()
	}
	r.broadcast(false)
}

func (r *Replica) tickLeader() {
	if r.now.Sub(r.quorumAt(r.now)) >= r.cfg.Election {
		r.follow(Identity{})
		return
	}
	if !r.transfer.IsZero() && !r.now.Before(r.deadline) {
		r.follow(Identity{})
		return
	}
	if r.now.Before(r.beat) {
		return
	}
	r.beat = r.now.Add(r.cfg.Heartbeat)
	r.settled = max(r.firstOwn, r.committed)
	r.committed = r.commit
	r.broadcast(true)
}

// broadcast sends every other replica the entries that it lacks.
func (r *Replica) broadcast(heartbeat bool) {
	for _, m := range r.members.All() {
		if p, ok := r.peers[m.Identity]; ok {
			r.sendNext(m.Identity, p, heartbeat)
		}
	}
}

// sendNext sends the next entries or, if they are compacted, the snapshot. A
// heartbeat is sent even if there are no entries to send or the window is full.
func (r *Replica) sendNext(id Identity, p *progress, heartbeat bool) {
	if p.sending != nil {
		if heartbeat {
			r.sendChunk(id, p)
		}
		return
	}
	before, ok := r.log.term(p.next - 1)
	if !ok {
		r.startInstall(id, p)
		return
	}
	last := r.batchEnd(p)
	if last < p.next && !heartbeat {
		return
	}
	m := Message{Kind: Append, To: id, Index: p.next - 1, LogTerm: before, Commit: r.commit, Round: r.roundNow()}
	if last >= p.next {
		m.Entries = r.log.between(p.next-1, last)
		p.next = last + 1
	}
	r.send(m)
}

// batchEnd returns the index of the last entry of the next message, within the
// limits on entries, bytes and unacknowledged entries.
func (r *Replica) batchEnd(p *progress) uint64 {
	last := min(r.log.lastIndex(), p.next-1+uint64(r.cfg.MaxAppend), p.match+r.cfg.Window)
	size := 0
	for i := p.next; i <= last; i++ {
		size += len(r.log.entries[i-r.log.snapshot.Index-1].Data)
		if size > r.cfg.MaxBytes && i > p.next {
			return i - 1
		}
	}
	return last
}

// roundNow returns the round number of messages sent now: the nanoseconds since
// this replica became leader, plus one. The reply echoes it, which gives the
// leader the send time of the message.
func (r *Replica) roundNow() uint64 { return uint64(r.now.Sub(r.since)) + 1 }

func (r *Replica) onAppend(m Message) {
	if m.Term < r.hard.Term {
		r.send(Message{Kind: AppendReply, To: m.From, Reject: true, Index: r.log.lastIndex()})
		return
	}
	r.hear(m)
	reply := Message{Kind: AppendReply, To: m.From, Round: m.Round}
	m = r.trim(m)
	if term, ok := r.log.term(m.Index); !ok || term != m.LogTerm {
		reply.Reject, reply.Index, reply.Commit = true, r.lastPossible(m.Index), m.Index
		r.send(reply)
		return
	}
	last := m.Index + uint64(len(m.Entries))
	r.takeEntries(m.Entries)
	r.commit = max(r.commit, min(m.Commit, last))
	if len(m.Entries) == 0 {
		reply.Index = min(last, r.log.stable)
		r.send(reply)
		return
	}
	reply.Index = last
	r.sendSynced(reply)
}

// hear follows the sender of a message as the leader of its term and restarts the
// election timeout.
func (r *Replica) hear(m Message) {
	if m.Term > r.hard.Term {
		r.enterTerm(m.Term)
	}
	if r.role != Follower || r.leader != m.From {
		r.follow(m.From)
	}
	r.heard = r.now
	r.resetCampaign()
}

// trim drops the entries of an append message that this replica's snapshot covers.
func (r *Replica) trim(m Message) Message {
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

// lastPossible returns the last index at which the log may match the leader's, after
// a mismatch at the given index. It skips the whole conflicting term, so that
// the leader needs one message per term, not per entry.
func (r *Replica) lastPossible(index uint64) uint64 {
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

// takeEntries appends the leader's entries that the log lacks. From the first
// entry that differs, they replace the rest of the log.
func (r *Replica) takeEntries(entries []Entry) {
	for i, e := range entries {
		if term, ok := r.log.term(e.Index); ok && term == e.Term {
			continue
		}
		fresh := entries[i:]
		movesMembers := e.Index <= r.membersIndex || slices.ContainsFunc(fresh, isMembers)
		r.log.replace(fresh)
		for j := range r.records {
			r.records[j].last = min(r.records[j].last, e.Index-1)
		}
		r.writeEntries(fresh)
		if movesMembers {
			r.loadMembers()
		}
		return
	}
}

func (r *Replica) onAppendReply(m Message) {
	if m.Term > r.hard.Term {
		r.enterTerm(m.Term)
		return
	}
	p := r.answered(m)
	if p == nil {
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
	if p.sending != nil && m.Index >= p.sending.Index {
		p.sending, p.next = nil, m.Index+1
	}
	p.next = max(p.next, m.Index+1)
	if m.Index > p.match {
		p.match = m.Index
		r.advance()
	}
	if r.role != Leader {
		return
	}
	r.handOver(m.From, p)
	r.sendNext(m.From, p, false)
}

// answered returns the progress of a replica that replied in this term, and
// records the send time of the message that it replied to. It returns nil for a
// reply of another term or of a replica that is not a member.
func (r *Replica) answered(m Message) *progress {
	if r.role != Leader || m.Term != r.hard.Term {
		return nil
	}
	p := r.peers[m.From]
	if p == nil {
		return nil
	}
	if m.Round == 0 {
		return p
	}
	if sentAt := r.since.Add(time.Duration(m.Round - 1)); sentAt.After(p.acked) {
		p.acked = sentAt
	}
	return p
}

// advance commits the entries that a majority has synced, if the last of them is
// of the leader's term. A leader that is no longer a voter then steps down.
func (r *Replica) advance() {
	matches := make([]uint64, 0, len(r.members.Voters))
	for _, m := range r.members.Voters {
		matches = append(matches, r.matchOf(m.Identity))
	}
	slices.Sort(matches)
	index := matches[len(matches)-r.members.Quorum()]
	if term, ok := r.log.term(index); !ok || term != r.hard.Term || index <= r.commit {
		return
	}
	r.commit = index
	if r.membersIndex <= r.commit && !r.members.IsVoter(r.cfg.Self) {
		r.broadcast(true)
		r.follow(Identity{})
	}
}

func (r *Replica) matchOf(id Identity) uint64 {
	if id == r.cfg.Self {
		return r.log.stable
	}
	if p, ok := r.peers[id]; ok {
		return p.match
	}
	return 0
}

// quorumAt returns the latest time for which a majority of the voters, counting
// this replica, has answered messages sent at or after it.
func (r *Replica) quorumAt(now time.Time) time.Time {
	var times []time.Time
	for _, m := range r.members.Voters {
		switch p := r.peers[m.Identity]; {
		case m.Identity == r.cfg.Self:
			times = append(times, now)
		case p != nil:
			times = append(times, p.acked)
		default:
			times = append(times, time.Time{})
		}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[r.members.Quorum()-1]
}

// Transfer starts a leadership transfer to the voter with the most of the log. It
// returns false if the replica is not a leader, is already transferring, or is
// the only voter. From now on it refuses proposals, and it steps down at the
// transfer's timeout even if the target was not elected.
func (r *Replica) Transfer(now time.Time) bool {
	r.now = now
	if r.role != Leader || !r.transfer.IsZero() {
		return false
	}
	var target Identity
	for _, m := range r.members.Voters {
		if m.Identity == r.cfg.Self {
			continue
		}
		if target.IsZero() || r.matchOf(m.Identity) > r.matchOf(target) {
			target = m.Identity
		}
	}
	if target.IsZero() {
		return false
	}
	r.transfer = target
	r.deadline = now.Add(transferTime * r.cfg.Election)
	r.handOver(target, r.peers[target])
	return true
}

// handOver asks the target of the transfer to start an election at once, when it
// has the whole log.
func (r *Replica) handOver(id Identity, p *progress) {
	if r.transfer == id && p.match == r.log.lastIndex() {
		r.send(Message{Kind: CampaignNow, To: id})
	}
}
