// Package replica implements a replicated log (Raft) as a state machine without
// I/O: messages, ticks and disk completions go in; messages, writes and
// committed entries come out. It has pre-vote, check-quorum, learners,
// single-server membership changes and leadership transfer. Votes, acknowledged
// entries and applied entries are always synced to disk first.
package replica

import (
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
)

// The roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

type (
	// Role is the Raft role of a replica in its current term.
	Role uint8

	// Config configures a replica.
	Config struct {
		// Group is the name of the replica's group; messages of others are dropped.
		Group string
		// Self identifies this replica.
		Self Identity
		// Heartbeat is the time between two heartbeats of a leader.
		Heartbeat time.Duration
		// Election is the minimum election timeout. For the same time after a
		// message from a leader, a replica votes for no other candidate, except
		// in a leadership transfer.
		Election time.Duration
		// MaxAppend is the maximum number of entries in one message.
		MaxAppend int
		// MaxBytes is the approximate maximum size of the data in one message
		// or snapshot chunk. A single larger entry is still sent.
		MaxBytes int
		// Window is the maximum number of entries sent to a replica and not yet
		// acknowledged.
		Window uint64
		// Random randomizes the election timeout.
		Random *rand.Rand
	}

	// Saved is the state that the data folder holds when a replica starts.
	Saved struct {
		Hard HardState
		// Commit is a lower bound of the commit index at the last shutdown.
		Commit   uint64
		Snapshot Snapshot
		Entries  []Entry
	}

	// Commits is what to apply next: the snapshot, if any, then the entries.
	Commits struct {
		Snapshot *Snapshot
		Entries  []Entry
	}

	// Replica is one replica of a group. It is not safe for concurrent use.
	Replica struct {
		cfg  Config
		now  time.Time
		role Role
		hard HardState
		log  entryLog

		members      Membership
		membersIndex uint64
		leader       Identity
		commit       uint64
		applied      uint64

		// Follower state: the time of the last message from a leader, when the
		// election timeout expires, and the snapshot being received.
		heard    time.Time
		campaign time.Time
		incoming *incoming

		// Candidate state: the votes received, and the sequence of the write
		// that holds the replica's own vote.
		votes     map[Identity]bool
		voteWrite uint64

		// Leader state.
		peers map[Identity]*progress
		// since is when the replica became leader.
		since time.Time
		// beat is when the next heartbeat is due.
		beat time.Time
		// firstOwn is the index of the first entry of the leader's term.
		firstOwn uint64
		// settled is the index that a learner must have reached to count as
		// caught up: the commit index at the heartbeat before the last.
		settled uint64
		// committed is the commit index at the last heartbeat.
		committed uint64
		// transfer is the target of a leadership transfer, and transferDeadline the
		// time at which the leader steps down even if the transfer has not succeeded.
		transfer Identity
		deadline time.Time

		// outbox holds messages to send, some of which wait for a write.
		outbox []outgoing
		// write collects the changes for the next write; writePending is set when
		// there are any.
		write Write
		dirty bool
		// sequence is that of the last write taken, syncedSequence that of the last
		// write completed. inflightWrites are the writes between them.
		sequence uint64
		synced   uint64
		records  []record
		// installed is a synced snapshot that is not yet passed on for applying.
		installed *Snapshot
	}
)

// New returns a replica that starts from the state of its data folder. With an
// empty folder it is not a member: it receives the log, but neither votes nor
// starts elections. It counts its start as contact with a leader, because it may
// have had such contact before; only a sole voter starts an election at once.
func New(cfg Config, now time.Time, saved Saved) *Replica {
	r := &Replica{cfg: cfg, now: now, hard: saved.Hard, heard: now}
	r.log = entryLog{snapshot: saved.Snapshot, entries: saved.Entries}
	r.log.stable = r.log.lastIndex()
	r.applied = saved.Snapshot.Index
	r.commit = max(saved.Snapshot.Index, min(saved.Commit, r.log.lastIndex()))
	r.loadMembers()
	r.follow(Identity{})
	if r.isAlone() {
		r.heard, r.campaign = time.Time{}, now
	}
	return r
}

