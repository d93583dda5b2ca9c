package entry

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"rosereach/core/catalog"
	"rosereach/core/encoding"
	"rosereach/core/lease"
	"rosereach/core/state"
	"rosereach/io/member"
)

const (
	// renewsPerLease is the number of renewals within a lease's duration.
	renewsPerLease = 4

	// redialDelay is the delay between attempts to connect to a control.
	redialDelay = 100 * time.Millisecond

	// notLeaderDelay is the delay before the next attempt when the control is
	// not the leader.
	notLeaderDelay = 20 * time.Millisecond

	// proposeTimeout bounds the wait for a control to commit commands.
	proposeTimeout = 5 * time.Second
)

// errNoControl is returned when no control is connected.
const errNoControl = errors.ConstError("no control is connected")

// link is the entry's connection to the leader of the controls.
type link struct {
	entry *Entry
	wake  chan struct{}

	mu   sync.Mutex
	conn *member.Conn
}

func newLink(e *Entry) *link { return &link{entry: e, wake: make(chan struct{}, 1)} }

// run maintains a connection to the leader and renews the lease over it until the
// context ends. It tries the configured controls in turn. If none of them is the
// leader, it connects to the address that the last one gives for the leader.
func (l *link) run(ctx context.Context) error {
	controls := l.entry.cfg.Controls
	hint := ""
	for next := 0; ctx.Err() == nil; next++ {
		address := controls[next%len(controls)]
		if hint != "" {
			address, hint = hint, ""
			next--
		}
		err := l.serve(ctx, address)
		delay := redialDelay
		var problem *member.Problem
		switch {
		case errors.As(err, &problem) && problem.Code == member.CodeNotLeader:
			delay = notLeaderDelay
			if next%len(controls) == len(controls)-1 && problem.Address != address {
				hint = problem.Address
			}
		case err != nil && ctx.Err() == nil:
			level.Warn(l.entry.cfg.Logger).Log("msg", "Connection to the control failed.", "control", address, "err", err)
		}
		select {
		case <-l.entry.cfg.Clock.After(delay):
		case <-ctx.Done():
		}
	}
	return nil
}

func (l *link) serve(ctx context.Context, address string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	cfg := l.entry.cfg
	security, err := cfg.security()
	if err != nil {
		return err
	}
	conn, err := member.DialTLS(ctx, address, cfg.MemberKey, cfg.peer(), l, security)
	if err != nil {
		return err
	}
	l.setConn(conn)
	defer l.setConn(nil)
	interval := cfg.Terms.Duration / renewsPerLease
	for {
		if err := l.refresh(ctx, conn, interval); err != nil {
			return err
		}
		select {
		case <-cfg.Clock.After(interval):
		case <-l.wake:
		case <-ctx.Done():
			return nil
		}
	}
}

// Handle processes the control's notifications and answers its queries.
func (l *link) Handle(ctx context.Context, _ *member.Conn, kind member.Kind, body cbor.RawMessage) (any, error) {
	switch kind {
	case member.KindDocumentsChanged:
		l.renewNow()
		return nil, nil
	case member.KindOutcomes:
		var r member.OutcomesRequest
		if err := encoding.Unmarshal(body, &r); err != nil {
			return nil, errors.Trace(err)
		}
		return l.entry.lookUpOutcomes(ctx, r), nil
	}
	return nil, &member.Problem{Code: member.CodeRefused, Detail: "unknown message " + string(kind)}
}

// renewNow triggers a refresh without waiting for the next interval.
func (l *link) renewNow() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// refresh fetches newer documents and then renews the lease, whose request
// reports their revision as applied.
func (l *link) refresh(ctx context.Context, conn *member.Conn, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var docs member.DocumentsReply
	have := l.entry.catalog.Load().Revision()
	if err := conn.Call(ctx, member.KindDocuments, member.DocumentsRequest{KnownRevision: have}, &docs); err != nil {
		return err
	}
	if docs.Documents != nil {
		l.entry.catalog.Store(catalog.New(*docs.Documents))
	}
	var grant lease.Grant
	if err := conn.Call(ctx, member.KindLease, l.entry.leaseRequest(), &grant); err != nil {
		return err
	}
	l.entry.applyGrant(grant)
	return nil
}

// propose has the control commit commands and returns one result for each.
func (l *link) propose(ctx context.Context, commands ...state.Command) ([]state.Result, error) {
	conn := l.currentConn()
	if conn == nil {
		return nil, errors.Trace(errNoControl)
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	var reply member.ProposeReply
	if err := conn.Call(ctx, member.KindPropose, member.ProposeRequest{Commands: commands}, &reply); err != nil {
		return nil, err
	}
	if len(reply.Results) != len(commands) {
		return nil, errors.Errorf("the control returned %d results for %d commands", len(reply.Results), len(commands))
	}
	return reply.Results, nil
}

// release returns the lease, so that the control need not wait for it to expire.
func (l *link) release(ctx context.Context) error {
	l.entry.mu.Lock()
	l.entry.leaseHolder.Release()
	l.entry.mu.Unlock()
	conn := l.currentConn()
	if conn == nil {
		return nil
	}
	cfg := l.entry.cfg
	return conn.Call(ctx, member.KindRelease, member.ReleaseNotice{Entry: cfg.ID, Incarnation: cfg.Incarnation}, nil)
}

func (l *link) setConn(c *member.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn = c
}

func (l *link) currentConn() *member.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn
}

// leaseRequest returns a request for the lease and records the current time as
// the start of the lease's duration.
func (e *Entry) leaseRequest() lease.Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return lease.Request{
		Entry: e.cfg.ID, Incarnation: e.cfg.Incarnation, Sequence: e.leaseHolder.StartRequest(e.cfg.Clock.Now()),
		Applied: e.unwritten.appliedRevision(e.catalog.Load().Revision()), Address: e.cfg.Address, Region: e.cfg.Region, Zone: e.cfg.Zone,
		Draining: e.draining.Load(), Load: e.running(), ListVersion: e.peerListID,
	}
}

func (e *Entry) applyGrant(g lease.Grant) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaseHolder.Receive(e.cfg.Terms, g)
	if g.ListVersion != e.peerListID {
		e.peerListID, e.peers = g.ListVersion, g.Entries
	}
}

// running returns the number of the entry's requests at backend servers.
// Callers hold e.mu.
func (e *Entry) running() int { return e.tracker.Total() }
