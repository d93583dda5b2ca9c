package control

import (
	"context"
	"fmt"

	"github.com/juju/errors"

	"rosereach/core/encoding"
	"rosereach/core/replica"
	"rosereach/core/state"
	"rosereach/io/member"
)

// maxBatch is how many commands a batch holds before no further proposal joins
// it.
const maxBatch = 4096

// maxCommandBytes bounds a command. A log entry that does not fit into a frame reaches no
// other replica, and holds up all that follow it.
const maxCommandBytes = member.MaxFrameBytes / 2

// ErrLeadershipLost means that this control lost the leadership while a command was
// in progress. The outcome of the command is unknown.
const ErrLeadershipLost = errors.ConstError("the leadership was lost before the command was committed; its outcome is unknown: retry with the same id")

type (
	// proposal is a list of commands that are committed together.
	proposal struct {
		// data are the encoded commands; results are in the same order.
		data    [][]byte
		results []state.Result

		// remaining counts the commands without a result.
		remaining int

		// ended is set when done has got the proposal's result, which it takes once.
		ended bool
		done  chan error
	}

	// pendingCommand is a command that waits until its log entry is committed.
	pendingCommand struct {
		proposal *proposal

		// position is the command's index in the proposal.
		position int

		// term is the term in which it was proposed.
		term uint64
	}
)

// Propose commits commands and returns their results, in order. The error is a
// *member.Problem with CodeNotLeader when this control doesn't lead, and with
// CodeRefused when its disk is full or not every replica could read a command; nothing was
// done in either case.
func (n *Node) Propose(ctx context.Context, commands ...state.Command) ([]state.Result, error) {
	if len(commands) == 0 {
		return nil, nil
	}
	p := &proposal{results: make([]state.Result, len(commands)), remaining: len(commands), done: make(chan error, 1)}
	for _, c := range commands {
		data, err := encodeCommand(c)
		if err != nil {
			return nil, err
		}
		p.data = append(p.data, data)
	}
	select {
	case n.proposals <- p:
	case <-ctx.Done():
		return nil, errors.Trace(ctx.Err())
	}
	select {
	case err := <-p.done:
		return p.results, err
	case <-ctx.Done():
		return nil, errors.Trace(ctx.Err())
	}
}

// encodeCommand encodes a command for the log. It refuses one that not every replica could
// read: the log would end there for that replica, at each of its starts.
func encodeCommand(c state.Command) ([]byte, error) {
	if err := encoding.CheckText(c); err != nil {
		return nil, &member.Problem{Code: member.CodeRefused, Detail: err.Error()}
	}
	data, err := encoding.Marshal(c)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(data) > maxCommandBytes {
		return nil, &member.Problem{Code: member.CodeRefused, Detail: fmt.Sprintf("%d bytes are more than a command may have (%d)", len(data), maxCommandBytes)}
	}
	return data, nil
}

// proposeBatch proposes the commands of a proposal, and of others that are queued, to
// the replica in one batch.
func (n *Node) proposeBatch(first *proposal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	batch := []*proposal{first}
	data := first.data
	for len(data) < maxBatch {
		select {
		case p := <-n.proposals:
			batch = append(batch, p)
			data = append(data, p.data...)
			continue
		default:
		}
		break
	}
	index, term, err := n.propose(data)
	for _, p := range batch {
		if err != nil {
			p.end(err)
			continue
		}
		for i := range p.data {
			n.pending[index] = pendingCommand{proposal: p, position: i, term: term}
			index++
		}
	}
}

// propose appends commands to the log. It refuses them when this control's disk
// is full or it doesn't lead. Callers hold n.mu.
func (n *Node) propose(data [][]byte) (index, term uint64, err error) {
	if n.diskFullErr != nil {
		return 0, 0, &member.Problem{Code: member.CodeRefused, Detail: n.diskFullErr.Error()}
	}
	if n.replica == nil {
		return 0, 0, n.notLeader()
	}
	index, term, err = n.replica.Propose(n.cfg.Clock.Now(), data...)
	if err != nil {
		return 0, 0, n.notLeader()
	}
	return index, term, nil
}

// notLeader returns the error of a control that doesn't lead, with the leader's
// id and address if known. Callers hold n.mu.
func (n *Node) notLeader() error {
	p := &member.Problem{Code: member.CodeNotLeader, Detail: "no leader is known; retry shortly"}
	s := n.groupLocked()
	for _, m := range s.Members.All() {
		if m.Identity == s.Leader && m.Identity != n.self {
			p.Leader, p.Address = m.ID, n.addressOf(m)
			p.Detail = "the leader is " + m.ID + " at " + p.Address
		}
	}
	return p
}

// completeCommand passes the result of a committed log entry to its proposal, if it was
// proposed here. Callers hold n.mu.
func (n *Node) completeCommand(e replica.Entry, result state.Result) {
	w, ok := n.pending[e.Index]
	if !ok {
		return
	}
	delete(n.pending, e.Index)
	if w.term != e.Term {
		w.proposal.end(errors.Trace(ErrLeadershipLost))
		return
	}
	w.proposal.results[w.position] = result
	w.proposal.remaining--
	if w.proposal.remaining == 0 {
		w.proposal.end(nil)
	}
}

// failPending fails all waiting proposals, as it is now up to another leader whether
// they are committed. Callers hold n.mu.
func (n *Node) failPending() {
	for index, w := range n.pending {
		delete(n.pending, index)
		w.proposal.end(errors.Trace(ErrLeadershipLost))
	}
}

// end passes the result to whoever waits for the proposal, unless it has ended already.
// Callers hold the node's mu.
func (p *proposal) end(err error) {
	if !p.ended {
		p.ended = true
		p.done <- err
	}
}
