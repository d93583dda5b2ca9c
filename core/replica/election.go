package replica

import "time"

// follow makes the replica a follower. The zero identity stands for an unknown
// leader.
func (r *Replica) follow(leader Identity) {
	r.role = Follower
	r.leader = leader
	r.peers, r.votes = nil, nil
	r.transfer = Identity{}
	r.resetCampaign()
}

// enterTerm makes the replica a follower in a newer term, without a vote.
func (r *Replica) enterTerm(term uint64) {
	r.hard = HardState{Term: term}
	r.writeHard()
	r.follow(Identity{})
}

// resetCampaign restarts the election timeout. It is random, between one and two
// times the configured minimum, so that two replicas seldom start an election
// together.
func (r *Replica) resetCampaign() {
	jitter := time.Duration(r.cfg.Random.Int64N(int64(r.cfg.Election)))
	r.campaign = r.now.Add(r.cfg.Election + jitter)
}

// preCampaign asks the voters whether they would vote for this replica, without
// changing the term (pre-vote).
func (r *Replica) preCampaign() {
	r.resetCampaign()
	if !r.members.IsVoter(r.cfg.Self) {
		return
	}
	r.role = PreCandidate
	r.leader = Identity{}
	r.votes = map[Identity]bool{r.cfg.Self: true}
	if r.hasMajority() {
		r.startCampaign(false)
		return
	}
	r.askVotes(PreVote, r.hard.Term+1, false)
}

// startCampaign starts an election in a new term. The replica's own vote counts
// only when it is synced, and the vote requests are sent after that.
func (r *Replica) startCampaign(forced bool) {
	r.role = Candidate
	r.leader = Identity{}
	r.hard = HardState{Term: r.hard.Term + 1, Vote: r.cfg.Self}
	r.writeHard()
	r.votes = make(map[Identity]bool)
	r.voteWrite = r.newestWrite()
	r.resetCampaign()
	r.askVotes(Vote, r.hard.Term, forced)
}

func (r *Replica) askVotes(kind Kind, term uint64, forced bool) {
	for _, m := range r.members.Voters {
		if m.Identity == r.cfg.Self {
			continue
		}
		r.sendSynced(Message{
			Kind: kind, To: m.Identity, Term: term, Index: r.log.lastIndex(), LogTerm: r.log.lastTerm(), Forced: forced,
		})
	}
}

func (r *Replica) onPreVote(m Message) {
	grant := m.Term > r.hard.Term && r.mayVoteFor(m) && !r.hearsLeader()
	reply := Message{Kind: PreVoteReply, To: m.From, Term: m.Term, Reject: !grant}
	if !grant {
		reply.Term = r.hard.Term
	}
	r.send(reply)
}

func (r *Replica) onPreVoteReply(m Message) {
	if m.Reject {
		if m.Term > r.hard.Term {
			r.enterTerm(m.Term)
		}
		return
	}
	if r.role != PreCandidate || m.Term != r.hard.Term+1 || !r.members.IsVoter(m.From) {
		return
	}
	r.votes[m.From] = true
	if r.hasMajority() {
		r.startCampaign(false)
	}
}

func (r *Replica) onVote(m Message) {
	if m.Term > r.hard.Term {
		if !m.Forced && r.hearsLeader() {
			return
		}
		r.enterTerm(m.Term)
	}
	canVote := r.hard.Vote.IsZero() || r.hard.Vote == m.From
	grant := m.Term == r.hard.Term && canVote && r.mayVoteFor(m)
	if grant && r.hard.Vote.IsZero() {
		r.hard.Vote = m.From
		r.writeHard()
		r.resetCampaign()
	}
	r.sendSynced(Message{Kind: VoteReply, To: m.From, Reject: !grant})
}

func (r *Replica) onVoteReply(m Message) {
	if m.Term > r.hard.Term {
		r.enterTerm(m.Term)
		return
	}
	if r.role != Candidate || m.Term != r.hard.Term || m.Reject || !r.members.IsVoter(m.From) {
		return
	}
	r.votes[m.From] = true
	r.countVotes()
}

// countVotes makes a candidate the leader once a majority has voted for it.
func (r *Replica) countVotes() {
	if r.synced >= r.voteWrite {
		r.votes[r.cfg.Self] = true
	}
	if r.hasMajority() {
		r.lead()
	}
}

// onCampaignNow starts an election without waiting for the election timeout,
// because the leader transfers its leadership to this replica.
func (r *Replica) onCampaignNow(m Message) {
	if m.Term != r.hard.Term || r.role != Follower || !r.members.IsVoter(r.cfg.Self) {
		return
	}
	r.startCampaign(true)
}

// mayVoteFor reports whether the replica is a member of the group, which one with
// an empty data folder is not, and the candidate's log is up to date.
func (r *Replica) mayVoteFor(m Message) bool {
	return r.members.IsMember(r.cfg.Self) && r.log.isBehind(m.Index, m.LogTerm)
}

// hearsLeader reports whether a leader may rely on this replica not to vote for
// another. It also counts a leader that the replica has since stopped following.
func (r *Replica) hearsLeader() bool {
	if r.role == Leader {
		return r.now.Sub(r.quorumAt(r.now)) < r.cfg.Election
	}
	return r.now.Sub(r.heard) < r.cfg.Election
}

func (r *Replica) hasMajority() bool {
	n := 0
	for _, m := range r.members.Voters {
		if r.votes[m.Identity] {
			n++
		}
	}
	return n >= r.members.Quorum()
}
