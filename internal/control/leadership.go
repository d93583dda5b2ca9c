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

// upkeepInterval is how often a leader looks for ended leases, replicas to
// promote and changes that came into force.
const upkeepInterval = 200 * time.Millisecond

type (
	// leadership is what a control keeps in memory for one term in which it leads.
	// Leases that an earlier leader granted have ended at clear; fresh says that
	// there was none. Members is what the audit trail was told of them.
	leadership struct {
		term     uint64
		fresh    bool
		ready    bool
		clear    time.Time
		cleared  bool
		upkeep   time.Time
		grantor  *lease.Grantor
		commits  []commit
		reported uint64
		members  []byte
	}

	// commit remembers when a revision of the documents was committed.
	commit struct {
		revision uint64
		at       time.Time
	}
)

// follow begins and ends the leadership as the replica's role changes, and does
// the leader's upkeep. Callers hold n.mu.
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
// lease before this control could be elected, so all have ended one lease time
// from now.
func (n *Node) beginLeadership(term uint64) {
	fresh := n.leadership != nil && n.leadership.fresh && n.leadership.term == term
	now := n.cfg.Clock.Now()
	n.leadership = &leadership{term: term, fresh: fresh, cleared: fresh, clear: now, grantor: lease.NewGrantor(n.cfg.Terms)}
	if !fresh {
		n.leadership.clear = now.Add(n.cfg.Terms.Duration)
	}
	n.cfg.Logger.Log("msg", "Leads.", "term", term)
}

// maintain ends what absent entries left open, changes the membership where
// that is due and notes which revision came into force. Callers hold n.mu.
func (n *Node) maintain(ctx context.Context, now time.Time) {
	r := n.leadership
	for _, e := range r.grantor.Expire(now) {
		level.Warn(n.cfg.Logger).Log("msg", "Lease ended.", "entry", e.ID)
		if !now.Before(r.clear) {
			n.settle(ctx, ledger.Owner{Entry: e.ID, Incarnation: e.Incarnation})
		}
	}
	if !r.cleared && !now.Before(r.clear) {
		r.cleared = true
		n.settleAbsent(ctx, now)
	}
	n.moveMembers(now)
	n.steerRollouts(ctx, now)
	n.reportMembers(ctx, now)
	n.reportInForce(ctx, now)
	n.wakeWaiters()
}

// settleAbsent settles the open requests of entries that have not asked this
// leader for a lease. Callers hold n.mu.
func (n *Node) settleAbsent(ctx context.Context, now time.Time) {
	for _, o := range n.state.Ledger().Owners() {
		if !n.leadership.grantor.IsLive(now, o.Entry, o.Incarnation) {
			n.settle(ctx, o)
		}
	}
}

// reportInForce writes into the audit trail up to which revision changes are
// in force. Callers hold n.mu.
func (n *Node) reportInForce(ctx context.Context, now time.Time) {
	revision := n.state.Documents().Revision
	if revision <= n.leadership.reported || !n.isInForce(now, revision) {
		return
	}
	n.leadership.reported = revision
	e := audit.Event{At: now.UTC(), Kind: audit.InForce, Actor: "system", Subject: "documents", Revision: revision}
	go n.Propose(ctx, state.Command{Note: &e}) //nolint:errcheck // the next note covers this revision
}

// isInForce reports whether every entry that may hold a lease, or that was
// heard of lately, applies the revision. An entry that serves without a lease
// while it is out of reach is not counted. Callers hold n.mu.
func (n *Node) isInForce(now time.Time, revision uint64) bool {
	r := n.leadership
	return r != nil && r.ready && !now.Before(r.clear) && r.grantor.InForce(now, revision) && n.fleet.applies(now, revision)
}

// committed notes a new revision and tells the entries. Callers hold n.mu.
func (n *Node) committed(ctx context.Context, revision uint64) {
	if n.leadership != nil && n.leadership.ready {
		n.leadership.commits = append(n.leadership.commits, commit{revision: revision, at: n.cfg.Clock.Now()})
	}
	n.cfg.Logger.Log("msg", "Documents are committed.", "revision", revision)
	n.fleet.wake()
	for c := range n.watchers {
		go c.Notify(ctx, member.KindChanged, member.Changed{Revision: revision}) //nolint:errcheck // a lost notice is made up by the next lease
	}
}

// overdue returns the newest revision committed longer ago than the terms'
// lag, and forgets older ones. Callers hold n.mu.
func (n *Node) overdue(now time.Time) uint64 {
	c := n.leadership.commits
	for len(c) > 1 && now.Sub(c[1].at) >= n.cfg.Terms.Lag {
		c = c[1:]
	}
	n.leadership.commits = c
	return c[0].revision
}

// grant decides on a lease request. The time is read after the lock is held,
// and a leader that has lost its majority grants nothing.
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
		moved := n.inForce
		n.mu.Unlock()
		if done {
			return nil
		}
		if !leads {
			return errors.Trace(ErrLeadershipLost)
		}
		select {
		case <-moved:
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		}
	}
}

// wakeWaiters lets those who wait for a revision look again. Callers hold n.mu.
func (n *Node) wakeWaiters() {
	close(n.inForce)
	n.inForce = make(chan struct{})
}
