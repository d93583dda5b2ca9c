package replica

import (
	"math/rand/v2"
	"testing"
	"time"
)

var (
	voteA = Identity{ID: "a", Incarnation: 1}
	voteB = Identity{ID: "b", Incarnation: 1}
	voteC = Identity{ID: "c", Incarnation: 1}
	epoch = time.Unix(1000, 0)
)

func threeVoters() PersistentState {
	members := Membership{Voters: []Member{{Identity: voteA}, {Identity: voteB}, {Identity: voteC}}}
	return PersistentState{Snapshot: Snapshot{Index: 1, Term: 1, Members: members}, HardState: HardState{Term: 1}}
}

// withoutVoteA is the state of a replica that has been removed.
func withoutVoteA() PersistentState {
	saved := threeVoters()
	saved.Snapshot.Members = saved.Snapshot.Members.Without(voteA)
	return saved
}

func newTestReplica(self Identity, saved PersistentState) *Replica {
	return New(Config{
		Group: "g", Self: self, HeartbeatInterval: testHeartbeat, ElectionTimeout: testElection,
		MaxAppendEntries: 4, MaxMessageBytes: 16, MaxInflightEntries: 16, Random: rand.New(rand.NewPCG(1, 1)),
	}, epoch, saved)
}

func voteRequest(term uint64, forced bool) Message {
	return Message{Group: "g", Kind: Vote, From: voteB, To: voteA, Term: term, Index: 9, LogTerm: 9, Forced: forced}
}

// A replica must not vote while a leader may still rely on it, or when it is not a
// member of the group: the candidate would count the vote.
func TestVote(t *testing.T) {
	heartbeat := Message{Group: "g", Kind: Append, From: voteC, To: voteA, Term: 1, Index: 1, LogTerm: 1}
	for _, tc := range []struct {
		name    string
		saved   PersistentState
		heard   bool
		after   time.Duration
		forced  bool
		granted bool
	}{
		{"the leader is silent", threeVoters(), true, testElection, false, true},
		{"recent contact with a leader", threeVoters(), true, testElection - 1, false, false},
		{"recent contact with a leader that transfers its leadership", threeVoters(), true, 1, true, true},
		{"contact before a restart is unknown", threeVoters(), false, testElection - 1, false, false},
		{"an empty folder", PersistentState{}, false, testElection, true, false},
		{"it was removed, which the candidate may not know", withoutVoteA(), false, testElection, true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newTestReplica(voteA, tc.saved)
			if tc.heard {
				r.Receive(epoch, heartbeat)
				r.TakeMessages()
			}
			r.Receive(epoch.Add(tc.after), voteRequest(2, tc.forced))
			if w, ok := r.TakeWrite(); ok {
				r.Synced(epoch.Add(tc.after), w.Sequence)
			}
			granted := false
			for _, m := range r.TakeMessages() {
				granted = granted || (m.Kind == VoteReply && !m.Reject)
			}
			if granted != tc.granted {
				t.Errorf("granted: %t", granted)
			}
		})
	}
}

// A vote is sent only after it is synced, and a replica votes once in a term, also
// after a restart.
func TestVoteIsSyncedFirst(t *testing.T) {
	r := newTestReplica(voteA, threeVoters())
	now := epoch.Add(testElection)
	r.Receive(now, voteRequest(2, false))
	if sent := r.TakeMessages(); len(sent) != 0 {
		t.Fatalf("sent before the sync: %+v", sent)
	}
	w, ok := r.TakeWrite()
	if !ok || w.HardState == nil || *w.HardState != (HardState{Term: 2, Vote: voteB}) {
		t.Fatalf("write %+v, %t", w, ok)
	}
	r.Synced(now, w.Sequence)
	if sent := r.TakeMessages(); len(sent) != 1 || sent[0].Reject {
		t.Fatalf("sent after the sync: %+v", sent)
	}
	restarted := newTestReplica(voteA, PersistentState{HardState: *w.HardState, Snapshot: threeVoters().Snapshot})
	other := voteRequest(2, false)
	other.From = voteC
	restarted.Receive(now, other)
	if sent := restarted.TakeMessages(); len(sent) != 1 || !sent[0].Reject {
		t.Fatalf("second vote in the term: %+v", sent)
	}
}

// The completion of a write does not make entries stable that were replaced after
// the write was taken.
func TestSyncedOfReplacedEntries(t *testing.T) {
	r := newTestReplica(voteA, threeVoters())
	appendOf := func(from Identity, term uint64) Message {
		return Message{
			Group: "g", Kind: Append, From: from, To: voteA, Term: term, Index: 1, LogTerm: 1,
			Entries: []Entry{{Index: 2, Term: term, Data: []byte{byte(term)}}}, Commit: 2,
		}
	}
	r.Receive(epoch, appendOf(voteB, 2))
	first, _ := r.TakeWrite()
	r.Receive(epoch, appendOf(voteC, 3))
	r.Synced(epoch, first.Sequence)
	if c := r.TakeCommitted(); len(c.Entries) != 0 {
		t.Fatalf("applied before its sync: %+v", c.Entries)
	}
	second, _ := r.TakeWrite()
	r.Synced(epoch, second.Sequence)
	if c := r.TakeCommitted(); len(c.Entries) != 1 || c.Entries[0].Term != 3 {
		t.Fatalf("applied %+v", c.Entries)
	}
}

// Guards against a group that ends for good: a learner without the entry that makes it a member was
// promoted, the leader ended, and the new voter refused its vote as it knew of no membership.
func TestPromotedReplicaKnowsThatItIsAMember(t *testing.T) {
	saved := Bootstrap(Member{Identity: voteA})
	r := newTestReplica(voteA, saved)
	now := epoch
	sync := func() {
		for w, ok := r.TakeWrite(); ok; w, ok = r.TakeWrite() {
			r.Synced(now, w.Sequence)
		}
		r.TakeMessages()
	}
	r.Tick(now)
	sync()
	for range 3 {
		if _, _, err := r.Propose(now, []byte("x")); err != nil {
			t.Fatal(err)
		}
		sync()
	}
	before := r.log.lastIndex()
	if err := r.AddLearner(now, Member{Identity: voteB}); err != nil {
		t.Fatal(err)
	}
	sync()
	for match := before; match <= before+1; match++ {
		r.Receive(now, Message{Group: "g", Kind: AppendReply, From: voteB, To: voteA, Term: r.hardState.Term, Index: match})
		if got, want := r.IsCaughtUp(voteB), match > before; got != want {
			t.Errorf("with the entries up to %d of %d it has caught up: %v", match, before+1, got)
		}
	}
}
