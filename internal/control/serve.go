package control

import (
	"context"
	"net/http"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-chi/chi/v5"
	"github.com/juju/errors"

	"rosereach/core/change"
	"rosereach/core/encoding"
	"rosereach/core/lease"
	"rosereach/core/ledger"
	"rosereach/core/state"
	"rosereach/internal/httpd"
	"rosereach/io/member"
	"rosereach/io/operator"
)

// forwardTimeout bounds how long a follower waits for the leader to commit a
// forwarded command. A leader that fails has been replaced by then.
const forwardTimeout = 2 * electionTimeout

// Handler returns the HTTP handler for members and operators.
func (n *Node) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get(member.Path, func(w http.ResponseWriter, req *http.Request) {
		member.Accept(w, req, n.cfg.MemberKey, n.selfPeer(), n, func(ctx context.Context, c *member.Conn) func() {
			httpd.Established(ctx)
			return n.addWatcher(c)
		})
	})
	operator.Mount(r, operator.Options{BootstrapKey: n.cfg.OperatorKey, Clock: n.cfg.Clock, Metrics: n.metrics}, n)
	return r
}

// Handle dispatches a member's message by its kind and returns the reply, which
// is nil for a kind that has none.
func (n *Node) Handle(ctx context.Context, c *member.Conn, kind member.Kind, body cbor.RawMessage) (any, error) {
	switch kind {
	case member.KindReplica:
		return nil, decodeAndHandle(body, func(r member.ReplicaMessages) error { return n.enqueueMessages(ctx, c, r) })
	case member.KindLease:
		return decodeAndReply(body, n.grant)
	case member.KindRelease:
		return nil, decodeAndHandle(body, n.release)
	case member.KindDocuments:
		return decodeAndReply(body, n.documents)
	case member.KindPropose:
		return decodeAndReply(body, func(r member.ProposeRequest) (member.ProposeReply, error) { return n.handlePropose(ctx, r) })
	case member.KindLookup:
		return decodeAndReply(body, n.lookUpRequest)
	case member.KindInForce:
		return nil, decodeAndHandle(body, func(r member.InForceRequest) error { return n.waitAsLeader(ctx, r) })
	case member.KindJoin:
		return decodeAndReply(body, n.addLearner)
	case member.KindAdopt:
		return decodeAndReply(body, func(r member.AdoptRequest) (member.AdoptReply, error) {
			return member.AdoptReply{Identity: n.self}, n.adoptGroup(r.Group)
		})
	case member.KindRemove:
		return nil, decodeAndHandle(body, func(r member.RemoveRequest) error { return n.removeAsLeader(ctx, r) })
	case member.KindLeave:
		return decodeAndReply(body, n.announceLeave)
	case member.KindWatch:
		return n.handleWatch(ctx, body)
	case member.KindPresence:
		return nil, decodeAndHandle(body, n.receivePresence)
	case member.KindEvidence:
		return nil, decodeAndHandle(body, n.receiveEvidence)
	case member.KindTrial:
		return decodeAndReply(body, func(r member.TrialRequest) (member.TrialReply, error) { return n.grantTrial(ctx, r) })
	case member.KindTrialResult:
		return nil, decodeAndHandle(body, func(r member.TrialResult) error { return n.endTrial(ctx, r) })
	case member.KindLimits:
		return nil, decodeAndHandle(body, n.receiveLimits)
	case member.KindRouting:
		return n.confirmedRouting(ctx)
	case member.KindEntries:
		return n.entries()
	}
	return nil, &member.Problem{Code: member.CodeRefused, Detail: "unknown message kind " + string(kind)}
}

// Change commits an operator's change. A follower forwards it to the leader.
func (n *Node) Change(ctx context.Context, c change.Change) (change.Result, error) {
	start := n.cfg.Clock.Now()
	result, err := n.change(ctx, c)
	n.textMetrics.countChange(c.Kind, result, err, n.cfg.Clock.Now().Sub(start))
	return result, err
}

func (n *Node) change(ctx context.Context, c change.Change) (change.Result, error) {
	if !c.Kind.IsKnown() {
		return change.RefuseFor("kind", "unknown kind "+string(c.Kind), "a kind of change"), nil
	}
	results, err := n.proposeOrForward(ctx, state.Command{Change: &c})
	if err != nil {
		return change.Result{}, err
	}
	if len(results) != 1 || results[0].Change == nil {
		return change.Result{}, errors.New("the leader's reply has no result for the change")
	}
	return *results[0].Change, nil
}

