package control

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"rosereach/core/change"
	"rosereach/core/membership"
	"rosereach/core/replica"
	"rosereach/io/member"
	"rosereach/io/operator"
)

const (
	// joinInterval is the pause between two attempts to join a group.
	joinInterval = 200 * time.Millisecond

	// callTimeout bounds a call to another control.
	callTimeout = 2 * time.Second

	// leaveInterval is the pause between two announcements of a planned stop.
	leaveInterval = 50 * time.Millisecond
)

// errOtherGroup is the cause when a control of one group is asked to join another.
const errOtherGroup = errors.ConstError("this control belongs to another group: give it an empty data folder first")

// joinGroup makes a control with an empty folder a member of a group, and returns
// once it is one. With seeds it runs until ctx ends.
func (n *Node) joinGroup(ctx context.Context) error {
	if n.cfg.Seeds != nil {
		return n.maintainMembership(ctx)
	}
	for !n.hasJoined() {
		founds, err := n.findGroup(ctx)
		if err != nil {
			return err
		}
		if founds {
			return n.foundGroupIfNone()
		}
		select {
		case <-n.cfg.Clock.After(joinInterval):
		case <-ctx.Done():
			return nil
		}
	}
	return nil
}

// hasJoined reports whether this control is or was a member of its group. One that
// was removed keeps its log, so without seeds it doesn't rejoin by itself.
func (n *Node) hasJoined() bool {
	s := n.group()
	return s.LastIndex > 0 || s.Members.IsMember(n.self)
}

// findGroup asks the configured controls for membership. It reports whether this
// control has to found the group: all peers answered that they have no group,
// and this control has the lowest id.
func (n *Node) findGroup(ctx context.Context) (founds bool, err error) {
	peers := n.otherPeers()
	founds = len(peers) > 0 && len(n.cfg.Join) == 0
	for id := range peers {
		founds = founds && n.cfg.ID < id
	}
	addresses := append([]string(nil), n.cfg.Join...)
	for _, address := range peers {
		addresses = append(addresses, address)
	}
	for len(addresses) > 0 {
		address := addresses[0]
		addresses = addresses[1:]
		reply, err := n.requestJoin(ctx, address)
		var problem *member.Problem
		switch {
		case err == nil:
			return false, n.adoptGroup(reply.Group)
		case errors.As(err, &problem) && problem.Code == member.CodeNoGroup:
		default:
			founds = false
		}
		if problem != nil && problem.Address != "" && len(addresses) == 0 {
			addresses = append(addresses, problem.Address)
			founds = false
			if address == problem.Address {
				return false, nil
			}
		}
	}
	return founds, nil
}

// foundGroupIfNone starts a new group unless this control has joined one meanwhile.
func (n *Node) foundGroupIfNone() error {
	n.joinMu.Lock()
	defer n.joinMu.Unlock()
	if n.store.Meta().Group != "" {
		return nil
	}
	return n.foundGroup()
}

// requestJoin asks the control at the address to add this one to its group.
func (n *Node) requestJoin(ctx context.Context, address string) (member.JoinReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply member.JoinReply
	conn, err := n.dial(ctx, address)
	if err != nil {
		return reply, err
	}
	defer conn.Close()
	m := replica.Member{Identity: n.self, Address: n.cfg.Address}
	return reply, conn.Call(ctx, member.KindJoin, member.JoinRequest{Member: m, Features: change.Features()}, &reply)
}

// adoptGroup binds an empty folder to a group and starts its replica.
func (n *Node) adoptGroup(group string) error {
	n.joinMu.Lock()
	defer n.joinMu.Unlock()
	switch n.store.Meta().Group {
	case group:
		return nil
	case "":
		n.cfg.Logger.Log("msg", "Joins the group as a learner.", "id", n.cfg.ID)
		return n.enterGroup(group, replica.PersistentState{})
	}
	return errors.Trace(errOtherGroup)
}

// addLearner adds a replica to the group as a learner, which becomes a voter once it
// has caught up.
func (n *Node) addLearner(r member.JoinRequest) (member.JoinReply, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	m := r.Member
	reply := member.JoinReply{Group: n.store.Meta().Group}
	if reply.Group == "" {
		return reply, &member.Problem{Code: member.CodeNoGroup, Detail: "this control has no group"}
	}
	if missing := n.missingFeatures(r.Features); len(missing) > 0 {
		return reply, &member.Problem{Code: member.CodeRefused, Detail: "the group uses " + string(missing[0]) + ", which the control's build does not know: start a newer one"}
	}
	if n.leadership == nil || !n.leadership.ready {
		return reply, n.notLeader()
	}
	if err := n.replica.AddLearner(n.cfg.Clock.Now(), m); err != nil {
		return reply, err
	}
	n.requestFlush()
	return reply, nil
}

// updateMembership makes the next membership change that is due. Callers hold n.mu.
func (n *Node) updateMembership(now time.Time) {
	n.leadership.members.SetVotingSpare(n.membershipConfig().VotingSpare)
	step, err := n.leadership.members.Update(now, n.replica)
	switch {
	case errors.Is(err, replica.ErrPending):
	case err != nil:
		level.Debug(n.cfg.Logger).Log("msg", "Membership can't be changed yet.", "control", step.Member.ID, "change", step.Action, "err", err)
	case step.Action != 0:
		n.cfg.Logger.Log("msg", "Changes the membership.", "control", step.Member.ID, "change", step.Action, "reason", step.Reason, "voters", len(n.groupLocked().Members.Voters))
	}
}

