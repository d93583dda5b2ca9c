package control

import (
	"context"
	"net/http"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-chi/chi/v5"
	"github.com/juju/errors"

	"rosereach/core/change"
	"rosereach/core/lease"
	"rosereach/core/ledger"
	"rosereach/core/state"
	"rosereach/io/member"
	"rosereach/io/operator"
)

// Handler returns the HTTP handler for members and operators.
func (n *Node) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get(member.Path, func(w http.ResponseWriter, req *http.Request) {
		member.Accept(w, req, n.cfg.MemberKey, n, n.watch)
	})
	operator.Mount(r, operator.Options{BootstrapKey: n.cfg.OperatorKey, Clock: n.cfg.Clock, Metrics: n.metrics}, n)
	return r
}

// Handle answers a member's message.
func (n *Node) Handle(ctx context.Context, _ *member.Conn, kind member.Kind, body cbor.RawMessage) (any, error) {
	switch kind {
	case member.KindLease:
		var r lease.Request
		if err := cbor.Unmarshal(body, &r); err != nil {
			return nil, errors.Trace(err)
		}
		return n.grant(r), nil
	case member.KindRelease:
		var r member.Released
		if err := cbor.Unmarshal(body, &r); err != nil {
			return nil, errors.Trace(err)
		}
		n.release(r)
		return nil, nil
	case member.KindDocuments:
		var r member.DocumentsRequest
		if err := cbor.Unmarshal(body, &r); err != nil {
			return nil, errors.Trace(err)
		}
		return n.documents(r), nil
	case member.KindPropose:
		var r member.ProposeRequest
		if err := cbor.Unmarshal(body, &r); err != nil {
			return nil, errors.Trace(err)
		}
		results, err := n.Propose(ctx, r.Commands...)
		return member.ProposeReply{Results: results}, err
	}
	return nil, &member.Problem{Code: member.CodeRefused, Detail: "unknown message " + string(kind)}
}

// Change commits an operator's change.
func (n *Node) Change(ctx context.Context, c change.Change) (change.Result, error) {
	c = c.WithAt(n.cfg.Clock.Now())
	results, err := n.Propose(ctx, state.Command{Change: &c})
	if err != nil {
		return change.Result{}, err
	}
	return *results[0].Change, nil
}

// Documents returns the newest documents as operators see them.
func (n *Node) Documents() operator.Documents {
	docs := n.Catalog().Documents()
	return operator.Documents{
		Revision: docs.Revision, Templates: docs.Templates, Workspaces: docs.Workspaces,
		Versions: docs.Versions, Services: docs.Services, Operators: docs.Operators,
	}
}

// Bills returns a page of bills.
func (n *Node) Bills(after uint64, limit int) (bills []ledger.Bill) {
	n.View(func(s *state.State) { bills = s.Ledger().Bills(after, limit) })
	return bills
}

// Status returns what the control knows of the entries.
func (n *Node) Status() operator.Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	return operator.Status{
		Control: n.cfg.ID, Leader: n.cfg.ID, Index: n.state.Index(),
		Revision: n.state.Catalog().Revision(), Entries: n.grantor.Live(n.cfg.Clock.Now()),
	}
}

func (n *Node) documents(r member.DocumentsRequest) member.DocumentsReply {
	docs := n.Catalog().Documents()
	if docs.Revision <= r.Have {
		return member.DocumentsReply{}
	}
	docs.Operators = nil
	return member.DocumentsReply{Documents: &docs}
}

// watch adds a connection to those that hear of changes.
func (n *Node) watch(c *member.Conn) func() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.watchers[c] = true
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.watchers, c)
	}
}