// proposeOrForward proposes a command here, or forwards it to the leader when
// another control leads.
func (n *Node) proposeOrForward(ctx context.Context, command state.Command) ([]state.Result, error) {
	results, err := n.proposeLocally(ctx, []state.Command{command})
	var problem *member.Problem
	if !errors.As(err, &problem) || problem.Code != member.CodeNotLeader || problem.Leader == "" {
		return results, err
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	var reply member.ProposeReply
	err = n.callLeader(ctx, member.KindPropose, member.ProposeRequest{Commands: []state.Command{command}}, &reply)
	return reply.Results, err
}

// Documents returns the newest documents that operators may see.
func (n *Node) Documents() operator.Documents {
	docs := n.Catalog().Documents()
	return operator.Documents{
		Revision: docs.Revision, Templates: docs.Templates, Workspaces: docs.Workspaces,
		Versions: docs.Versions, Services: docs.Services, Operators: docs.Operators, Evacuations: docs.Evacuations,
		Homes: n.Catalog().Routes().NamedHomes(),
	}
}

// Bills returns up to limit bills that follow the sequence number.
func (n *Node) Bills(after uint64, limit int) (bills []ledger.Bill) {
	n.View(func(s *state.State) { bills = s.Ledger().Bills(after, limit) })
	return bills
}

// Status returns the control's view of the fleet. A follower asks the leader for
// the entries, and leaves them out when it gets no answer.
func (n *Node) Status(ctx context.Context) operator.Status {
	s := n.group()
	status := operator.Status{Control: n.cfg.ID, Leader: s.Leader.ID, Index: s.Applied, Revision: n.Catalog().Revision()}
	n.mu.Lock()
	status.Warming = n.fleet.warmups.Notices(n.cfg.Clock.Now())
	n.mu.Unlock()
	if entries, err := n.entries(); err == nil {
		status.Entries = entries
		return status
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := n.callLeader(ctx, member.KindEntries, nil, &status.Entries); err != nil {
		n.cfg.Logger.Log("msg", "Entries can't be read from the leader.", "err", err)
	}
	return status
}

// enqueueMessages queues a replica's messages for the loop.
func (n *Node) enqueueMessages(ctx context.Context, c *member.Conn, r member.ReplicaMessages) error {
	if len(r.Messages) == 0 {
		return nil
	}
	n.links.registerInbound(ctx, r.Messages[0].From, c)
	select {
	case n.inbox <- r.Messages:
		return nil
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}

// handlePropose proposes the commands that an entry or another control sent.
func (n *Node) handlePropose(ctx context.Context, r member.ProposeRequest) (member.ProposeReply, error) {
	results, err := n.proposeLocally(ctx, r.Commands)
	return member.ProposeReply{Results: results}, err
}

// proposeLocally stamps commands with this control's time and proposes them. The
// time of an entry whose clock is far ahead would make ledger records expire too
// early.
func (n *Node) proposeLocally(ctx context.Context, commands []state.Command) ([]state.Result, error) {
	if err := n.enableFeatures(ctx, commands); err != nil {
		return nil, err
	}
	now := n.cfg.Clock.Now()
	stamped := make([]state.Command, 0, len(commands))
	for _, c := range commands {
		stamped = append(stamped, c.WithTime(now))
	}
	return n.Propose(ctx, stamped...)
}

// lookUpRequest returns a request's state in the ledger. Only the leader answers, as a
// follower's ledger may lag behind.
func (n *Node) lookUpRequest(question ledger.Query) (reply ledger.Reply, err error) {
	if !n.IsLeader() {
		return reply, n.redirect()
	}
	n.View(func(s *state.State) { reply = s.Ledger().Lookup(question) })
	return reply, nil
}

// waitAsLeader is WaitInForce for a follower that asks the leader.
func (n *Node) waitAsLeader(ctx context.Context, r member.InForceRequest) error {
	if !n.IsLeader() {
		return n.redirect()
	}
	return n.WaitInForce(ctx, r.Revision)
}

// removeAsLeader is RemoveControl for a follower that asks the leader.
func (n *Node) removeAsLeader(ctx context.Context, r member.RemoveRequest) error {
	if !n.IsLeader() {
		return n.redirect()
	}
	return n.RemoveControl(ctx, r.ID)
}

// redirect is notLeader for callers that don't hold n.mu.
func (n *Node) redirect() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.notLeader()
}

// entries returns the entries with a live lease.
func (n *Node) entries() ([]lease.Entry, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leadership == nil || !n.leadership.ready {
		return nil, n.notLeader()
	}
	return n.leadership.grantor.Live(n.cfg.Clock.Now()), nil
}

// documents returns the documents if they are newer than the entry's. Only the
// leader answers, unless the request accepts any control's answer, as that of an
// entry without a lease does.
func (n *Node) documents(r member.DocumentsRequest) (member.DocumentsReply, error) {
	if !r.AllowFollower && !n.IsLeader() {
		return member.DocumentsReply{}, n.redirect()
	}
	docs := n.Catalog().Documents()
	if docs.Revision <= r.KnownRevision {
		return member.DocumentsReply{}, nil
	}
	return member.DocumentsReply{Documents: entryDocuments(docs)}, nil
}

// addWatcher adds a connection to those that are notified of new revisions. The
// result removes it.
func (n *Node) addWatcher(c *member.Conn) func() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.watchers[c] = true
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.watchers, c)
	}
}

// decodeAndReply decodes a call's message and returns the reply of f.
func decodeAndReply[Request, Reply any](body cbor.RawMessage, f func(Request) (Reply, error)) (any, error) {
	var r Request
	if err := encoding.Unmarshal(body, &r); err != nil {
		return nil, errors.Trace(err)
	}
	return f(r)
}

// decodeAndHandle decodes a message whose only reply is an error, and passes it to f.
func decodeAndHandle[Request any](body cbor.RawMessage, f func(Request) error) error {
	var r Request
	if err := encoding.Unmarshal(body, &r); err != nil {
		return errors.Trace(err)
	}
	return f(r)
}
