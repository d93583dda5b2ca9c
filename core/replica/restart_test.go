package replica

import (
	"math/rand/v2"
	"testing"
	"time"
)

// A restarted replica applies the entries up to the stored commit index before
// there is a leader, as after a restart of the whole group, and none beyond it.
func TestRestartAppliesWhatWasCommitted(t *testing.T) {
	now := time.Unix(1000, 0)
	self := Identity{ID: "a", Incarnation: 1}
	members := Membership{Voters: []Member{{Identity: self}, {Identity: Identity{ID: "b", Incarnation: 1}}, {Identity: Identity{ID: "c", Incarnation: 1}}}}
	saved := PersistentState{
		HardState: HardState{Term: 2},
		Commit:    3,
		Snapshot:  Snapshot{Index: 1, Term: 1, Members: members},
		Entries:   []Entry{{Index: 2, Term: 2}, {Index: 3, Term: 2}, {Index: 4, Term: 2}},
	}
	r := New(Config{Self: self, HeartbeatInterval: time.Second, ElectionTimeout: 10 * time.Second, Random: rand.New(rand.NewPCG(1, 1))}, now, saved)
	got := r.TakeCommitted().Entries
	if len(got) != 2 || got[len(got)-1].Index != 3 {
		t.Fatalf("applies %v, want the entries 2 and 3", got)
	}
}

// A write carries the commit index, which is never beyond the entries that the
// folder holds.
func TestWriteCarriesCommit(t *testing.T) {
	now := time.Unix(1000, 0)
	first := Member{Identity: Identity{ID: "a", Incarnation: 1}}
	r := New(Config{Self: first.Identity, HeartbeatInterval: time.Second, ElectionTimeout: time.Second, MaxAppendEntries: 10, MaxMessageBytes: 1 << 20, MaxInflightEntries: 100, Random: rand.New(rand.NewPCG(1, 1))}, now, Bootstrap(first))
	r.Tick(now)
	for r.role != Leader {
		w, ok := r.TakeWrite()
		if !ok {
			t.Fatal("no write, and no leader")
		}
		r.Synced(now, w.Sequence)
	}
	w, _ := r.TakeWrite()
	r.Synced(now, w.Sequence)
	if _, _, err := r.Propose(now, []byte("x")); err != nil {
		t.Fatal(err)
	}
	w, ok := r.TakeWrite()
	if !ok || w.Commit == 0 || w.Commit >= w.Entries[0].Index {
		t.Fatalf("write %+v, want a commit before its own entry", w)
	}
}