// Bootstrap returns the initial state of the first replica of a new group.
func Bootstrap(first Member) Saved {
	m := Membership{Voters: []Member{first}}
	return Saved{Snapshot: Snapshot{Index: 1, Term: 1, Members: m}, Hard: HardState{Term: 1}}
}

// Tick advances the replica's clock. It sends heartbeats that are due and starts
// an election after the election timeout.
func (r *Replica) Tick(now time.Time) {
	r.now = now
	if r.role == Leader {
		r.tickLeader()
		return
	}
	if !now.Before(r.campaign) {
		r.preCampaign()
	}
}

// Receive processes a message. It drops messages of another group and those
// addressed to another identity, such as an earlier incarnation.
func (r *Replica) Receive(now time.Time, m Message) {
	r.now = now
	if m.Group != r.cfg.Group || m.To != r.cfg.Self {
		return
	}
	switch m.Kind {
	case PreVote:
		r.onPreVote(m)
	case PreVoteReply:
		r.onPreVoteReply(m)
	case Vote:
		r.onVote(m)
	case VoteReply:
		r.onVoteReply(m)
	case Append:
		r.onAppend(m)
	case AppendReply:
		r.onAppendReply(m)
	case InstallChunk:
		r.onChunk(m)
	case ChunkReply:
		r.onChunkReply(m)
	case CampaignNow:
		r.onCampaignNow(m)
	}
}

// Synced is called when the writes up to the sequence are on disk.
func (r *Replica) Synced(now time.Time, sequence uint64) {
	r.now = now
	r.synced = max(r.synced, sequence)
	for len(r.records) > 0 && r.records[0].sequence <= sequence {
		rec := r.records[0]
		r.records = r.records[1:]
		r.log.stable = max(r.log.stable, rec.last)
		if rec.installed != nil {
			r.installed = rec.installed
		}
	}
	if r.role == Candidate {
		r.countVotes()
	}
	if r.role == Leader {
		r.advance()
	}
}

// Propose appends commands to the leader's log. It returns the index of the
// first one and the term. A command is committed once TakeCommitted returns an
// entry with its index and this term; an entry of another term replaced it.
func (r *Replica) Propose(now time.Time, commands ...[]byte) (index, term uint64, err error) {
	if r.role != Leader {
		return 0, 0, errors.Trace(ErrNotLeader)
	}
	if !r.transfer.IsZero() {
		return 0, 0, errors.Trace(ErrStopping)
	}
	entries := make([]Entry, len(commands))
	for i, data := range commands {
		entries[i].Data = data
	}
	index = r.log.lastIndex() + 1
	r.addEntries(now, entries...)
	return index, r.hard.Term, nil
}

// TakeCommits returns what to apply next and marks it as applied. It returns
// only what is synced on this replica.
func (r *Replica) TakeCommits() Commits {
	var c Commits
	if r.installed != nil && r.installed.Index > r.applied {
		c.Snapshot = r.installed
		r.applied = r.installed.Index
	}
	r.installed = nil
	last := min(r.commit, r.log.stable)
	if last > r.applied && r.applied >= r.log.snapshot.Index {
		c.Entries = r.log.between(r.applied, last)
		r.applied = last
	}
	return c
}

// Compact replaces the entries up to an applied index by a snapshot with the
// encoded state at that index. Other indexes are ignored.
func (r *Replica) Compact(index uint64, data []byte) {
	term, ok := r.log.term(index)
	if !ok || index <= r.log.snapshot.Index || index > r.applied {
		return
	}
	s := Snapshot{Index: index, Term: term, Members: r.membersAt(index), Data: data}
	r.log.compact(s)
	r.writeSnapshot(s, false)
}

func (r *Replica) membersAt(index uint64) Membership {
	m := r.log.snapshot.Members
	for _, e := range r.log.between(r.log.snapshot.Index, index) {
		if e.Kind == Members {
			m = *e.Members
		}
	}
	return m
}

func (r *Replica) isAlone() bool {
	return len(r.members.Voters) == 1 && r.members.IsVoter(r.cfg.Self)
}
