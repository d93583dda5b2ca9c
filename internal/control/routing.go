package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"
	"github.com/oklog/ulid/v2"

	"rosereach/core/catalog"
	"rosereach/core/change"
	"rosereach/core/evacuation"
	"rosereach/core/rollout"
	"rosereach/core/route"
	"rosereach/io/member"
)

const (
	// confirmTimeout bounds how long a read waits for a majority. It is below the
	// second after which a client asks another control.
	confirmTimeout = 800 * time.Millisecond

	// confirmInterval is how often a read checks whether a majority answered.
	confirmInterval = 10 * time.Millisecond
)

// ErrNotConfirmed is the cause when this control can't establish that its routing
// plan is the newest.
const ErrNotConfirmed = errors.ConstError("no majority confirmed the newest routing plan in time: retry, or ask another control")

// PutRouting commits a routing plan. The result is Refused, with findings, when
// the plan is invalid.
func (n *Node) PutRouting(ctx context.Context, d route.Document, actor, from string) (change.Result, error) {
	if found := d.Config.Check(); len(found) > 0 {
		return change.Refuse(found), nil
	}
	return n.commitDocument(ctx, change.PutRouting, catalog.RoutingName, d, actor, from)
}

// StartRollout commits the order of a roll-out. The result is Refused, with
// findings, when the order is invalid.
func (n *Node) StartRollout(ctx context.Context, o rollout.Order, actor, from string) (change.Result, error) {
	if found := o.Check(); len(found) > 0 {
		return change.Refuse(found), nil
	}
	return n.commitDocument(ctx, change.PutRollout, o.Service, o, actor, from)
}

// Evacuate begins or withdraws the evacuation of an availability zone. The result is a
// Conflict when another order about the zone was accepted meanwhile.
func (n *Node) Evacuate(ctx context.Context, zone string, active bool, actor, from string) (change.Result, error) {
	order := evacuation.Order{Zone: zone, Active: active, SeenRevision: n.Catalog().Documents().Evacuations[zone].Revision}
	return n.commitDocument(ctx, change.PutEvacuation, zone, order, actor, from)
}

// commitDocument commits a change under a new id. Its kind has to be idempotent, as a
// sender's retry gets another id.
func (n *Node) commitDocument(ctx context.Context, kind change.Kind, name string, document any, actor, from string) (change.Result, error) {
	if !n.hasMinVoters() {
		return change.Result{}, &member.Problem{Code: member.CodeNoGroup, Detail: "the group has too few voters yet; retry later"}
	}
	data, err := json.Marshal(document)
	if err != nil {
		return change.Result{}, errors.Trace(err)
	}
	return n.Change(ctx, change.Change{ID: ulid.Make().String(), Kind: kind, Name: name, Document: data, Actor: actor, From: from})
}

// hasMinVoters reports whether the group has MinVoters voters. With fewer, disks that may be
// lost at once could hold the only copies of what was acknowledged.
func (n *Node) hasMinVoters() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.groupLocked().Members.Voters) >= n.cfg.MinVoters
}

// Routing returns the newest committed routing plan. A leader confirms its
// leadership with a majority first; a follower asks the leader. The error's
// cause is ErrNotConfirmed when no majority answers the leader in time.
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

// confirmedRouting waits until a majority has answered messages that were sent
// after the read began. A leader lease would not be enough: a leader that was
// suspended can't tell for how long.
func (n *Node) confirmedRouting(ctx context.Context) (member.RoutingReply, error) {
	start := n.cfg.Clock.Now()
	for {
		n.mu.Lock()
		confirmed := n.replica != nil && n.replica.IsConfirmedSince(n.cfg.Clock.Now(), start)
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

// Rollout returns the newest roll-out of a service, and whether there is one. A
// majority is asked for confirmation as in Routing.
func (n *Node) Rollout(ctx context.Context, service string) (rollout.Order, bool, error) {
	if _, err := n.Routing(ctx); err != nil {
		return rollout.Order{}, false, err
	}
	o, ok := n.Catalog().Rollout(service)
	return o, ok, nil
}
