package control

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"rosereach/core/audit"
	"rosereach/core/change"
	"rosereach/core/lease"
	"rosereach/core/ledger"
	"rosereach/core/membership"
	"rosereach/core/replica"
	"rosereach/core/state"
	"rosereach/io/member"
)

// upkeepInterval is how often a leader checks for expired leases, replicas to
// promote and changes that came into force.
const upkeepInterval = 200 * time.Millisecond

type (
	// leadership is the in-memory state of a control for one term as leader.
	leadership struct {
		term uint64

		// since is when the term began.
		since time.Time

		// newGroup marks a new group, in which no earlier leader granted leases.
		newGroup bool

		// ready is set once all that earlier terms committed has been applied.
		ready bool

		// priorLeasesEnd is when the last lease of earlier leaders ends; orphansClosed is
		// set when, after that, the requests of entries without a lease are closed.
		priorLeasesEnd time.Time
		orphansClosed  bool

		// members decides who votes.
		members *membership.Manager

		// nextUpkeep is when the next upkeep is due.
		nextUpkeep time.Time

		// grantor is nil between the founding of a group and the first election.
		grantor *lease.Grantor

		// commits are the recent revisions, oldest first.
		commits []commit

		// recordedInForce is the newest revision that the audit trail records as in
		// force, recordedMembers the newest membership that it records, as JSON.
		recordedInForce uint64
		recordedMembers []byte
	}

	// commit is a revision of the documents and when it was committed.
	commit struct {
		revision    uint64
		committedAt time.Time
	}
)

// updateLeadership starts and ends the leadership as the replica's role changes, and runs
// the leader's periodic upkeep. Callers hold n.mu.
func (n *Node) updateLeadership(ctx context.Context) {
	s := n.replica.Status()
	if n.leadership != nil && (s.Role != replica.Leader || s.Term != n.leadership.term) && n.leadership.grantor != nil {
		level.Warn(n.cfg.Logger).Log("msg", "Leads no more.", "term", n.leadership.term)
		n.leadership = nil
		n.failPending()
		n.wakeWaiters()
	}
	if s.Role != replica.Leader {
		return
	}
	if n.leadership == nil || n.leadership.grantor == nil {
		n.beginLeadership(s.Term)
	}
	if s.Ready && !n.leadership.ready {
		n.leadership.ready = true
		n.leadership.commits = []commit{{revision: n.state.Documents().Revision}}
		n.leadership.recordedInForce = n.state.Documents().Revision
		go n.ensureSealKey(ctx)
	}
	if now := n.cfg.Clock.Now(); n.leadership.ready && !now.Before(n.leadership.nextUpkeep) {
		n.leadership.nextUpkeep = now.Add(upkeepInterval)
		n.runUpkeep(ctx, now)
	}
}

// beginLeadership starts a term as leader. An earlier leader granted its last
// lease before this control could be elected, so all of its leases have expired
// one lease duration from now.
func (n *Node) beginLeadership(term uint64) {
	isNewGroup := n.leadership != nil && n.leadership.newGroup && n.leadership.term == term
	now := n.cfg.Clock.Now()
	n.leadership = &leadership{term: term, since: now, newGroup: isNewGroup, orphansClosed: isNewGroup, priorLeasesEnd: now, grantor: lease.NewGrantor(n.cfg.Terms)}
	if !isNewGroup {
		n.leadership.priorLeasesEnd = now.Add(n.cfg.Terms.Duration)
	}
	n.leadership.members = membership.NewManager(n.membershipConfig(), now, isNewGroup)
	n.cfg.Logger.Log("msg", "Leads.", "term", term)
	if n.replica.Status().ByHalf {
		level.Warn(n.cfg.Logger).Log("msg", "Half of the voters elected this control, as others have lost their disks.", "term", term)
	}
}

func (n *Node) membershipConfig() membership.Config {
	if n.cfg.Seeds == nil {
		return membership.Config{Manual: true}
	}
	return membership.Config{
		MinVoters: max(n.cfg.Seeds.MinVoters, n.cfg.MinVoters), Tolerant: n.cfg.Seeds.MinVoters,
		VotingSpare: n.hasFeature(change.HalfElections),
	}
}

// runUpkeep closes the requests of entries whose lease expired, makes membership
// changes that are due, advances roll-outs and records which revision is in
// force. Callers hold n.mu.
func (n *Node) runUpkeep(ctx context.Context, now time.Time) {
	l := n.leadership
	for _, e := range l.grantor.Expire(now) {
		level.Warn(n.cfg.Logger).Log("msg", "Lease expired.", "entry", e.ID)
		if !now.Before(l.priorLeasesEnd) {
			n.closeOrphans(ctx, ledger.Owner{Entry: e.ID, Incarnation: e.Incarnation})
		}
	}
	if !l.orphansClosed && !now.Before(l.priorLeasesEnd) {
		l.orphansClosed = true
		n.closeAbsentOwners(ctx, now)
	}
	n.updateMembership(now)
	n.advanceRollouts(ctx, now)
	n.prepareFeatures(ctx, now)
	n.recordMembership(ctx, now)
	n.recordInForce(ctx, now)
	n.wakeWaiters()
}

