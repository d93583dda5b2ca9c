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
		// HeartbeatInterval is the time between two heartbeats of a leader.
		HeartbeatInterval time.Duration
		// ElectionTimeout is the minimum election timeout. For the same time after a
		// message from a leader, a replica votes for no other candidate, except
		// in a leadership transfer.
		ElectionTimeout time.Duration
		// MaxAppendEntries is the maximum number of entries in one message.
		MaxAppendEntries int
		// MaxMessageBytes is the approximate maximum size of the data in one message
		// or snapshot chunk. A single larger entry is still sent.
		MaxMessageBytes int
		// MaxInflightEntries is the maximum number of entries sent to a replica and not yet
		// acknowledged.
		MaxInflightEntries uint64
		// Random randomizes the election timeout.
		Random *rand.Rand
	}

	// PersistentState is the state that the data folder holds when a replica starts.
	PersistentState struct {
		HardState HardState
		// Commit is a lower bound of the commit index at the last shutdown.
		Commit   uint64
		Snapshot Snapshot
		Entries  []Entry
	}

	// CommittedBatch is what to apply next: the snapshot, if any, then the entries.
	CommittedBatch struct {
		Snapshot *Snapshot
		Entries  []Entry
	}

	// Replica is one replica of a group. It is not safe for concurrent use.
	Replica struct {
		cfg       Config
		now       time.Time
		role      Role
		hardState HardState
		log       entryLog

		// members is the newest membership of the log. allMemberships holds the newest
		// committed one and those after it, memberships the ones of which a majority is
		// needed.
		members        Membership
		membersIndex   uint64
		allMemberships []loggedMembership
		memberships    []loggedMembership
		leader         Identity
		commit         uint64
		applied        uint64

		// Follower state: the time of the last message from a leader, when the
		// election timeout expires, and the snapshot being received.
		lastContact      time.Time
		electionDeadline time.Time
		incomingSnapshot *incomingSnapshot

		// Candidate state: the votes received, and the sequence of the write
		// that holds the replica's own vote.
		votes        map[Identity]bool
		voteSequence uint64

		// lostDisks are the members whose disks are known to be lost, and lostBefore the
		// voters among them when the election began. halfElections is set once all members
		// know elections by half of the voters.
		lostDisks     map[Identity]bool
		lostBefore    map[Identity]bool
		halfElections bool

		// Leader state.
		peers map[Identity]*progress
		// leaderSince is when the replica became leader.
		leaderSince time.Time
		// electedByHalf is set on a leader that half of the voters elected, and halfIndex is
		// the index of the membership of which they were half.
		electedByHalf bool
		halfIndex     uint64
		// nextHeartbeat is when the next heartbeat is due.
		nextHeartbeat time.Time
		// firstIndexOfTerm is the index of the first entry of the leader's term.
		firstIndexOfTerm uint64
		// catchUpIndex is the index that a learner must have reached to count as
		// caught up: the commit index at the heartbeat before the last.
		catchUpIndex uint64
		// heartbeatCommit is the commit index at the last heartbeat.
		heartbeatCommit uint64
		// transferTarget is the target of a leadership transfer, and transferDeadline the
		// time at which the leader steps down even if the transfer has not succeeded.
		transferTarget   Identity
		transferDeadline time.Time

		// outbox holds messages to send, some of which wait for a write.
		outbox []outgoing
		// nextWrite collects the changes for the next write; writePending is set when
		// there are any.
		nextWrite    Write
		writePending bool
		// lastSequence is that of the last write taken, syncedSequence that of the last
		// write completed. inflightWrites are the writes between them.
		lastSequence   uint64
		syncedSequence uint64
		inflightWrites []inflightWrite
		// installedSnapshot is a synced snapshot that is not yet passed on for applying.
		installedSnapshot *Snapshot
	}
)

// New returns a replica that starts from the state of its data folder. With an
// empty folder it is not a member: it receives the log, but neither votes nor
// starts elections. It counts its start as contact with a leader, because it may
// have had such contact before; only a sole voter starts an election at once.
func New(cfg Config, now time.Time, saved PersistentState) *Replica {
	r := &Replica{cfg: cfg, now: now, hardState: saved.HardState, lastContact: now}
	r.log = entryLog{snapshot: saved.Snapshot, entries: saved.Entries}
	r.log.stable = r.log.lastIndex()
	r.applied = saved.Snapshot.Index
	r.commit = max(saved.Snapshot.Index, min(saved.Commit, r.log.lastIndex()))
	r.loadMembers()
	r.becomeFollower(Identity{})
	if r.isSoleVoter() {
		r.lastContact, r.electionDeadline = time.Time{}, now
	}
	return r
}

// Bootstrap returns the initial state of the first replica of a new group.
func Bootstrap(first Member) PersistentState {
	m := Membership{Voters: []Member{first}}
	return PersistentState{Snapshot: Snapshot{Index: 1, Term: 1, Members: m}, HardState: HardState{Term: 1}}
}

// Tick advances the replica's clock. It sends heartbeats that are due and starts
// an election after the election timeout.
func (r *Replica) Tick(now time.Time) {
	r.now = now
	if r.role == Leader {
		r.tickLeader()
		return
	}
	if !now.Before(r.electionDeadline) {
		r.startPreVote()
	}
}

// Receive processes a message. It drops messages of another group, those addressed to
// another identity, such as an earlier incarnation, and malformed ones.
func (r *Replica) Receive(now time.Time, m Message) {
	r.now = now
	if m.Group != r.cfg.Group || m.To != r.cfg.Self || !m.isWellFormed() {
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
	case InstallSnapshot:
		r.onInstallSnapshot(m)
	case InstallSnapshotReply:
		r.onInstallSnapshotReply(m)
	case TimeoutNow:
		r.onTimeoutNow(m)
	}
}

// Synced is called when the writes up to the sequence are on disk.
func (r *Replica) Synced(now time.Time, sequence uint64) {
	r.now = now
	r.syncedSequence = max(r.syncedSequence, sequence)
	for len(r.inflightWrites) > 0 && r.inflightWrites[0].sequence <= sequence {
		rec := r.inflightWrites[0]
		r.inflightWrites = r.inflightWrites[1:]
		r.log.stable = max(r.log.stable, rec.lastIndex)
		if rec.snapshot != nil {
			r.installedSnapshot = rec.snapshot
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
	if !r.transferTarget.IsZero() {
		return 0, 0, errors.Trace(ErrTransferring)
	}
	entries := make([]Entry, len(commands))
	for i, data := range commands {
		entries[i].Data = data
	}
	index = r.log.lastIndex() + 1
	r.appendOwnEntries(now, entries...)
	return index, r.hardState.Term, nil
}

// TakeCommitted returns what to apply next and marks it as applied. It returns
// only what is synced on this replica.
func (r *Replica) TakeCommitted() CommittedBatch {
	var c CommittedBatch
	if r.installedSnapshot != nil && r.installedSnapshot.Index > r.applied {
		c.Snapshot = r.installedSnapshot
		r.applied = r.installedSnapshot.Index
	}
	r.installedSnapshot = nil
	last := min(r.commit, r.log.stable)
	if last > r.applied && r.applied >= r.log.snapshot.Index {
		c.Entries = r.log.between(r.applied, last)
		r.applied = last
	}
	return c
}

// Compact replaces the entries up to an applied index by a snapshot with the
// encoded state at that index. Other indices are ignored.
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

func (r *Replica) isSoleVoter() bool {
	return len(r.members.Voters) == 1 && r.members.IsVoter(r.cfg.Self)
}
