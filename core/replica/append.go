package replica

import (
	"slices"
	"time"
)

// transferTime is how many election times a hand-over may take.
const transferTime = 2

// progress is what a leader knows of another replica's log. Acked is when the
// newest message was sent that the replica has answered.
type progress struct {
	match   uint64
	next    uint64
	acked   time.Time
	sending *Snapshot
	offset  int
}

// lead makes the replica the leader. Its first entry commits what earlier
// leaders left.
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

// addEntries puts entries of the leader's term into its log and sends them.
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

// broadcast sends every other replica what it lacks.
func (r *Replica) broadcast(heartbeat bool) {
	for _, m := range r.members.All() {
		if p, ok := r.peers[m.Identity]; ok {
			r.sendNext(m.Identity, p, heartbeat)
		}
	}
}

// sendNext sends what the replica lacks; a heartbeat is sent also when it
// lacks nothing, or when its window is full.
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

// batchEnd returns the index of the last entry to send in one message.
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

// roundNow numbers the messages of this moment, so that an answer tells when
// its message was sent: it is the time since the leader's term began, plus one.
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

// hear notes a message of the term's leader.
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

// trim drops the entries that the own snapshot holds already.
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

// lastPossible returns the last index before the one given at which the log
// may equal the leader's, a whole term at a time.
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

// takeEntries adds the entries that the log lacks; at the first difference the
// rest of the log is replaced.
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

// answered returns the progress of a replica that answered in this term, and
// notes when the message that it answered was sent.
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
	if at := r.since.Add(time.Duration(m.Round - 1)); at.After(p.acked) {
		p.acked = at
	}
	return p
}

// advance commits what a majority has synced, if it is of the leader's term.
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

// quorumAt returns the time since when a majority is known to have followed.
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

// Transfer hands the leadership over to the voter that has most of the log.
// From now on this replica takes no proposals; it steps down in any case.
func (r *Replica) Transfer(now time.Time) bool {
	r.now = now
	if r.role != Leader || !r.transfer.IsZero() {
		return false
	}
	var best Identity
	for _, m := range r.members.Voters {
		if m.Identity == r.cfg.Self {
			continue
		}
		if best.IsZero() || r.matchOf(m.Identity) > r.matchOf(best) {
			best = m.Identity
		}
	}
	if best.IsZero() {
		return false
	}
	r.transfer = best
	r.deadline = now.Add(transferTime * r.cfg.Election)
	r.handOver(best, r.peers[best])
	return true
}

// handOver asks the chosen successor to start an election once it has all.
func (r *Replica) handOver(id Identity, p *progress) {
	if r.transfer == id && p.match == r.log.lastIndex() {
		r.send(Message{Kind: CampaignNow, To: id})
	}
}
