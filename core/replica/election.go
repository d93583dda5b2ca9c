package replica

import "time"

// follow makes the replica a follower of the leader, which may be unknown.
func (r *Replica) follow(leader Identity) {
	r.role = Follower
	r.leader = leader
	r.peers, r.votes = nil, nil
	r.transfer = Identity{}
	r.resetCampaign()
}

// enterTerm moves to a newer term, in which the replica has not voted.
func (r *Replica) enterTerm(term uint64) {
	r.hard = HardState{Term: term}
	r.writeHard()
	r.follow(Identity{})
}

// resetCampaign puts off the next election by a random time, so that two
// replicas seldom start one together.
func (r *Replica) resetCampaign() {
	spread := time.Duration(r.cfg.Random.Int64N(int64(r.cfg.Election)))
	r.campaign = r.now.Add(r.cfg.Election + spread)
}

// preCampaign asks whether an election could be won, which changes no term.
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

// startCampaign starts an election in a new term. The own vote counts, and the
// others are asked, once it is synced.
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
	free := r.hard.Vote.IsZero() || r.hard.Vote == m.From
	grant := m.Term == r.hard.Term && free && r.mayVoteFor(m)
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

// countVotes makes a candidate the leader once a majority voted for it.
func (r *Replica) countVotes() {
	if r.synced >= r.voteWrite {
		r.votes[r.cfg.Self] = true
	}
	if r.hasMajority() {
		r.lead()
	}
}

// onCampaignNow starts an election at once, because the leader hands over.
func (r *Replica) onCampaignNow(m Message) {
	if m.Term != r.hard.Term || r.role != Follower || !r.members.IsVoter(r.cfg.Self) {
		return
	}
	r.startCampaign(true)
}

// mayVoteFor reports whether the replica has a place in the group, from which
// an empty folder is kept, and the candidate has all that it has.
func (r *Replica) mayVoteFor(m Message) bool {
	return r.members.IsMember(r.cfg.Self) && r.log.isBehind(m.Index, m.LogTerm)
}

// hearsLeader reports whether a leader may still count on this replica.
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
