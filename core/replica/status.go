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

// IsConfirmedSince reports whether a majority answered this leader to messages
// that it sent after the time. No other leader can have committed anything by
// then, whatever the clocks did meanwhile, so what was committed here at that
// time was the newest.
func (r *Replica) IsConfirmedSince(now, since time.Time) bool {
	return r.isReady() && r.quorumAt(now).After(since)
}

// HearsLeader reports whether the replica leads with a majority, or heard a
// leader within the election time.
func (r *Replica) HearsLeader(now time.Time) bool {
	if r.role == Leader {
		return now.Sub(r.quorumAt(now)) < r.cfg.Election
	}
	return !r.leader.IsZero() && now.Sub(r.heard) < r.cfg.Election
}

// SilentVoters returns the voters that have not answered this leader for the
// time, longest first.
func (r *Replica) SilentVoters(now time.Time, silence time.Duration) []Identity {
	if r.role != Leader {
		return nil
	}
	var silent []Identity
	for _, m := range r.members.Voters {
		if p, ok := r.peers[m.Identity]; ok && now.Sub(p.acked) > silence {
			silent = append(silent, m.Identity)
		}
	}
	return silent
}
