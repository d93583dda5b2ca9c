// Package replica is a replicated log as a pure state machine. Messages, ticks
// and disk completions go in; messages, writes and committed entries come out.
// It follows Raft with pre-vote, check-quorum, learners, single membership
// changes and leader transfer. Nothing counts before it is synced.
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
	// Role is what a replica does in its term.
	Role uint8

	// Config are the settings of a replica. Election is the shortest time
	// without a leader before an election, and the time for which a replica
	// that heard a leader votes for no other. MaxAppend bounds the entries and
	// MaxBytes about the bytes of one message or chunk; Window bounds the
	// entries that are sent and not acknowledged.
	Config struct {
		Group     string
		Self      Identity
		Heartbeat time.Duration
		Election  time.Duration
		MaxAppend int
		MaxBytes  int
		Window    uint64
		Random    *rand.Rand
	}

	// Saved is what the data folder holds. Commit may lie behind what was
	// committed.
	Saved struct {
		Hard     HardState
		Commit   uint64
		Snapshot Snapshot
		Entries  []Entry
	}

	// Commits are what to apply next: the snapshot, if any, then the entries.
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

		// Of a replica that follows: when it heard a leader, when it may start
		// an election, and the snapshot that it receives.
		heard    time.Time
		campaign time.Time
		incoming *incoming

		// Of a candidate.
		votes     map[Identity]bool
		voteWrite uint64

		// Of a leader.
		peers     map[Identity]*progress
		since     time.Time
		beat      time.Time
		firstOwn  uint64
		settled   uint64
		committed uint64
		transfer  Identity
		deadline  time.Time

		outbox    []outgoing
		write     Write
		dirty     bool
		sequence  uint64
		synced    uint64
		records   []record
		installed *Snapshot
	}
)

// New returns the replica of a data folder. A folder without members makes a
// replica that takes the log but neither votes nor starts elections.
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

// Bootstrap returns what the folder of the first replica of a group holds.
func Bootstrap(first Member) Saved {
	m := Membership{Voters: []Member{first}}
	return Saved{Snapshot: Snapshot{Index: 1, Term: 1, Members: m}, Hard: HardState{Term: 1}}
}

// Tick lets time pass.
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

// Receive takes a message. Messages of another group or to another
// incarnation are dropped.
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

// Synced reports that the writes up to the sequence are on the disk.
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

// Propose adds commands to the leader's log and returns the index of the
// first one. The commands count once TakeCommits returns them with the term.
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

// TakeCommits returns what to apply next. Only what is synced here counts.
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

// Compact replaces the entries up to an applied index by a snapshot.
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
