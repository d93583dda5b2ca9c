package replica

import "time"

// Status is what a replica knows of its group. Ready is set on a leader that
// has applied all that was committed before its term.
type Status struct {
	Self    Identity   `json:"self"`
	Role    Role       `json:"role"`
	Term    uint64     `json:"term"`
	Leader  Identity   `json:"leader"`
	Commit  uint64     `json:"commit"`
	Applied uint64     `json:"applied"`
	Last    uint64     `json:"last"`
	Ready   bool       `json:"ready"`
	Members Membership `json:"members"`
}

// Status returns what the replica knows of its group.
func (r *Replica) Status() Status {
	return Status{
		Self: r.cfg.Self, Role: r.role, Term: r.hard.Term, Leader: r.leader, Commit: r.commit, Applied: r.applied,
		Last: r.log.lastIndex(), Members: r.members,
		Ready: r.isReady(),
	}
}

// MayGrant reports whether the replica is a ready leader that a majority
// answered within the election time. Until that time is over no other replica
// can become leader, unless this one hands over, after which it grants nothing.
func (r *Replica) MayGrant(now time.Time) bool {
	return r.isReady() && now.Sub(r.quorumAt(now)) < r.cfg.Election
}

func (r *Replica) isReady() bool {
	return r.role == Leader && r.transfer.IsZero() && r.applied >= r.firstOwn
}

// String names the role.
func (r Role) String() string {
	switch r {
	case Leader:
		return "leader"
	case Candidate, PreCandidate:
		return "candidate"
	}
	return "follower"
}
