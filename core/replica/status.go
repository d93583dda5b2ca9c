package replica

import "time"

// Status is a replica's view of its group.
type Status struct {
	Self Identity `json:"self"`
	Role Role     `json:"role"`
	Term uint64   `json:"term"`
	// Leader is the zero identity when no leader is known.
	Leader Identity `json:"leader"`
	// Commit, Applied and LastIndex are the indices of the last entry that is
	// committed, applied and in the log.
	Commit    uint64 `json:"commit"`
	Applied   uint64 `json:"applied"`
	LastIndex uint64 `json:"last"`
	// Ready is set on a leader that has applied all entries committed before
	// its term and is not transferring its leadership.
	Ready   bool       `json:"ready"`
	Members Membership `json:"members"`
	// ByHalf is set on a leader that half of the voters elected, until it has removed a
	// voter whose disk is lost.
	ByHalf bool `json:"by_half,omitempty"`
}

// Status returns the replica's current view of its group.
func (r *Replica) Status() Status {
	return Status{
		Self: r.cfg.Self, Role: r.role, Term: r.hardState.Term, Leader: r.leader, Commit: r.commit, Applied: r.applied,
		LastIndex: r.log.lastIndex(), Members: r.members,
		Ready: r.isReady(), ByHalf: r.electedByHalf && r.halfIndex == r.committed().index,
	}
}

// HasLeaderLease reports whether the replica holds a leader lease: it is a ready leader
// and a majority answered messages sent within the last election timeout. Until
// that timeout expires no other replica can become leader, except by leadership
// transfer, which ends the lease at once.
func (r *Replica) HasLeaderLease(now time.Time) bool {
	return r.isReady() && now.Sub(r.quorumContact(now)) < r.cfg.ElectionTimeout
}

func (r *Replica) isReady() bool {
	return r.role == Leader && r.transferTarget.IsZero() && r.applied >= r.firstIndexOfTerm
}

// String returns the role as shown to operators; a pre-candidate is a
// "candidate".
func (r Role) String() string {
	switch r {
	case Leader:
		return "leader"
	case Candidate, PreCandidate:
		return "candidate"
	}
	return "follower"
}

// IsConfirmedSince reports whether a majority has answered messages that this
// leader sent after the given time. Whatever the clocks did, no newer leader had
// committed anything by that time, so the commit index was up to date then.
func (r *Replica) IsConfirmedSince(now, since time.Time) bool {
	return r.isReady() && r.quorumContact(now).After(since)
}

// HasLeader reports whether the replica is a leader in contact with a majority,
// or received a message from its leader within the election timeout.
func (r *Replica) HasLeader(now time.Time) bool {
	if r.role == Leader {
		return now.Sub(r.quorumContact(now)) < r.cfg.ElectionTimeout
	}
	return !r.leader.IsZero() && now.Sub(r.lastContact) < r.cfg.ElectionTimeout
}

// Silence returns for how long a member has not answered this leader, 0 for the leader
// itself.
func (r *Replica) Silence(now time.Time, id Identity) time.Duration {
	if p, ok := r.peers[id]; ok {
		return now.Sub(p.ackedSendTime)
	}
	return 0
}
