package control

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"rosereach/core/replica"
	"rosereach/core/state"
	"rosereach/io/member"
)

// maxBatch bounds the commands that are handed to the replica together.
const maxBatch = 4096

// ErrLeadershipLost is the cause when a command's outcome is unknown.
const ErrLeadershipLost = errors.ConstError("the leadership was lost before the command was committed; its outcome is unknown: send it again with the same id")

type (
	// proposal is a list of commands on its way through the log.
	proposal struct {
		data    [][]byte
		results []state.Result
		missing int
		done    chan error
	}

	// waiter is a command of a proposal that waits for its entry.
	waiter struct {
		proposal *proposal
		place    int
		term     uint64
	}
)

// Propose commits commands and returns their results, in order. The error is a
// *member.Problem with CodeNotLeader when nothing was done because another
// control leads.
func (n *Node) Propose(ctx context.Context, commands ...state.Command) ([]state.Result, error) {
	if len(commands) == 0 {
		return nil, nil
	}
	p := &proposal{results: make([]state.Result, len(commands)), missing: len(commands), done: make(chan error, 1)}
	for _, c := range commands {
		data, err := cbor.Marshal(c)
		if err != nil {
			return nil, errors.Trace(err)
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

// accept hands a proposal, and those that wait behind it, to the replica.
func (n *Node) accept(first *proposal) {
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
			p.done <- err
			continue
		}
		for place := range p.data {
			n.waiting[index] = waiter{proposal: p, place: place, term: term}
			index++
		}
	}
}

// propose adds commands to the log of a leader whose disk takes writes.
// Callers hold n.mu.
func (n *Node) propose(data [][]byte) (index, term uint64, err error) {
	if n.full != nil {
		return 0, 0, &member.Problem{Code: member.CodeRefused, Detail: n.full.Error()}
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

// notLeader names the leader, as far as it is known. Callers hold n.mu.
func (n *Node) notLeader() error {
	p := &member.Problem{Code: member.CodeNotLeader, Detail: "no leader is known; ask again in a moment"}
	s := n.groupLocked()
	for _, m := range s.Members.All() {
		if m.Identity == s.Leader && m.Identity != n.self {
			p.Leader, p.Address = m.ID, n.addressOf(m)
			p.Detail = "the leader is " + m.ID + " at " + p.Address
		}
	}
	return p
}

// answer gives a proposal the result of its entry. Callers hold n.mu.
func (n *Node) answer(e replica.Entry, result state.Result) {
	w, ok := n.waiting[e.Index]
	if !ok {
		return
	}
	delete(n.waiting, e.Index)
	if w.term != e.Term {
		w.proposal.done <- errors.Trace(ErrLeadershipLost)
		return
	}
	w.proposal.results[w.place] = result
	w.proposal.missing--
	if w.proposal.missing == 0 {
		w.proposal.done <- nil
	}
}

// abandon ends all proposals that wait: another leader decides about them.
// Callers hold n.mu.
func (n *Node) abandon() {
	failed := make(map[*proposal]bool)
	for index, w := range n.waiting {
		delete(n.waiting, index)
		if !failed[w.proposal] {
			w.proposal.done <- errors.Trace(ErrLeadershipLost)
		}
		failed[w.proposal] = true
	}
}
