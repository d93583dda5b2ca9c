package replica

// The kinds of message between the replicas of a group.
const (
	PreVote Kind = iota + 1
	PreVoteReply
	Vote
	VoteReply
	Append
	AppendReply
	InstallChunk
	ChunkReply
	CampaignNow
)

type (
	// Kind names the type of a message.
	Kind uint8

	// Message is what one replica sends to another. It may be lost, doubled,
	// late or reordered. Its fields have these meanings:
	//
	//   - Append: Index and LogTerm name the entry before Entries; Commit is the
	//     leader's commit index; Round is echoed by the reply.
	//   - AppendReply: Index is the last entry that is synced and equal to the
	//     leader's, or, with Reject, the last index that may be equal.
	//   - PreVote, Vote: Index and LogTerm name the candidate's last entry.
	//     Forced is set when the leader asked for the election.
	//   - InstallChunk, ChunkReply: Chunk is a part of a snapshot, or the offset
	//     that is wanted next.
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

	// Chunk is a bounded part of a snapshot.
	Chunk struct {
		Index   uint64     `json:"index"`
		Term    uint64     `json:"term"`
		Members Membership `json:"members"`
		Offset  int        `json:"offset"`
		Data    []byte     `json:"data,omitempty"`
		Last    bool       `json:"last,omitempty"`
	}

	// outgoing is a message that waits until a write is synced.
	outgoing struct {
		message Message
		after   uint64
	}
)

// send queues a message that depends on nothing that is not synced.
func (r *Replica) send(m Message) { r.sendAfter(m, 0) }

// sendSynced queues a message that must not leave before all writes so far
// are synced.
func (r *Replica) sendSynced(m Message) { r.sendAfter(m, r.newestWrite()) }

func (r *Replica) sendAfter(m Message, write uint64) {
	m.Group, m.From = r.cfg.Group, r.cfg.Self
	if m.Term == 0 {
		m.Term = r.hard.Term
	}
	r.outbox = append(r.outbox, outgoing{message: m, after: write})
}

// TakeMessages returns the messages that may be sent now.
func (r *Replica) TakeMessages() []Message {
	var ready []Message
	held := r.outbox[:0]
	for _, o := range r.outbox {
		if o.after > r.synced {
			held = append(held, o)
			continue
		}
		ready = append(ready, o.message)
	}
	clear(r.outbox[len(held):])
	r.outbox = held
	return ready
}
