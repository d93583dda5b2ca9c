package replica

// incoming is a snapshot that is received in chunks.
type incoming struct {
	index, term uint64
	data        []byte
}

// startInstall starts to send the snapshot to a replica whose next entries are
// compacted in this log.
func (r *Replica) startInstall(id Identity, p *progress) {
	s := r.log.snapshot
	p.sending, p.offset = &s, 0
	r.sendChunk(id, p)
}

func (r *Replica) sendChunk(id Identity, p *progress) {
	s := p.sending
	end := min(p.offset+r.cfg.MaxBytes, len(s.Data))
	chunk := &Chunk{
		Index: s.Index, Term: s.Term, Members: s.Members, Offset: p.offset, Data: s.Data[p.offset:end],
		Last: end == len(s.Data),
	}
	r.send(Message{Kind: InstallChunk, To: id, Round: r.roundNow(), Chunk: chunk})
}

// onChunk adds a chunk to the incoming snapshot and installs it after the last
// one. Otherwise it replies with the offset that it expects next.
func (r *Replica) onChunk(m Message) {
	if m.Term < r.hard.Term {
		r.send(Message{Kind: AppendReply, To: m.From, Reject: true, Index: r.log.lastIndex()})
		return
	}
	r.hear(m)
	c := m.Chunk
	if c.Index <= r.commit {
		r.incoming = nil
		r.sendSynced(Message{Kind: AppendReply, To: m.From, Round: m.Round, Index: c.Index})
		return
	}
	if r.incoming == nil || r.incoming.index != c.Index || r.incoming.term != c.Term {
		r.incoming = &incoming{index: c.Index, term: c.Term}
	}
	if c.Offset == len(r.incoming.data) {
		r.incoming.data = append(r.incoming.data, c.Data...)
		if c.Last {
			r.install(m)
			return
		}
	}
	want := &Chunk{Index: c.Index, Term: c.Term, Offset: len(r.incoming.data)}
	r.send(Message{Kind: ChunkReply, To: m.From, Round: m.Round, Chunk: want})
}

// install replaces the log by the snapshot that was received in full.
func (r *Replica) install(m Message) {
	s := Snapshot{Index: m.Chunk.Index, Term: m.Chunk.Term, Members: m.Chunk.Members, Data: r.incoming.data}
	r.incoming = nil
	r.log.reset(s)
	for i := range r.records {
		r.records[i].last = 0
		r.records[i].installed = nil
	}
	r.commit = s.Index
	r.writeSnapshot(s, true)
	r.loadMembers()
	r.sendSynced(Message{Kind: AppendReply, To: m.From, Round: m.Round, Index: s.Index})
}

func (r *Replica) onChunkReply(m Message) {
	if m.Term > r.hard.Term {
		r.enterTerm(m.Term)
		return
	}
	p := r.answered(m)
	if p == nil || p.sending == nil || p.sending.Index != m.Chunk.Index || m.Chunk.Offset > len(p.sending.Data) {
		return
	}
	if m.Chunk.Offset == p.offset {
		return
	}
	p.offset = m.Chunk.Offset
	r.sendChunk(m.From, p)
}
