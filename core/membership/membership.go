// Package membership decides which replicas of a group vote. It keeps the number of
// voters odd: with one voter more, a group tolerates no further loss. A learner beyond
// that is a spare, which takes the place of a voter that leaves or fails.
//
// It answers a planned replacement, in which the successor joins before the old replica
// stops, and one that is not announced. A group of 2f+1 voters of which one has gone does not
// survive the loss of f disks, although the spare holds the log. If all members know elections
// by half of the voters, the spare therefore votes too: with 2f+2 voters the f+1 that keep
// their disks elect a leader as soon as the others have come back with empty disks.
package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"rosereach/core/replica"
)

const (
	// ReplaceAfter is how long a voter is silent before a spare replaces it. Replicas that
	// restart or are cut off for a moment stay voters.
	ReplaceAfter = 3 * time.Second

	// RemoveAfter is how long a member is silent before it is removed without a spare.
	RemoveAfter = 20 * time.Second

	// GrowAfter is how long two spares exist before both become voters. A planned
	// replacement is over by then.
	GrowAfter = 20 * time.Second

	// FormAfter is how long a new group takes learners for its first voters rather than
	// for spares. The instances of a new deployment start within a second of each other.
	FormAfter = 8 * time.Second

	// LeaveTimeout bounds how long a replica that stops waits until a spare has replaced
	// it. One that still answers later has started again.
	LeaveTimeout = 2 * time.Second

	// responsiveFor is how recently a learner has to have answered to become a voter. It
	// is several heartbeats, and less than ReplaceAfter.
	responsiveFor = time.Second
)

// The changes of a Step.
const (
	Promote Action = iota + 1
	Remove
)

type (
	// Action is the kind of a membership change.
	Action uint8

	// Step is the next membership change that is due.
	Step struct {
		Action Action
		Member replica.Identity
		Reason string
	}

	// Config configures a Manager.
	Config struct {
		// MinVoters is the number of voters that the group grows to, whether odd or even.
		MinVoters int
		// Tolerant is the number of voters that tolerate the failures that the group
		// has to survive. The removal of a voter for its silence alone leaves no fewer.
		Tolerant int
		// Manual makes each learner a voter once it has caught up, and leaves the removal
		// of voters to operators.
		Manual bool
		// VotingSpare lets one spare vote beside Tolerant voters. All members have to know
		// elections by half of the voters.
		VotingSpare bool
	}

	// Manager makes the membership changes of a leader. It lives for one term, and is
	// not safe for concurrent use.
	Manager struct {
		cfg Config
		// formedAt is when a new group counts as formed: spares become voters without
		// delay until then.
		formedAt time.Time
		// leaving holds the replicas that announced their stop and when they did.
		leaving map[replica.Identity]time.Time
		// learners holds when each learner was first seen.
		learners map[replica.Identity]time.Time
	}

	// view is what a decision is based on.
	view struct {
		members replica.Membership
		// silence is how long each member other than the leader has not answered.
		silence  map[replica.Identity]time.Duration
		caughtUp map[replica.Identity]bool
		leaving  map[replica.Identity]bool
		// mayGrow holds the learners that exist for long enough to make the group grow.
		mayGrow map[replica.Identity]bool
	}
)

// NewManager returns the manager of a term that begins now. In the first term of a
// new group, learners become voters without delay for FormAfter.
func NewManager(cfg Config, now time.Time, newGroup bool) *Manager {
	m := &Manager{cfg: cfg, leaving: make(map[replica.Identity]time.Time), learners: make(map[replica.Identity]time.Time)}
	if newGroup {
		m.formedAt = now.Add(FormAfter)
	}
	return m
}

// Leave records that a replica announced its stop. It reports whether a membership
// change that removes it is due or will be soon, so that the replica should wait. A replica
// without a spare keeps its vote, as it may only restart.
func (m *Manager) Leave(now time.Time, r *replica.Replica, id replica.Identity) (wait bool) {
	if _, ok := m.leaving[id]; !ok {
		m.leaving[id] = now
	}
	v := m.observe(now, r)
	if m.cfg.Manual || !v.members.IsVoter(id) {
		return false
	}
	if m.isSurplus(v) {
		return true
	}
	return slices.ContainsFunc(v.members.Learners, func(l replica.Member) bool {
		return v.isSpare(l.Identity) && v.silence[l.Identity] < responsiveFor
	})
}

