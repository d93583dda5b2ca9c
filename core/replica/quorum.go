package replica

import (
	"slices"
	"time"
)

// loggedMembership is a membership with the index of its log entry.
type loggedMembership struct {
	Membership
	index uint64
}

// memberships returns the newest committed membership and the later ones in the log.
func (l *entryLog) memberships(commit uint64) []loggedMembership {
	var found []loggedMembership
	for _, e := range slices.Backward(l.entries) {
		if e.Kind != Members {
			continue
		}
		found = append(found, loggedMembership{*e.Members, e.Index})
		if e.Index <= commit {
			slices.Reverse(found)
			return found
		}
	}
	found = append(found, loggedMembership{l.snapshot.Members, l.snapshot.Index})
	slices.Reverse(found)
	return found
}

// minHalfVoters is the least number of voters of which half may elect a leader.
const minHalfVoters = 4

// allowsHalf reports whether half of the voters may elect a leader beside lost disks.
func (m Membership) allowsHalf() bool { return len(m.Voters)%2 == 0 && len(m.Voters) >= minHalfVoters }

// current returns the memberships of which a majority is needed: the newest one and, of the
// newest that is known to be committed and those after it, each of which half may elect a leader.
// A change that only a majority of the next, smaller membership had would be unknown to that
// half.
func (r *Replica) current() []loggedMembership {
	r.committed()
	return r.memberships
}

// committed returns the newest membership that is known to be committed.
func (r *Replica) committed() loggedMembership {
	first := 0
	for first+1 < len(r.allMemberships) && r.allMemberships[first+1].index <= r.commit {
		first++
	}
	if first > 0 {
		r.setMemberships(r.allMemberships[first:])
	}
	return r.allMemberships[0]
}

// setMemberships sets the newest committed membership and those after it.
func (r *Replica) setMemberships(all []loggedMembership) {
	newest := len(all) - 1
	kept := slices.DeleteFunc(slices.Clone(all[:newest]), func(m loggedMembership) bool { return !m.allowsHalf() })
	r.allMemberships, r.memberships = all, append(kept, all[newest])
}

// Peers returns the members of all current memberships, each once: those with which the replica
// exchanges messages. A member that a change removes may be among them until it is committed.
func (r *Replica) Peers() []Member {
	var all []Member
	for _, m := range r.current() {
		for _, member := range m.All() {
			if indexOf(all, member.Identity) < 0 {
				all = append(all, member)
			}
		}
	}
	return all
}

// isCurrentMember reports whether a replica is a member by one of the current memberships.
func (r *Replica) isCurrentMember(id Identity) bool {
	return slices.ContainsFunc(r.current(), func(m loggedMembership) bool { return m.IsMember(id) })
}

// isCurrentVoter reports whether a replica votes by one of the current memberships.
func (r *Replica) isCurrentVoter(id Identity) bool {
	return slices.ContainsFunc(r.current(), func(m loggedMembership) bool { return m.IsVoter(id) })
}

// required returns how many voters of a current membership have to answer. A leader that was
// elected by half of the voters needs no more until it has removed one whose disk is lost.
func (r *Replica) required(m loggedMembership) int {
	if base := r.committed(); r.electedByHalf && base.index == r.halfIndex && m.hasVotersOf(base.Membership) {
		return len(m.Voters) / 2
	}
	return m.Quorum()
}

// hasVotersOf reports whether two memberships have the same voters.
func (m Membership) hasVotersOf(other Membership) bool {
	return len(m.Voters) == len(other.Voters) && !slices.ContainsFunc(m.Voters, func(v Member) bool { return !other.IsVoter(v.Identity) })
}

// agreedIndex returns the highest index that enough voters of each current membership have
// synced.
func (r *Replica) agreedIndex() uint64 {
	agreed := r.log.lastIndex()
	for _, m := range r.current() {
		matches := make([]uint64, 0, len(m.Voters))
		for _, v := range m.Voters {
			matches = append(matches, r.matchIndex(v.Identity))
		}
		slices.Sort(matches)
		agreed = min(agreed, matches[len(matches)-r.required(m)])
	}
	return agreed
}

