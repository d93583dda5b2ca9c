package replica

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	testHeartbeat = 50 * time.Millisecond
	testElection  = 300 * time.Millisecond
)

type (
	// simulation simulates a group of replicas, their disks and the network between
	// them.
	simulation struct {
		t       *rapid.T
		random  *rand.Rand
		now     time.Time
		nodes   map[Identity]*node
		network []Message
		// leaders holds the leader seen in each term; newest is the last term
		// with a leader.
		leaders    map[uint64]Identity
		newestTerm uint64
		// applied is the common sequence of applied entries, from index 2 on.
		applied     []Entry
		lastCommand int
		// lossy is set while the network loses, duplicates and reorders messages.
		lossy bool
		// halfElections lets half of an even number of voters elect a leader, and halfLeaders
		// counts the terms in which it did.
		halfElections bool
		halfLeaders   map[uint64]bool
	}

	// node is one replica with its synced state and the writes that its disk has
	// not synced yet.
	node struct {
		replica *Replica
		disk    PersistentState
		pending []Write
		applied uint64
		down    bool
		// lost is set once the node has lost its disk, and never runs again.
		lost bool
		// partitioned is set while the node is partitioned from the network.
		partitioned bool
		// side is the side of a split network on which the node is.
		side int
	}
)

func newSimulation(t *rapid.T, seed uint64, voters int) *simulation {
	w := &simulation{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0),
		nodes: make(map[Identity]*node), leaders: make(map[uint64]Identity), lossy: true, halfLeaders: make(map[uint64]bool),
	}
	first := Member{Identity: Identity{ID: "a", Incarnation: 1}}
	saved := Bootstrap(first)
	for i := 1; i < voters; i++ {
		m := Member{Identity: Identity{ID: string(rune('a' + i)), Incarnation: 1}}
		saved.Snapshot.Members.Voters = append(saved.Snapshot.Members.Voters, m)
	}
	for _, m := range saved.Snapshot.Members.Voters {
		w.start(m.Identity, saved)
	}
	return w
}

func (w *simulation) start(id Identity, saved PersistentState) {
	cfg := Config{
		Group: "g", Self: id, HeartbeatInterval: testHeartbeat, ElectionTimeout: testElection,
		MaxAppendEntries: 4, MaxMessageBytes: 16, MaxInflightEntries: 16, Random: w.random,
	}
	saved.Entries = slices.Clone(saved.Entries)
	n := &node{replica: New(cfg, w.now, saved), disk: saved, applied: saved.Snapshot.Index}
	if w.halfElections {
		n.replica.PermitHalfElections()
	}
	if old := w.nodes[id]; old != nil {
		n.partitioned, n.side = old.partitioned, old.side
	}
	w.nodes[id] = n
}

func (w *simulation) ids() []Identity {
	var ids []Identity
	for id := range w.nodes {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b Identity) int {
		return 2*int(a.Incarnation) - 2*int(b.Incarnation) + sign(a.ID > b.ID)
	})
	return ids
}

func sign(b bool) int {
	if b {
		return 1
	}
	return -1
}

// collect processes the replica's output and checks that each term has one leader.
func (w *simulation) collect(id Identity) {
	n := w.nodes[id]
	if n.down {
		return
	}
	w.network = append(w.network, n.replica.TakeMessages()...)
	if write, ok := n.replica.TakeWrite(); ok {
		n.pending = append(n.pending, write)
	}
	c := n.replica.TakeCommitted()
	if c.Snapshot != nil {
		n.applied = c.Snapshot.Index
	}
	for _, e := range c.Entries {
		w.apply(id, n, e)
	}
	s := n.replica.Status()
	if s.Role != Leader {
		return
	}
	if old, ok := w.leaders[s.Term]; ok && old != id {
		w.t.Fatalf("term %d has leaders %v and %v", s.Term, old, id)
	}
	w.leaders[s.Term] = id
	if n.replica.electedByHalf {
		w.halfLeaders[s.Term] = true
	}
	w.newestTerm = max(w.newestTerm, s.Term)
}

