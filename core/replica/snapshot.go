package replica

// incomingSnapshot is a snapshot that is received in chunks.
type incomingSnapshot struct {
	index, term uint64
	data        []byte
}

// startSnapshot starts to send the snapshot to a replica whose next entries are
// compacted in this log.
func (r *Replica) startSnapshot(id Identity, p *progress) {
	s := r.log.snapshot
	p.snapshot, p.snapshotOffset = &s, 0
	r.sendChunk(id, p)
}

func (r *Replica) sendChunk(id Identity, p *progress) {
	s := p.snapshot
	end := min(p.snapshotOffset+r.cfg.MaxMessageBytes, len(s.Data))
	chunk := &Chunk{
		Index: s.Index, Term: s.Term, Members: s.Members, Offset: p.snapshotOffset, Data: s.Data[p.snapshotOffset:end],
		Last: end == len(s.Data),
	}
	r.send(Message{Kind: InstallSnapshot, To: id, Round: r.currentRound(), Chunk: chunk})
}

// onInstallSnapshot adds a chunk to the incoming snapshot. After the last chunk it
// installs the snapshot; before that, it replies with the offset that it expects
// next.
func (r *Replica) onInstallSnapshot(m Message) {
	if m.Term < r.hardState.Term {
		r.send(Message{Kind: AppendReply, To: m.From, Reject: true, Index: r.log.lastIndex()})
		return
	}
	r.followSender(m)
	c := m.Chunk
	if c.Index <= r.commit {
		r.incomingSnapshot = nil
		r.sendAfterSync(Message{Kind: AppendReply, To: m.From, Round: m.Round, Index: c.Index})
		return
	}
	if r.incomingSnapshot == nil || r.incomingSnapshot.index != c.Index || r.incomingSnapshot.term != c.Term {
		r.incomingSnapshot = &incomingSnapshot{index: c.Index, term: c.Term}
	}
	if c.Offset == len(r.incomingSnapshot.data) {
		r.incomingSnapshot.data = append(r.incomingSnapshot.data, c.Data...)
		if c.Last {
			r.install(m)
			return
		}
	}
	want := &Chunk{Index: c.Index, Term: c.Term, Offset: len(r.incomingSnapshot.data)}
	r.send(Message{Kind: InstallSnapshotReply, To: m.From, Round: m.Round, Chunk: want})
}

// install replaces the log by the snapshot that was received in full.
func (r *Replica) install(m Message) {
	s := Snapshot{Index: m.Chunk.Index, Term: m.Chunk.Term, Members: m.Chunk.Members, Data: r.incomingSnapshot.data}
	r.incomingSnapshot = nil
	r.log.reset(s)
	for i := range r.inflightWrites {
		r.inflightWrites[i].lastIndex = 0
		r.inflightWrites[i].snapshot = nil
	}
	r.commit = s.Index
	r.writeSnapshot(s, true)
	r.loadMembers()
	r.sendAfterSync(Message{Kind: AppendReply, To: m.From, Round: m.Round, Index: s.Index})
}

func (r *Replica) onInstallSnapshotReply(m Message) {
	if m.Term > r.hardState.Term {
		r.enterTerm(m.Term)
		return
	}
	p := r.recordReply(m)
	if p == nil || p.snapshot == nil || p.snapshot.Index != m.Chunk.Index || m.Chunk.Offset > len(p.snapshot.Data) {
		return
	}
	if m.Chunk.Offset == p.snapshotOffset {
		return
	}
	p.snapshotOffset = m.Chunk.Offset
	r.sendChunk(m.From, p)
}