// checkIncarnation compares the process at a member's address with the member. Another
// incarnation there shows that the member's disk is lost: the answer is newer than the
// membership, which named the member before the dial.
func (n *Node) checkIncarnation(m replica.Member, at member.Peer) {
	if at.ID != m.ID || at.Incarnation == 0 || at.Incarnation == m.Incarnation {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.replica == nil || n.replica.HasLostDisk(m.Identity) {
		return
	}
	level.Warn(n.cfg.Logger).Log("msg", "Control has lost its disk.", "control", m.ID, "incarnation", m.Incarnation, "now", at.Incarnation, "address", m.Address)
	n.replica.ReportLostDisk(m.Identity)
}

// leaveGroup announces this control's planned stop to the leader, and waits until a spare
// control votes in its place, for membership.LeaveTimeout at most. Without a spare this
// control keeps its vote. It does nothing in a group that operators manage.
func (n *Node) leaveGroup(ctx context.Context) {
	if members := n.group().Members; n.cfg.Seeds == nil || len(members.All()) <= 1 {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := n.cfg.Clock.After(membership.LeaveTimeout)
	go func() {
		select {
		case <-timeout:
			cancel()
		case <-ctx.Done():
		}
	}()
	for ctx.Err() == nil {
		var reply member.LeaveReply
		err := n.callLeader(ctx, member.KindLeave, member.LeaveRequest{Identity: n.self}, &reply)
		var problem *member.Problem
		switch {
		case err == nil && !reply.Wait:
			n.cfg.Logger.Log("msg", "Leaves the group.", "id", n.cfg.ID, "voter", reply.Voter)
			return
		case errors.As(err, &problem) && problem.Code == member.CodeRefused:
			return // the leader is of a build that does not know the call
		}
		select {
		case <-n.cfg.Clock.After(leaveInterval):
		case <-ctx.Done():
		}
	}
	level.Warn(n.cfg.Logger).Log("msg", "Stops before another control has replaced it.", "id", n.cfg.ID)
}

// announceLeave records the planned stop of a control, and makes the membership change
// that is due for it.
func (n *Node) announceLeave(r member.LeaveRequest) (member.LeaveReply, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leadership == nil || n.leadership.members == nil {
		return member.LeaveReply{}, n.notLeader()
	}
	now := n.cfg.Clock.Now()
	wait := n.leadership.members.Leave(now, n.replica, r.Identity)
	if !n.replica.Status().Ready {
		return member.LeaveReply{}, n.notLeader()
	}
	n.updateMembership(now)
	n.requestFlush()
	return member.LeaveReply{Wait: wait || n.replica.HasPendingMembers(), Voter: n.groupLocked().Members.IsVoter(r.Identity)}, nil
}

// AddControl adds the control at the address, host:port, to this group. That
// control must not have a group of its own. It starts as a learner.
func (n *Node) AddControl(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	group := n.store.Meta().Group
	if group == "" {
		return &member.Problem{Code: member.CodeNoGroup, Detail: "this control has no group yet"}
	}
	conn, err := n.dial(ctx, address)
	if err != nil {
		return err
	}
	defer conn.Close()
	var reply member.AdoptReply
	if err := conn.Call(ctx, member.KindAdopt, member.AdoptRequest{Group: group}, &reply); err != nil {
		return err
	}
	m := replica.Member{Identity: reply.Identity, Address: address}
	if n.IsLeader() {
		_, err := n.addLearner(member.JoinRequest{Member: m, Features: conn.Peer().Features})
		return err
	}
	return n.callLeader(ctx, member.KindJoin, member.JoinRequest{Member: m, Features: conn.Peer().Features}, nil)
}

// RemoveControl removes the control with the id from the group. The error is a
// NotFound error when there is none.
func (n *Node) RemoveControl(ctx context.Context, id string) error {
	if !n.IsLeader() {
		return n.callLeader(ctx, member.KindRemove, member.RemoveRequest{ID: id}, nil)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	defer n.requestFlush()
	for _, m := range n.groupLocked().Members.All() {
		if m.ID == id {
			return n.replica.Remove(n.cfg.Clock.Now(), m.Identity)
		}
	}
	return errors.NotFoundf("control %q in the group", id)
}

// Controls returns the group's replicas, leader and term as known locally.
func (n *Node) Controls() operator.Controls {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.controlsLocked()
}

// controlsLocked is Controls for callers that hold n.mu.
func (n *Node) controlsLocked() operator.Controls {
	s := n.groupLocked()
	c := operator.Controls{Leader: s.Leader.ID, Term: s.Term}
	for _, m := range s.Members.All() {
		c.Controls = append(c.Controls, operator.Control{
			ID: m.ID, Incarnation: m.Incarnation, Address: m.Address, Voter: s.Members.IsVoter(m.Identity),
		})
	}
	return c
}

// otherPeers returns the configured peers, address by id, without this control.
func (n *Node) otherPeers() map[string]string {
	others := make(map[string]string)
	for id, address := range n.cfg.Peers {
		if id != n.cfg.ID {
			others[id] = address
		}
	}
	return others
}

// requestFlush makes the loop flush the replica's pending work.
func (n *Node) requestFlush() {
	select {
	case n.flushRequests <- struct{}{}:
	default:
	}
}