// checkLeaderLeases checks that no replica holds a leader lease once a newer leader was
// elected.
func (w *simulation) checkLeaderLeases() {
	for id, n := range w.nodes {
		if term := n.replica.Status().Term; !n.down && term < w.newestTerm && n.replica.HasLeaderLease(w.now) {
			w.t.Fatalf("%v holds a leader lease in term %d, but term %d has a leader", id, term, w.newestTerm)
		}
	}
}

// apply checks that all replicas apply the same entries in the same order.
func (w *simulation) apply(id Identity, n *node, e Entry) {
	if e.Index != n.applied+1 {
		w.t.Fatalf("%v applies %d after %d", id, e.Index, n.applied)
	}
	n.applied = e.Index
	position := int(e.Index) - 2
	if position < len(w.applied) {
		want := w.applied[position]
		if want.Term != e.Term || string(want.Data) != string(e.Data) {
			w.t.Fatalf("%v applies %+v, others %+v", id, e, want)
		}
		return
	}
	w.applied = append(w.applied, e)
}

// sync completes the oldest write of a replica.
func (w *simulation) sync(id Identity) {
	n := w.nodes[id]
	if n.down || len(n.pending) == 0 {
		return
	}
	write := n.pending[0]
	n.pending = n.pending[1:]
	n.disk = persist(n.disk, write)
	n.replica.Synced(w.now, write.Sequence)
	w.collect(id)
}

func persist(d PersistentState, w Write) PersistentState {
	if w.HardState != nil {
		d.HardState = *w.HardState
	}
	if w.Snapshot != nil {
		d.Snapshot = *w.Snapshot
		d.Entries = slices.DeleteFunc(slices.Clone(d.Entries), func(e Entry) bool { return w.Reset || e.Index <= w.Snapshot.Index })
	}
	if len(w.Entries) > 0 {
		d.Entries = slices.DeleteFunc(slices.Clone(d.Entries), func(e Entry) bool { return e.Index >= w.Entries[0].Index })
		d.Entries = append(d.Entries, w.Entries...)
	}
	return d
}

// deliver delivers one message of the network. While the network is lossy, the
// message may be out of order, lost or duplicated.
func (w *simulation) deliver() {
	if len(w.network) == 0 {
		return
	}
	i := 0
	if w.lossy {
		i = w.random.IntN(min(len(w.network), 8))
	}
	m := w.network[i]
	fate := w.random.IntN(20)
	if !w.lossy || fate != 0 {
		w.network = slices.Delete(w.network, i, i+1)
	}
	if w.lossy && fate == 1 {
		return
	}
	from, to := w.nodes[m.From], w.nodes[m.To]
	if to == nil || to.down || to.partitioned || (from != nil && (from.partitioned || from.side != to.side)) {
		return
	}
	to.replica.Receive(w.now, m)
	w.collect(m.To)
}

func (w *simulation) tick(d time.Duration) {
	w.now = w.now.Add(d)
	for _, id := range w.ids() {
		if n := w.nodes[id]; !n.down {
			n.replica.Tick(w.now)
			w.collect(id)
		}
	}
}

func (w *simulation) leader() (Identity, *node) {
	var (
		leader Identity
		newest *node
	)
	for _, id := range w.ids() {
		n := w.nodes[id]
		s := n.replica.Status()
		if !n.down && s.Role == Leader && (newest == nil || s.Term > newest.replica.Status().Term) {
			leader, newest = id, n
		}
	}
	return leader, newest
}

// crash stops a replica and loses its writes that were not synced.
func (w *simulation) crash(id Identity) {
	n := w.nodes[id]
	n.down, n.pending = true, nil
}

func (w *simulation) restart(id Identity) {
	if n := w.nodes[id]; n.down && !n.lost {
		w.start(id, n.disk)
	}
}

