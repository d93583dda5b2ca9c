package replica

// The kinds of message between the replicas of a group.
const (
	PreVote Kind = iota + 1
	PreVoteReply
	Vote
	VoteReply
	Append
	AppendReply
	InstallSnapshot
	InstallSnapshotReply
	TimeoutNow
)

type (
	// Kind is the type of a message.
	Kind uint8

	// Message is a message between two replicas. The network may lose, duplicate,
	// delay or reorder it. Its fields have these meanings:
	//
	//   - Append: Index and LogTerm name the entry before Entries; Commit is the
	//     leader's commit index; Round is echoed by the reply.
	//   - AppendReply: Index is the last entry that is synced and equal to the
	//     leader's. With Reject, Index is the last one that may be equal, and
	//     Commit is the rejected message's Index.
	//   - PreVote, Vote: Index and LogTerm name the candidate's last entry.
	//     Forced is set in an election that a leadership transfer started.
	//   - InstallSnapshot: Chunk is a part of the snapshot.
	//   - InstallSnapshotReply: Chunk names the snapshot and the offset that the
	//     receiver expects next.
	Message struct {
		Group   string   `json:"group"`
		Kind    Kind     `json:"kind"`
		From    Identity `json:"from"`
		To      Identity `json:"to"`
		Term    uint64   `json:"term"`
		Index   uint64   `json:"index,omitempty"`
		LogTerm uint64   `json:"log_term,omitempty"`
		Commit  uint64   `json:"commit,omitempty"`
		Round   uint64   `json:"round,omitempty"`
		Reject  bool     `json:"reject,omitempty"`
		Forced  bool     `json:"forced,omitempty"`
		Entries []Entry  `json:"entries,omitempty"`
		Chunk   *Chunk   `json:"chunk,omitempty"`
	}

	// Chunk is a part of a snapshot, at most Config.MaxMessageBytes long.
	Chunk struct {
		Index   uint64     `json:"index"`
		Term    uint64     `json:"term"`
		Members Membership `json:"members"`
		Offset  int        `json:"offset"`
		Data    []byte     `json:"data,omitempty"`
		Last    bool       `json:"last,omitempty"`
	}

	// outgoing is a message that may be sent once the write with the sequence
	// afterSequence is synced.
	outgoing struct {
		message       Message
		afterSequence uint64
	}
)

// isWellFormed reports whether a message has the parts that its kind needs. A faulty peer or
// another build may send any.
func (m Message) isWellFormed() bool {
	switch m.Kind {
	case InstallSnapshot:
		return m.Chunk != nil && m.Chunk.Offset >= 0 && len(m.Chunk.Members.Voters) > 0
	case InstallSnapshotReply:
		return m.Chunk != nil && m.Chunk.Offset >= 0
	case Append:
		for i, e := range m.Entries {
			if e.Index != m.Index+uint64(i)+1 || e.Kind == Members && (e.Members == nil || len(e.Members.Voters) == 0) {
				return false
			}
		}
	}
	return true
}

// send queues a message that may be sent without waiting for a write.
func (r *Replica) send(m Message) { r.sendAfter(m, 0) }

// sendAfterSync queues a message that must not be sent before all changes so far are
// synced.
func (r *Replica) sendAfterSync(m Message) { r.sendAfter(m, r.pendingSequence()) }

func (r *Replica) sendAfter(m Message, write uint64) {
	m.Group, m.From = r.cfg.Group, r.cfg.Self
	if m.Term == 0 {
		m.Term = r.hardState.Term
	}
	r.outbox = append(r.outbox, outgoing{message: m, afterSequence: write})
}

// TakeMessages returns the messages that may be sent now.
func (r *Replica) TakeMessages() []Message {
	var ready []Message
	waiting := r.outbox[:0]
	for _, o := range r.outbox {
		if o.afterSequence > r.syncedSequence {
			waiting = append(waiting, o)
			continue
		}
		ready = append(ready, o.message)
	}
	clear(r.outbox[len(waiting):])
	r.outbox = waiting
	return ready
}