// SetVotingSpare sets Config.VotingSpare, which may change in the middle of a term.
func (m *Manager) SetVotingSpare(votes bool) { m.cfg.VotingSpare = votes }

// Leaving returns the replicas that announced their stop: none of them should become
// the leader.
func (m *Manager) Leaving() []replica.Identity { return slices.Collect(maps.Keys(m.leaving)) }

// Update proposes the next membership change that is due, if there is one. The zero
// Step means that none is.
func (m *Manager) Update(now time.Time, r *replica.Replica) (Step, error) {
	step := m.next(m.observe(now, r))
	switch step.Action {
	case Promote:
		return step, errors.Trace(r.Promote(now, step.Member))
	case Remove:
		return step, errors.Trace(r.Remove(now, step.Member))
	}
	return Step{}, nil
}

// observe returns the view of the leader, and updates what is known of the members.
func (m *Manager) observe(now time.Time, r *replica.Replica) view {
	v := view{
		members: r.Status().Members, silence: make(map[replica.Identity]time.Duration), caughtUp: make(map[replica.Identity]bool),
		leaving: make(map[replica.Identity]bool), mayGrow: make(map[replica.Identity]bool),
	}
	for _, member := range v.members.All() {
		id := member.Identity
		v.silence[id] = r.Silence(now, id)
		v.caughtUp[id] = r.IsCaughtUp(id)
	}
	for id, since := range m.leaving {
		isBack := now.Sub(since) > LeaveTimeout+responsiveFor && v.silence[id] < responsiveFor
		if isBack || !v.members.IsMember(id) {
			delete(m.leaving, id)
			continue
		}
		v.leaving[id] = true
	}
	for id := range m.learners {
		if !slices.ContainsFunc(v.members.Learners, func(l replica.Member) bool { return l.Identity == id }) {
			delete(m.learners, id)
		}
	}
	for _, l := range v.members.Learners {
		if _, ok := m.learners[l.Identity]; !ok {
			m.learners[l.Identity] = now
		}
		v.mayGrow[l.Identity] = now.Before(m.formedAt) || now.Sub(m.learners[l.Identity]) >= GrowAfter
	}
	return v
}

// next returns the membership change that is due.
func (m *Manager) next(v view) Step {
	if step, ok := v.replaceIncarnation(); ok {
		return step
	}
	if m.cfg.Manual {
		return v.promoteFirst(func(id replica.Identity) bool { return v.caughtUp[id] }, "has caught up")
	}
	voters := len(v.members.Voters)
	if m.isSurplus(v) {
		departing, _ := v.departing()
		return Step{Action: Remove, Member: departing, Reason: "has left, and the others are enough"}
	}
	if _, ok := v.departing(); ok {
		if step := v.promoteFirst(v.isReadySpare, "replaces a voter that leaves or is silent"); step.Action != 0 {
			return step
		}
	}
	if voters > m.cfg.Tolerant {
		if id, ok := silentFor(v, v.members.Voters, RemoveAfter); ok {
			return Step{Action: Remove, Member: id, Reason: "is silent"}
		}
	}
	if reason := m.growthReason(voters); reason != "" {
		if step := v.promoteFirst(v.isReadySpare, reason); step.Action != 0 {
			return step
		}
	}
	grows := func(id replica.Identity) bool { return v.isReadySpare(id) && v.mayGrow[id] }
	if n := v.countLearners(grows); n >= 2 || n == 1 && m.needsVotingSpare(voters-1) {
		return v.promoteFirst(grows, "has been a spare for long")
	}
	if id, ok := silentFor(v, v.members.Learners, RemoveAfter); ok {
		return Step{Action: Remove, Member: id, Reason: "is silent"}
	}
	return Step{}
}

