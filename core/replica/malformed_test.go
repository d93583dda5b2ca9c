package replica

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against one malformed message of a peer that takes the process down: a replica in
// each role survives messages with parts missing and numbers out of range.
func TestMalformedMessagesAreDropped(t *testing.T) {
	random := rand.New(rand.NewPCG(43, 3))
	number := func() uint64 {
		return []uint64{0, 1, 2, 3, 4, 1 << 40, 1<<63 - 1, 1 << 63, 1<<64 - 1}[random.IntN(9)]
	}
	a, b, c := Identity{ID: "a", Incarnation: 1}, Identity{ID: "b", Incarnation: 1}, Identity{ID: "c", Incarnation: 1}
	for round := range 3000 {
		saved := Bootstrap(Member{Identity: a})
		if round%2 == 0 {
			saved.Snapshot.Members.Voters = []Member{{Identity: a}, {Identity: b}, {Identity: c}}
		}
		now := time.Unix(1000, 0)
		r := New(Config{
			Group: "g", Self: a, HeartbeatInterval: testHeartbeat, ElectionTimeout: testElection,
			MaxAppendEntries: 4, MaxMessageBytes: 16, MaxInflightEntries: 16, Random: random,
		}, now, saved)
		for range 12 {
			now = now.Add(time.Duration(random.IntN(400)) * time.Millisecond)
			r.Tick(now)
			m := Message{
				Group: "g", To: a, From: []Identity{b, c, a}[random.IntN(3)], Kind: Kind(random.UintN(12)), Term: number(), Index: number(),
				LogTerm: number(), Commit: number(), Round: number(), Reject: random.IntN(2) == 0, Forced: random.IntN(2) == 0,
			}
			for range random.IntN(3) {
				e := Entry{Index: number(), Term: number(), Kind: EntryKind(random.UintN(4))}
				if random.IntN(2) == 0 {
					e.Index = m.Index + uint64(len(m.Entries)) + 1
				}
				if random.IntN(2) == 0 {
					e.Members = &Membership{}
				}
				m.Entries = append(m.Entries, e)
			}
			if random.IntN(2) == 0 {
				m.Chunk = &Chunk{Index: number(), Term: number(), Offset: int(number() % (1 << 41)), Data: make([]byte, random.IntN(3)), Last: random.IntN(2) == 0}
				if random.IntN(2) == 0 {
					m.Chunk.Members = saved.Snapshot.Members
				}
			}
			r.Receive(now, m)
			if w, ok := r.TakeWrite(); ok {
				r.Synced(now, w.Sequence)
			}
			r.TakeCommitted()
			r.TakeMessages()
		}
	}
}