// step performs one random action.
func (w *simulation) step() {
	ids := w.ids()
	id := ids[w.random.IntN(len(ids))]
	switch k := w.random.IntN(100); {
	case k < 50:
		w.deliver()
	case k < 75:
		w.sync(id)
	case k < 84:
		w.tick(time.Duration(w.random.IntN(40)) * time.Millisecond)
	case k < 91:
		w.propose()
	case k < 94:
		w.restart(id)
	case k < 97:
		w.changeMembers()
	case k < 98:
		w.compact(id)
	case k < 99:
		w.crash(id)
	default:
		w.nodes[id].partitioned = !w.nodes[id].partitioned && w.random.IntN(3) == 0
	}
}

func (w *simulation) propose() {
	id, n := w.leader()
	if n == nil {
		return
	}
	w.lastCommand++
	n.replica.Propose(w.now, fmt.Appendf(nil, "command %d", w.lastCommand))
	w.collect(id)
}

func (w *simulation) compact(id Identity) {
	if n := w.nodes[id]; !n.down {
		n.replica.Compact(n.applied, fmt.Appendf(nil, "state with a length above one chunk at %d", n.applied))
		w.collect(id)
	}
}

// changeMembers adds a learner, promotes the learners, removes a member or transfers
// the leadership, at random. A new learner stands for a replica that lost its
// disk: it has an existing id and a new incarnation.
func (w *simulation) changeMembers() {
	id, n := w.leader()
	if n == nil {
		return
	}
	members := n.replica.Status().Members
	all := members.All()
	other := all[w.random.IntN(len(all))].Identity
	switch w.random.IntN(6) {
	case 0, 1:
		if len(all) < 5 {
			fresh := Identity{ID: other.ID, Incarnation: uint64(len(w.nodes)) + 1}
			if n.replica.AddLearner(w.now, Member{Identity: fresh}) == nil {
				w.start(fresh, PersistentState{})
			}
		}
	case 2, 3:
		for _, l := range members.Learners {
			n.replica.Promote(w.now, l.Identity)
		}
	case 4:
		if len(members.Voters) > 2 {
			n.replica.Remove(w.now, other)
		}
	case 5:
		n.replica.TransferLeadership(w.now)
	}
	w.collect(id)
}

// heal ends all faults, and fails unless all members then apply the same log.
func (w *simulation) heal() {
	w.lossy = false
	for _, id := range w.ids() {
		w.restart(id)
		w.nodes[id].partitioned = false
	}
	for range 400 {
		w.propose()
		w.runUntilIdle()
		w.tick(testHeartbeat)
		w.runUntilIdle()
		if w.hasConverged() {
			return
		}
	}
	for _, id := range w.ids() {
		w.t.Logf("applied %d of %d: %+v", w.nodes[id].applied, len(w.applied)+1, w.nodes[id].replica.Status())
	}
	w.t.Fatalf("the members do not apply the same log after all faults ended")
}

// runUntilIdle syncs writes and delivers messages until no message is left.
func (w *simulation) runUntilIdle() {
	for range 2000 {
		for _, id := range w.ids() {
			w.sync(id)
		}
		if len(w.network) == 0 {
			return
		}
		w.deliver()
	}
}

// hasConverged reports whether there is a ready leader and all members have applied all
// entries.
func (w *simulation) hasConverged() bool {
	id, n := w.leader()
	if n == nil || !n.replica.Status().Ready || w.leaders[n.replica.Status().Term] != id {
		return false
	}
	for _, m := range n.replica.Status().Members.All() {
		if w.nodes[m.Identity].applied != uint64(len(w.applied))+1 {
			return false
		}
	}
	return true
}

// Under lost, duplicated, delayed and reordered messages, crashes and membership
// changes, each term has at most one leader, no committed entry is lost and all
// replicas apply the same entries. Once the faults end, the group recovers.
func TestGroupUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		w := newSimulation(t, seed, rapid.IntRange(1, 5).Draw(t, "voters"))
		for range rapid.IntRange(1000, 8000).Draw(t, "steps") {
			w.step()
			w.checkLeaderLeases()
		}
		w.heal()
		if len(w.applied) == 0 {
			t.Fatal("nothing was applied")
		}
	})
}
