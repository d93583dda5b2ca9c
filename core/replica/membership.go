package replica

import (
	"slices"
	"time"

	"github.com/juju/errors"
)

// The reasons why a proposal or a membership change is refused.
const (
	ErrNotLeader    = errors.ConstError("this replica is not the leader")
	ErrPending      = errors.ConstError("a membership change is pending, or the new leader has not committed an entry yet")
	ErrNotCaughtUp  = errors.ConstError("the learner has not caught up with the log")
	ErrNotMember    = errors.ConstError("the replica is not a member of the group")
	ErrLastVoter    = errors.ConstError("the last voter cannot be removed")
	ErrTransferring = errors.ConstError("the leader is transferring its leadership")
)

type (
	// Identity is a replica's id and the incarnation of its data folder. A
	// replica that lost its disk gets a new incarnation, so it is a new member.
	Identity struct {
		ID          string `json:"id"`
		Incarnation uint64 `json:"incarnation"`
	}

	// Member is a replica and the address (host:port) at which others reach it.
	Member struct {
		Identity
		Address string `json:"address"`
	}

	// Membership is the set of replicas of a group. Learners receive the log but
	// do not vote.
	Membership struct {
		Voters   []Member `json:"voters"`
		Learners []Member `json:"learners,omitempty"`
	}
)

// IsZero reports whether the identity is empty, which means no replica.
func (i Identity) IsZero() bool { return i == Identity{} }

// IsVoter reports whether the replica is a voter.
func (m Membership) IsVoter(id Identity) bool { return indexOf(m.Voters, id) >= 0 }

// IsMember reports whether the replica is a voter or a learner.
func (m Membership) IsMember(id Identity) bool { return m.IsVoter(id) || indexOf(m.Learners, id) >= 0 }

// All returns the voters, then the learners.
func (m Membership) All() []Member { return slices.Concat(m.Voters, m.Learners) }

// Quorum returns the number of voters that make a majority.
func (m Membership) Quorum() int { return len(m.Voters)/2 + 1 }

// WithLearner returns the membership with a new learner.
func (m Membership) WithLearner(added Member) Membership {
	return Membership{Voters: m.Voters, Learners: append(slices.Clone(m.Learners), added)}
}

// WithVoter returns the membership with a learner promoted to a voter. The
// learner must be in the membership.
func (m Membership) WithVoter(id Identity) Membership {
	i := indexOf(m.Learners, id)
	n := m.Learners[i]
	return Membership{
		Voters:   append(slices.Clone(m.Voters), n),
		Learners: slices.Delete(slices.Clone(m.Learners), i, i+1),
	}
}

// Without returns the membership without a replica.
func (m Membership) Without(id Identity) Membership {
	same := func(n Member) bool { return n.Identity == id }
	return Membership{
		Voters:   slices.DeleteFunc(slices.Clone(m.Voters), same),
		Learners: slices.DeleteFunc(slices.Clone(m.Learners), same),
	}
}

// AddLearner proposes to add a learner. It does nothing for a member.
func (r *Replica) AddLearner(now time.Time, added Member) error {
	if err := r.checkMembershipChange(); err != nil {
		return err
	}
	if r.members.IsMember(added.Identity) {
		return nil
	}
	r.proposeMembers(now, r.members.WithLearner(added))
	return nil
}

// Promote proposes to make a learner a voter. It returns ErrNotCaughtUp while the
// learner has not caught up.
func (r *Replica) Promote(now time.Time, id Identity) error {
	if err := r.checkMembershipChange(); err != nil {
		return err
	}
	if indexOf(r.members.Learners, id) < 0 {
		return errors.Trace(ErrNotMember)
	}
	if !r.IsCaughtUp(id) {
		return errors.Trace(ErrNotCaughtUp)
	}
	r.proposeMembers(now, r.members.WithVoter(id))
	return nil
}

// Remove proposes to remove a voter or learner from the group.
func (r *Replica) Remove(now time.Time, id Identity) error {
	if err := r.checkMembershipChange(); err != nil {
		return err
	}
	if !r.members.IsMember(id) {
		return errors.Trace(ErrNotMember)
	}
	next := r.members.Without(id)
	if len(next.Voters) == 0 {
		return errors.Trace(ErrLastVoter)
	}
	r.proposeMembers(now, next)
	return nil
}

// IsCaughtUp reports whether a replica has synced all entries that were committed
// at the heartbeat before the last, and the newest membership: a replica votes only if it
// knows that it is a member.
func (r *Replica) IsCaughtUp(id Identity) bool {
	p, ok := r.peers[id]
	return ok && p.match > 0 && p.match >= max(r.catchUpIndex, r.membersIndex)
}

// HasPendingMembers reports whether the newest membership is not committed yet.
func (r *Replica) HasPendingMembers() bool { return r.membersIndex > r.commit }

// checkMembershipChange returns nil if a membership change may be proposed: one at a
// time, and none before the leader has committed an entry of its own term.
func (r *Replica) checkMembershipChange() error {
	switch {
	case r.role != Leader:
		return errors.Trace(ErrNotLeader)
	case !r.transferTarget.IsZero():
		return errors.Trace(ErrTransferring)
	case r.HasPendingMembers() || r.commit < r.firstIndexOfTerm:
		return errors.Trace(ErrPending)
	}
	return nil
}

func (r *Replica) proposeMembers(now time.Time, m Membership) {
	r.appendOwnEntries(now, Entry{Kind: Members, Members: &m})
}

// loadMembers adopts the newest membership of the log, committed or not, and
// updates the leader's set of peers.
func (r *Replica) loadMembers() {
	all := r.log.memberships(r.commit)
	r.setMemberships(all)
	newest := all[len(all)-1]
	r.members, r.membersIndex = newest.Membership, newest.index
	if r.role != Leader {
		return
	}
	for _, m := range r.Peers() {
		if _, ok := r.peers[m.Identity]; !ok && m.Identity != r.cfg.Self {
			r.peers[m.Identity] = &progress{next: r.log.lastIndex() + 1, ackedSendTime: r.now}
		}
	}
	r.dropPeers()
}

// dropPeers forgets the peers of a leader that are no members any more.
func (r *Replica) dropPeers() {
	for id := range r.peers {
		if !r.isCurrentMember(id) {
			delete(r.peers, id)
		}
	}
}

func indexOf(list []Member, id Identity) int {
	return slices.IndexFunc(list, func(m Member) bool { return m.Identity == id })
}
