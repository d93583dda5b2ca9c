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

	// Entry is one entry of the log. Data is set when Kind is Command, and
	// Members when Kind is Members.
	Entry struct {
		Index   uint64      `json:"index"`
		Term    uint64      `json:"term"`
		Kind    EntryKind   `json:"kind,omitempty"`
		Data    []byte      `json:"data,omitempty"`
		Members *Membership `json:"members,omitempty"`
	}

	// Snapshot is the applied state at an index. It replaces the entries up to
	// that index.
	Snapshot struct {
		Index   uint64     `json:"index"`
		Term    uint64     `json:"term"`
		Members Membership `json:"members"`
		Data    []byte     `json:"data"`
	}

	// HardState is the term and the vote. The vote must be synced before it is
	// sent, and the term before entries or snapshots of the term are
	// acknowledged.
	HardState struct {
		Term uint64   `json:"term"`
		Vote Identity `json:"vote"`
	}

	// Write is a set of changes that must be synced together. Nil and empty
	// fields change nothing.
	Write struct {
		Sequence uint64
		// Commit is the commit index when the write was made. It lets a restarted
		// replica apply these entries before it has contact with a leader.
		Commit    uint64
		HardState *HardState
		// Snapshot is stored before Entries. It drops the stored entries up to
		// its index, or all of them when Reset is set.
		Snapshot *Snapshot
		Reset    bool
		// Entries replace all stored entries from the first one's index on.
		Entries []Entry
	}

	// inflightWrite is a write that was taken and is not yet synced.
	inflightWrite struct {
		sequence uint64
		// lastIndex is the index of the last entry that is stable after the write.
		lastIndex uint64
		// snapshot is the snapshot received from the leader, if the write has one.
		snapshot *Snapshot
	}

	// entryLog is the snapshot and the entries after it. Entries up to the index
	// stable are synced.
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

// term returns the term of the entry at the index. It is not known for entries
// before the snapshot's index.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.snapshot.Index {
		return l.snapshot.Term, true
	}
	if index < l.snapshot.Index || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.snapshot.Index-1].Term, true
}

// between returns the entries with indices above after, up to and including last.
// Both must be in the log.
func (l *entryLog) between(after, last uint64) []Entry {
	first, end := after-l.snapshot.Index, last-l.snapshot.Index
	return l.entries[first:end:end]
}

// truncateAndAppend truncates the log before the first entry's index and appends
// the entries.
func (l *entryLog) truncateAndAppend(entries []Entry) {
	keep := entries[0].Index - 1 - l.snapshot.Index
	if keep < uint64(len(l.entries)) {
		l.entries = append([]Entry(nil), l.entries[:keep]...)
	}
	l.entries = append(l.entries, entries...)
	l.stable = min(l.stable, entries[0].Index-1)
}

// appendEntries appends entries that follow the log's last one.
func (l *entryLog) appendEntries(entries ...Entry) { l.entries = append(l.entries, entries...) }

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

// isUpToDate reports whether a log that ends at the index and term is at least as up
// to date as this one.
func (l *entryLog) isUpToDate(index, term uint64) bool {
	last := l.lastTerm()
	return term > last || (term == last && index >= l.lastIndex())
}

// writeEntries adds entries to the next write. They replace those in the write
// from the first one's index on.
func (r *Replica) writeEntries(entries []Entry) {
	pending := r.nextWrite.Entries
	for len(pending) > 0 && pending[len(pending)-1].Index >= entries[0].Index {
		pending = pending[:len(pending)-1]
	}
	r.nextWrite.Entries = append(pending, entries...)
	r.writePending = true
}

func (r *Replica) writeHardState() {
	hard := r.hardState
	r.nextWrite.HardState = &hard
	r.writePending = true
}

func (r *Replica) writeSnapshot(s Snapshot, reset bool) {
	r.nextWrite.Snapshot = &s
	if reset {
		r.nextWrite.Reset = true
		r.nextWrite.Entries = nil
	}
	r.writePending = true
}

// pendingSequence returns the sequence of the write after which all changes so far are
// synced.
func (r *Replica) pendingSequence() uint64 {
	if r.writePending {
		return r.lastSequence + 1
	}
	return r.lastSequence
}

// TakeWrite returns the next write, if there is one. Writes must be synced in
// order; the caller reports their completion by Synced.
func (r *Replica) TakeWrite() (Write, bool) {
	if !r.writePending {
		return Write{}, false
	}
	r.lastSequence++
	w := r.nextWrite
	w.Sequence, w.Commit = r.lastSequence, min(r.commit, r.log.lastIndex())
	r.nextWrite, r.writePending = Write{}, false
	rec := inflightWrite{sequence: w.Sequence, lastIndex: r.log.lastIndex()}
	if w.Reset {
		rec.snapshot = w.Snapshot
	}
	r.inflightWrites = append(r.inflightWrites, rec)
	return w, true
}

func isMembershipEntry(e Entry) bool { return e.Kind == Members }