// LacksMargin reports whether a group of so many voters survives the failures that it has to
// tolerate, but not together with a voter that has gone for good. From Tolerant + 2 voters on
// it does.
func (c Config) LacksMargin(voters int) bool {
	return c.Tolerant >= 3 && voters >= c.MinVoters && (voters == c.Tolerant || voters == c.Tolerant+1)
}

// growthReason returns why a group of so many voters takes one more at once, "" if it does not.
func (m *Manager) growthReason(voters int) string {
	switch {
	case m.needsVotingSpare(voters):
		return "votes as the spare"
	case voters < m.cfg.MinVoters, voters%2 == 0 && !m.needsVotingSpare(voters-1):
		return "completes the voters"
	}
	return ""
}

// needsVotingSpare reports whether a group of so many voters lets a spare vote.
func (m *Manager) needsVotingSpare(voters int) bool {
	return m.cfg.VotingSpare && voters%2 == 1 && m.cfg.LacksMargin(voters)
}

// isSurplus reports whether the group is better off without a voter that leaves or is
// silent: an even number of voters needs as many answers as the next higher odd number.
func (m *Manager) isSurplus(v view) bool {
	_, ok := v.departing()
	voters := len(v.members.Voters)
	return ok && voters%2 == 0 && voters > max(m.cfg.MinVoters, m.cfg.Tolerant)
}

// replaceIncarnation removes the earlier incarnation of a learner that can vote in
// its place: the same replica before it lost its disk.
func (v view) replaceIncarnation() (Step, bool) {
	for _, l := range v.members.Learners {
		if old, ok := v.otherIncarnation(l.Identity); ok && v.canVote(l.Identity) {
			return Step{Action: Remove, Member: old, Reason: "has lost its disk and joined again"}, true
		}
	}
	return Step{}, false
}

// departing returns a voter that announced its stop, or else one that is silent.
func (v view) departing() (replica.Identity, bool) {
	for _, m := range v.members.Voters {
		if v.leaving[m.Identity] {
			return m.Identity, true
		}
	}
	return silentFor(v, v.members.Voters, ReplaceAfter)
}

// otherIncarnation returns the member with the same id but another incarnation.
func (v view) otherIncarnation(id replica.Identity) (replica.Identity, bool) {
	for _, m := range v.members.All() {
		if m.ID == id.ID && m.Incarnation != id.Incarnation {
			return m.Identity, true
		}
	}
	return replica.Identity{}, false
}

// canVote reports whether a learner holds the log and answers. A learner that has
// stopped holds the whole log of an idle group.
func (v view) canVote(id replica.Identity) bool {
	return v.caughtUp[id] && v.silence[id] < responsiveFor
}

// isSpare reports whether a learner may replace any voter: it is not the next
// incarnation of a member, which replaces only that one, and doesn't leave itself.
func (v view) isSpare(id replica.Identity) bool {
	_, returned := v.otherIncarnation(id)
	return !returned && !v.leaving[id]
}

func (v view) isReadySpare(id replica.Identity) bool { return v.isSpare(id) && v.canVote(id) }

func (v view) countLearners(matches func(replica.Identity) bool) int {
	n := 0
	for _, l := range v.members.Learners {
		if matches(l.Identity) {
			n++
		}
	}
	return n
}

// promoteFirst promotes the first learner that matches, if there is one.
func (v view) promoteFirst(matches func(replica.Identity) bool, reason string) Step {
	for _, l := range v.members.Learners {
		if matches(l.Identity) {
			return Step{Action: Promote, Member: l.Identity, Reason: reason}
		}
	}
	return Step{}
}

// silentFor returns the first of the members that has been silent for longer than the limit.
func silentFor(v view, members []replica.Member, limit time.Duration) (replica.Identity, bool) {
	for _, m := range members {
		if v.silence[m.Identity] > limit {
			return m.Identity, true
		}
	}
	return replica.Identity{}, false
}

// String returns the action as the logs name it.
func (a Action) String() string {
	switch a {
	case Promote:
		return "promote"
	case Remove:
		return "remove"
	}
	return "none"
}