// closeAbsentOwners closes the open requests of entries that hold no lease from
// this leader. Callers hold n.mu.
func (n *Node) closeAbsentOwners(ctx context.Context, now time.Time) {
	for _, o := range n.state.Ledger().Owners() {
		if !n.leadership.grantor.IsLive(now, o.Entry, o.Incarnation) {
			n.closeOrphans(ctx, o)
		}
	}
}

// recordInForce records in the audit trail up to which revision changes are in
// force. Callers hold n.mu.
func (n *Node) recordInForce(ctx context.Context, now time.Time) {
	revision := n.state.Documents().Revision
	if revision <= n.leadership.recordedInForce || !n.isInForce(now, revision) {
		return
	}
	n.leadership.recordedInForce = revision
	e := audit.Event{At: now.UTC(), Kind: audit.InForce, Actor: "system", Subject: "documents", Revision: revision}
	go n.Propose(ctx, state.Command{AuditEvent: &e}) //nolint:errcheck // the next event covers this revision
}

// isInForce reports whether every entry that may hold a lease, or whose presence
// was received recently, applies the revision. An unreachable entry that
// serves without a lease is not counted. Callers hold n.mu.
func (n *Node) isInForce(now time.Time, revision uint64) bool {
	l := n.leadership
	return l != nil && l.ready && !now.Before(l.priorLeasesEnd) && l.grantor.InForce(now, revision) && n.fleet.isAppliedByAll(now, revision)
}

// documentsCommitted registers a new revision and notifies the entries. Callers hold
// n.mu.
func (n *Node) documentsCommitted(ctx context.Context, revision uint64) {
	if n.leadership != nil && n.leadership.ready {
		n.leadership.commits = append(n.leadership.commits, commit{revision: revision, committedAt: n.cfg.Clock.Now()})
	}
	n.cfg.Logger.Log("msg", "Documents are committed.", "revision", revision)
	n.startRolloutClocks(n.cfg.Clock.Now())
	if n.leadership != nil && n.leadership.ready {
		n.advanceRollouts(ctx, n.cfg.Clock.Now()) // servers that already run the target wait for it
	}
	n.fleet.wakeWatchers()
	for c := range n.watchers {
		go c.Notify(ctx, member.KindDocumentsChanged, member.DocumentsChanged{Revision: revision}) //nolint:errcheck // an entry that misses the notice gets the revision with its next lease
	}
}

// overdueRevision returns the newest revision that was committed at least
// Terms.MaxApplyLag ago: an entry has to apply it to get a lease. It drops older
// commits. Callers hold n.mu.
func (n *Node) overdueRevision(now time.Time) uint64 {
	commits := n.leadership.commits
	for len(commits) > 1 && now.Sub(commits[1].committedAt) >= n.cfg.Terms.MaxApplyLag {
		commits = commits[1:]
	}
	n.leadership.commits = commits
	return commits[0].revision
}

// grant decides on a lease request. It reads the clock only after it holds the
// lock, so that a wait for the lock doesn't date the lease too early. A leader
// that has lost its majority grants nothing.
func (n *Node) grant(r lease.Request) (lease.Grant, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.cfg.Clock.Now()
	if n.leadership == nil || !n.leadership.ready || !n.replica.HasLeaderLease(now) {
		return lease.Grant{}, n.notLeader()
	}
	g := n.leadership.grantor.Grant(now, n.leadership.term, n.overdueRevision(now), r)
	g.ListVersion, g.Entries = n.leadership.grantor.EntryList(now, r)
	n.wakeWaiters()
	return g, nil
}

// release ends an entry's lease early.
func (n *Node) release(r member.ReleaseNotice) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leadership == nil || !n.leadership.ready {
		return n.notLeader()
	}
	n.leadership.grantor.Release(r.Entry, r.Incarnation)
	n.wakeWaiters()
	return nil
}

// WaitInForce waits until every entry that may hold a lease applies the
// revision. A follower asks the leader.
func (n *Node) WaitInForce(ctx context.Context, revision uint64) error {
	if !n.IsLeader() {
		return n.callLeader(ctx, member.KindInForce, member.InForceRequest{Revision: revision}, nil)
	}
	for {
		n.mu.Lock()
		done, leads := n.isInForce(n.cfg.Clock.Now(), revision), n.leadership != nil
		changed := n.inForceChanged
		n.mu.Unlock()
		if done {
			return nil
		}
		if !leads {
			return errors.Trace(ErrLeadershipLost)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		}
	}
}

// wakeWaiters lets each WaitInForce check its revision again. Callers hold n.mu.
func (n *Node) wakeWaiters() {
	close(n.inForceChanged)
	n.inForceChanged = make(chan struct{})
}
