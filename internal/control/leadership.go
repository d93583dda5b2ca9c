package control

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"rosereach/core/audit"
	"rosereach/core/lease"
	"rosereach/core/ledger"
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

		// fresh marks a new group, in which no earlier leader granted leases.
		fresh bool

		// ready is set once all that earlier terms committed has been applied.
		ready bool

		// clear is when the last lease of earlier leaders ends; orphansClosed is
		// set when, after that, the requests of entries without a lease are closed.
		clear   time.Time
		cleared bool

		// upkeep is when the next upkeep is due.
		upkeep time.Time

		// grantor is nil between the founding of a group and the first election.
		grantor *lease.Grantor

		// commits are the recent revisions, oldest first.
		commits []commit

		// reported is the newest revision that the audit trail records as in
		// force, recordedMembers the newest membership that it records, as JSON.
		reported uint64
		members  []byte
	}

	// commit is a revision of the documents and when it was committed.
	commit struct {
		revision uint64
		at       time.Time
	}
)

// follow starts and ends the leadership as the replica's role changes, and runs
// the leader's periodic upkeep. Callers hold n.mu.
func (n *Node) follow(ctx context.Context) {
	s := n.replica.Status()
	if n.leadership != nil && (s.Role != replica.Leader || s.Term != n.leadership.term) && n.leadership.grantor != nil {
		level.Warn(n.cfg.Logger).Log("msg", "Leads no more.", "term", n.leadership.term)
		n.leadership = nil
		n.abandon()
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
		n.leadership.reported = n.state.Documents().Revision
		go n.ensureSealKey(ctx)
	}
	if now := n.cfg.Clock.Now(); n.leadership.ready && !now.Before(n.leadership.upkeep) {
		n.leadership.upkeep = now.Add(upkeepInterval)
		n.maintain(ctx, now)
	}
}

// beginLeadership starts a term as leader. An earlier leader granted its last
// lease before this control could be elected, so all of its leases have expired
// one lease duration from now.
func (n *Node) beginLeadership(term uint64) {
	isNewGroup := n.leadership != nil && n.leadership.fresh && n.leadership.term == term
	now := n.cfg.Clock.Now()
	n.leadership = &leadership{term: term, fresh: isNewGroup, cleared: isNewGroup, clear: now, grantor: lease.NewGrantor(n.cfg.Terms)}
	if !isNewGroup {
		n.leadership.clear = now.Add(n.cfg.Terms.Duration)
	}
	n.cfg.Logger.Log("msg", "Leads.", "term", term)
}

// maintain closes the requests of entries whose lease expired, makes membership
// changes that are due, advances roll-outs and records which revision is in
// force. Callers hold n.mu.
func (n *Node) maintain(ctx context.Context, now time.Time) {
	l := n.leadership
	for _, e := range l.grantor.Expire(now) {
		level.Warn(n.cfg.Logger).Log("msg", "Lease expired.", "entry", e.ID)
		if !now.Before(l.clear) {
			n.settle(ctx, ledger.Owner{Entry: e.ID, Incarnation: e.Incarnation})
		}
	}
	if !l.cleared && !now.Before(l.clear) {
		l.cleared = true
		n.settleAbsent(ctx, now)
	}
	n.moveMembers(now)
	n.steerRollouts(ctx, now)
	n.reportMembers(ctx, now)
	n.reportInForce(ctx, now)
	n.wakeWaiters()
}

// settleAbsent closes the open requests of entries that have not requested a
// lease from this leader. Callers hold n.mu.
func (n *Node) settleAbsent(ctx context.Context, now time.Time) {
	for _, o := range n.state.Ledger().Owners() {
		if !n.leadership.grantor.IsLive(now, o.Entry, o.Incarnation) {
			n.settle(ctx, o)
		}
	}
}

// reportInForce records in the audit trail up to which revision changes are in
// force. Callers hold n.mu.
func (n *Node) reportInForce(ctx context.Context, now time.Time) {
	revision := n.state.Documents().Revision
	if revision <= n.leadership.reported || !n.isInForce(now, revision) {
		return
	}
	n.leadership.reported = revision
	e := audit.Event{At: now.UTC(), Kind: audit.InForce, Actor: "system", Subject: "documents", Revision: revision}
	go n.Propose(ctx, state.Command{Note: &e}) //nolint:errcheck // the next event covers this revision
}

// isInForce reports whether every entry that may hold a lease, or whose presence
// was received recently, applies the revision. An unreachable entry that
// serves without a lease is not counted. Callers hold n.mu.
func (n *Node) isInForce(now time.Time, revision uint64) bool {
	l := n.leadership
	return l != nil && l.ready && !now.Before(l.clear) && l.grantor.InForce(now, revision) && n.fleet.applies(now, revision)
}

// committed registers a new revision and notifies the entries. Callers hold
// n.mu.
func (n *Node) committed(ctx context.Context, revision uint64) {
	if n.leadership != nil && n.leadership.ready {
		n.leadership.commits = append(n.leadership.commits, commit{revision: revision, at: n.cfg.Clock.Now()})
	}
	n.cfg.Logger.Log("msg", "Documents are committed.", "revision", revision)
	n.fleet.wake()
	for c := range n.watchers {
		go c.Notify(ctx, member.KindChanged, member.Changed{Revision: revision}) //nolint:errcheck // an entry that misses the notice gets the revision with its next lease
	}
}

// overdue returns the newest revision that was committed at least Terms.Lag ago:
// an entry has to apply it to get a lease. It drops older commits. Callers hold
// n.mu.
func (n *Node) overdue(now time.Time) uint64 {
	commits := n.leadership.commits
	for len(commits) > 1 && now.Sub(commits[1].at) >= n.cfg.Terms.Lag {
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
	if n.leadership == nil || !n.leadership.ready || !n.replica.MayGrant(now) {
		return lease.Grant{}, n.notLeader()
	}
	g := n.leadership.grantor.Grant(now, n.leadership.term, n.overdue(now), r)
	g.List, g.Entries = n.leadership.grantor.List(now, r)
	n.wakeWaiters()
	return g, nil
}

// release ends an entry's lease early.
func (n *Node) release(r member.Released) error {
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
		changed := n.inForce
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
	close(n.inForce)
	n.inForce = make(chan struct{})
}
