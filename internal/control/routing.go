package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"
	"github.com/oklog/ulid/v2"

	"rosereach/core/catalog"
	"rosereach/core/change"
	"rosereach/core/rollout"
	"rosereach/core/route"
	"rosereach/io/member"
)

const (
	// confirmTimeout bounds how long a read waits for the majority. A caller
	// asks another control after a second.
	confirmTimeout = 800 * time.Millisecond

	// confirmInterval lies between two looks at the majority's answers.
	confirmInterval = 10 * time.Millisecond
)

// ErrNotConfirmed is the cause when this control cannot tell what is newest.
const ErrNotConfirmed = errors.ConstError("no majority confirmed in time what is newest: ask another control or again")

// PutRouting commits a routing plan. The answer is Refused when it is invalid.
func (n *Node) PutRouting(ctx context.Context, d route.Document, actor, from string) (change.Result, error) {
	if found := d.Config.Check(); len(found) > 0 {
		return change.Refuse(found), nil
	}
	return n.order(ctx, change.PutRouting, catalog.RoutingName, d, actor, from)
}

// StartRollout commits the order of a roll-out.
func (n *Node) StartRollout(ctx context.Context, o rollout.Order, actor, from string) (change.Result, error) {
	if found := o.Check(); len(found) > 0 {
		return change.Refuse(found), nil
	}
	return n.order(ctx, change.PutRollout, o.Service, o, actor, from)
}

// order commits a change whose repetition has no effect, so that it needs no
// id of its sender's.
func (n *Node) order(ctx context.Context, kind change.Kind, name string, document any, actor, from string) (change.Result, error) {
	if !n.mayAcknowledge() {
		return change.Result{}, &member.Problem{Code: member.CodeNoGroup, Detail: "the group is not complete yet"}
	}
	data, err := json.Marshal(document)
	if err != nil {
		return change.Result{}, errors.Trace(err)
	}
	return n.Change(ctx, change.Change{ID: ulid.Make().String(), Kind: kind, Name: name, Document: data, Actor: actor, From: from})
}

// mayAcknowledge reports whether the group has as many voters as it was founded
// for. Before that the loss of one disk could lose what was acknowledged.
func (n *Node) mayAcknowledge() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.groupLocked().Members.Voters) >= n.cfg.LeastVoters
}

// Routing returns the newest routing plan. The leader asks a majority first;
// a follower asks the leader.
func (n *Node) Routing(ctx context.Context) (member.RoutingReply, error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if !n.IsLeader() {
		var reply member.RoutingReply
		err := n.callLeader(ctx, member.KindRouting, struct{}{}, &reply)
		return reply, err
	}
	return n.confirmedRouting(ctx)
}

// confirmedRouting waits until a majority answered messages that were sent
// after the read came in. A lease would not do: a leader that was suspended
// does not know for how long.
func (n *Node) confirmedRouting(ctx context.Context) (member.RoutingReply, error) {
	asked := n.cfg.Clock.Now()
	for {
		n.mu.Lock()
		confirmed := n.replica != nil && n.replica.IsConfirmedSince(n.cfg.Clock.Now(), asked)
		docs := n.state.Documents()
		n.mu.Unlock()
		if confirmed {
			if docs.Routing == nil {
				return member.RoutingReply{}, nil
			}
			return member.RoutingReply{Version: docs.Routing.Config.Version, Text: docs.Routing.Text}, nil
		}
		select {
		case <-n.cfg.Clock.After(confirmInterval):
		case <-ctx.Done():
			return member.RoutingReply{}, errors.Trace(ErrNotConfirmed)
		}
	}
}

// Rollout returns the newest roll-out of a service that a majority confirmed.
func (n *Node) Rollout(ctx context.Context, service string) (rollout.Order, bool, error) {
	if _, err := n.Routing(ctx); err != nil {
		return rollout.Order{}, false, err
	}
	o, ok := n.Catalog().Rollout(service)
	return o, ok, nil
}
