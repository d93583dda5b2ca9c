package replica

// The kinds of log entry.
const (
	Command EntryKind = iota
	Empty
	Members
)

type (
	// EntryKind says what an entry holds.
	EntryKind uint8

	// Entry is one entry of the log. Members is set when Kind is Members.
	Entry struct {
		Index   uint64      `json:"index"`
		Term    uint64      `json:"term"`
		Kind    EntryKind   `json:"kind,omitempty"`
		Data    []byte      `json:"data,omitempty"`
		Members *Membership `json:"members,omitempty"`
	}

	// Snapshot is the applied state at an index, which replaces the entries up
	// to it.
	Snapshot struct {
		Index   uint64     `json:"index"`
		Term    uint64     `json:"term"`
		Members Membership `json:"members"`
		Data    []byte     `json:"data"`
	}

	// HardState is what a replica must remember before it answers.
	HardState struct {
		Term uint64   `json:"term"`
		Vote Identity `json:"vote"`
	}

	// Write is what must be synced together. A snapshot goes first: it drops
	// the entries up to its index, or all when Reset is set. Entries replace
	// all entries from the first one's index on. Nil and empty fields change
	// nothing. Commit is an index up to which entries were committed when the
	// write was made; it rides along, so that a restart need not wait for a
	// leader to know them.
	Write struct {
		Sequence uint64
		Commit   uint64
		Hard     *HardState
		Snapshot *Snapshot
		Reset    bool
		Entries  []Entry
	}

	// record is a write on its way to the disk and the last entry that is
	// stable once it is synced.
	record struct {
		sequence  uint64
		last      uint64
		installed *Snapshot
	}

	// entryLog is the snapshot and the entries behind it.
	entryLog struct {
		snapshot Snapshot
		entries  []Entry
		stable   uint64
	}
)

func (l *entryLog) lastIndex() uint64 { return l.snapshot.Index + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at the index, if it is known.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.snapshot.Index {
		return l.snapshot.Term, true
	}
	if index < l.snapshot.Index || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.snapshot.Index-1].Term, true
}

// between returns the entries after one index up to another, both in the log.
func (l *entryLog) between(after, last uint64) []Entry {
	first, end := after-l.snapshot.Index, last-l.snapshot.Index
	return l.entries[first:end:end]
}

// replace puts entries at the log's end, after all from the first one's index
// on are dropped.
func (l *entryLog) replace(entries []Entry) {
	keep := entries[0].Index - 1 - l.snapshot.Index
	if keep < uint64(len(l.entries)) {
		l.entries = append([]Entry(nil), l.entries[:keep]...)
	}
	l.entries = append(l.entries, entries...)
	l.stable = min(l.stable, entries[0].Index-1)
}

// add puts new entries at the log's end.
func (l *entryLog) add(entries ...Entry) { l.entries = append(l.entries, entries...) }

// compact drops the entries that the snapshot replaces.
func (l *entryLog) compact(s Snapshot) {
	l.entries = append([]Entry(nil), l.entries[s.Index-l.snapshot.Index:]...)
	l.snapshot = s
}

// reset replaces the whole log by a snapshot.
func (l *entryLog) reset(s Snapshot) {
	l.snapshot, l.entries = s, nil
	l.stable = 0
}

// members returns the newest membership and the index of its entry.
func (l *entryLog) members() (Membership, uint64) {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if e := l.entries[i]; e.Kind == Members {
			return *e.Members, e.Index
		}
	}
	return l.snapshot.Members, l.snapshot.Index
}

// isBehind reports whether a log that ends at index and term lacks entries.
func (l *entryLog) isBehind(index, term uint64) bool {
	last := l.lastTerm()
	return term > last || (term == last && index >= l.lastIndex())
}

// writeEntries adds entries to the next write.
func (r *Replica) writeEntries(entries []Entry) {
	pending := r.write.Entries
	for len(pending) > 0 && pending[len(pending)-1].Index >= entries[0].Index {
		pending = pending[:len(pending)-1]
	}
	r.write.Entries = append(pending, entries...)
	r.dirty = true
}

func (r *Replica) writeHard() {
	hard := r.hard
	r.write.Hard = &hard
	r.dirty = true
}

func (r *Replica) writeSnapshot(s Snapshot, reset bool) {
	r.write.Snapshot = &s
	if reset {
		r.write.Reset = true
		r.write.Entries = nil
	}
	r.dirty = true
}

// newestWrite returns the sequence of the write that holds all changes so far.
func (r *Replica) newestWrite() uint64 {
	if r.dirty {
		return r.sequence + 1
	}
	return r.sequence
}

// TakeWrite returns the next write, if there is one. Writes must be synced in
// order; Synced reports each.
func (r *Replica) TakeWrite() (Write, bool) {
	if !r.dirty {
		return Write{}, false
	}
	r.sequence++
	w := r.write
	w.Sequence, w.Commit = r.sequence, min(r.commit, r.log.lastIndex())
	r.write, r.dirty = Write{}, false
	rec := record{sequence: w.Sequence, last: r.log.lastIndex()}
	if w.Reset {
		rec.installed = w.Snapshot
	}
	r.records = append(r.records, rec)
	return w, true
}

func isMembers(e Entry) bool { return e.Kind == Members }
