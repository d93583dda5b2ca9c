package replica

import "time"

// becomeFollower makes the replica a follower. The zero identity stands for an unknown
// leader.
func (r *Replica) becomeFollower(leader Identity) {
	r.role = Follower
	r.leader = leader
	r.peers, r.votes, r.lostBefore = nil, nil, nil
	r.electedByHalf = false
	r.transferTarget = Identity{}
	r.resetElectionTimeout()
}

// enterTerm makes the replica a follower in a newer term, without a vote.
func (r *Replica) enterTerm(term uint64) {
	r.hardState = HardState{Term: term}
	r.writeHardState()
	r.becomeFollower(Identity{})
}

// resetElectionTimeout restarts the election timeout. It is random, between one and two
// times the configured minimum, so that two replicas seldom start an election
// together.
func (r *Replica) resetElectionTimeout() {
	jitter := time.Duration(r.cfg.Random.Int64N(int64(r.cfg.ElectionTimeout)))
	r.electionDeadline = r.now.Add(r.cfg.ElectionTimeout + jitter)
}

// startPreVote asks the voters whether they would vote for this replica, without
// changing the term (pre-vote).
func (r *Replica) startPreVote() {
	r.resetElectionTimeout()
	if !r.isCurrentVoter(r.cfg.Self) {
		return
	}
	r.role = PreCandidate
	r.leader = Identity{}
	r.votes = map[Identity]bool{r.cfg.Self: true}
	r.freezeLostDisks()
	if r.hasVoteQuorum() {
		r.startElection(false)
		return
	}
	r.requestVotes(PreVote, r.hardState.Term+1, false)
}

// startElection starts an election in a new term. The replica's own vote counts
// only when it is synced, and the vote requests are sent after that.
func (r *Replica) startElection(forced bool) {
	r.role = Candidate
	r.leader = Identity{}
	r.hardState = HardState{Term: r.hardState.Term + 1, Vote: r.cfg.Self}
	r.writeHardState()
	r.votes = make(map[Identity]bool)
	r.freezeLostDisks()
	r.voteSequence = r.pendingSequence()
	r.resetElectionTimeout()
	r.requestVotes(Vote, r.hardState.Term, forced)
}

func (r *Replica) requestVotes(kind Kind, term uint64, forced bool) {
	for _, m := range r.Peers() {
		if m.Identity == r.cfg.Self || !r.isCurrentVoter(m.Identity) {
			continue
		}
		r.sendAfterSync(Message{
			Kind: kind, To: m.Identity, Term: term, Index: r.log.lastIndex(), LogTerm: r.log.lastTerm(), Forced: forced,
		})
	}
}

func (r *Replica) onPreVote(m Message) {
	grant := m.Term > r.hardState.Term && r.canVoteFor(m) && !r.hasRecentLeader()
	reply := Message{Kind: PreVoteReply, To: m.From, Term: m.Term, Reject: !grant}
	if !grant {
		reply.Term = r.hardState.Term
	}
	r.send(reply)
}

func (r *Replica) onPreVoteReply(m Message) {
	if m.Reject {
		if m.Term > r.hardState.Term {
			r.enterTerm(m.Term)
		}
		return
	}
	if r.role != PreCandidate || m.Term != r.hardState.Term+1 || !r.isCurrentVoter(m.From) {
		return
	}
	r.votes[m.From] = true
	if r.hasVoteQuorum() || r.hasHalfQuorum() {
		r.startElection(false)
	}
}

func (r *Replica) onVote(m Message) {
	if m.Term > r.hardState.Term {
		if !m.Forced && r.hasRecentLeader() {
			return
		}
		r.enterTerm(m.Term)
	}
	canVote := r.hardState.Vote.IsZero() || r.hardState.Vote == m.From
	grant := m.Term == r.hardState.Term && canVote && r.canVoteFor(m)
	if grant && r.hardState.Vote.IsZero() {
		r.hardState.Vote = m.From
		r.writeHardState()
		r.resetElectionTimeout()
	}
	r.sendAfterSync(Message{Kind: VoteReply, To: m.From, Reject: !grant})
}

func (r *Replica) onVoteReply(m Message) {
	if m.Term > r.hardState.Term {
		r.enterTerm(m.Term)
		return
	}
	if r.role != Candidate || m.Term != r.hardState.Term || m.Reject || !r.isCurrentVoter(m.From) || r.lostBefore[m.From] {
		return
	}
	r.votes[m.From] = true
	r.countVotes()
}

// countVotes makes a candidate the leader once enough voters have voted for it.
func (r *Replica) countVotes() {
	if r.syncedSequence >= r.voteSequence {
		r.votes[r.cfg.Self] = true
	}
	switch {
	case r.hasVoteQuorum():
		r.becomeLeader(Entry{Kind: Empty})
	case r.hasHalfQuorum():
		r.electedByHalf, r.halfIndex = true, r.committed().index
		r.becomeLeader(r.firstEntryAfterHalfElection())
	}
}

// onTimeoutNow starts an election without waiting for the election timeout,
// because the leader transfers its leadership to this replica.
func (r *Replica) onTimeoutNow(m Message) {
	if m.Term != r.hardState.Term || r.role != Follower || !r.members.IsVoter(r.cfg.Self) {
		return
	}
	r.startElection(true)
}

// canVoteFor reports whether the replica may vote for the candidate: the replica was
// a member of the group, and the candidate's log is up to date. A replica with an
// empty data folder knows of no members. One that was removed votes, as the candidate may
// not know yet that this is committed, and need its vote.
func (r *Replica) canVoteFor(m Message) bool {
	return len(r.members.Voters) > 0 && r.log.isUpToDate(m.Index, m.LogTerm)
}

// hasRecentLeader reports whether a leader may rely on this replica not to vote for
// another. It also counts a leader that the replica has since stopped following.
func (r *Replica) hasRecentLeader() bool {
	if r.role == Leader {
		return r.now.Sub(r.quorumContact(r.now)) < r.cfg.ElectionTimeout
	}
	return r.now.Sub(r.lastContact) < r.cfg.ElectionTimeout
}