// quorumContact returns the latest time for which enough voters of each current membership,
// counting this replica, have answered messages sent at or after it.
func (r *Replica) quorumContact(now time.Time) time.Time {
	contact := now
	for _, m := range r.current() {
		times := make([]time.Time, 0, len(m.Voters))
		for _, v := range m.Voters {
			switch p := r.peers[v.Identity]; {
			case v.Identity == r.cfg.Self:
				times = append(times, now)
			case p != nil:
				times = append(times, p.ackedSendTime)
			default:
				times = append(times, time.Time{})
			}
		}
		slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
		if t := times[r.required(m)-1]; t.Before(contact) {
			contact = t
		}
	}
	return contact
}

// countVotesOf returns how many voters of a membership have voted for this replica.
func (r *Replica) countVotesOf(m Membership) int {
	n := 0
	for _, v := range m.Voters {
		if r.votes[v.Identity] {
			n++
		}
	}
	return n
}

// hasVoteQuorum reports whether a majority of each current membership has voted for this
// replica.
func (r *Replica) hasVoteQuorum() bool {
	return !slices.ContainsFunc(r.current(), func(m loggedMembership) bool { return r.countVotesOf(m.Membership) < m.Quorum() })
}

// hasHalfQuorum reports whether half of an even number of voters has voted for this replica,
// and a majority with those whose disks had been lost before it asked for votes. What was
// committed is on one of that half, as a majority had it. Two candidates of one term can't
// both have such a half: each would have a vote that was given after the other's first
// lost disk, by a voter that lost its own before the other asked.
//
// Changes of the voters that are not committed need a majority as ever.
func (r *Replica) hasHalfQuorum() bool {
	base := r.committed()
	if !base.allowsHalf() || len(r.lostBefore) == 0 {
		return false
	}
	lost := 0
	for _, v := range base.Voters {
		if r.lostBefore[v.Identity] {
			lost++
		}
	}
	votes := r.countVotesOf(base.Membership)
	if votes < len(base.Voters)/2 || votes+lost < base.Quorum() {
		return false
	}
	return !slices.ContainsFunc(r.current(), func(m loggedMembership) bool {
		return !m.hasVotersOf(base.Membership) && r.countVotesOf(m.Membership) < m.Quorum()
	})
}

// ReportLostDisk records that a member's disk is lost: another incarnation runs in its place,
// so that this one has ended for good. The report has to rest on an answer to a message that
// was sent when the identity was already known, never on an announcement, which may be older
// than the identity.
func (r *Replica) ReportLostDisk(id Identity) {
	if id == r.cfg.Self || !r.isCurrentMember(id) {
		return
	}
	if r.lostDisks == nil {
		r.lostDisks = make(map[Identity]bool)
	}
	r.lostDisks[id] = true
}

// HasLostDisk reports whether the disk of a member is known to be lost.
func (r *Replica) HasLostDisk(id Identity) bool { return r.lostDisks[id] }

// PermitHalfElections lets half of an even number of voters elect a leader beside lost disks.
// All members have to be of builds that need a majority of each current membership.
func (r *Replica) PermitHalfElections() { r.halfElections = true }

// freezeLostDisks determines which lost disks count in the election that begins. Later ones do
// not: a voter whose disk is lost after the request may have voted for another candidate.
func (r *Replica) freezeLostDisks() {
	r.lostBefore = nil
	for id := range r.lostDisks {
		if !r.isCurrentMember(id) {
			delete(r.lostDisks, id)
			continue
		}
		if r.halfElections && r.committed().IsVoter(id) {
			if r.lostBefore == nil {
				r.lostBefore = make(map[Identity]bool)
			}
			r.lostBefore[id] = true
		}
	}
}
