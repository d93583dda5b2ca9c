package replica

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// newLossySimulation returns a simulation of a group in which disks are lost.
func newLossySimulation(t *rapid.T, seed uint64, voters int) *simulation {
	w := newSimulation(t, seed, voters)
	w.halfElections = true
	for _, n := range w.nodes {
		n.replica.PermitHalfElections()
	}
	return w
}

// stepWithLosses performs one random action, which may be the loss of a disk or a report of
// one. A part of the messages is held back for long, as those of replicas that lose their
// disks meanwhile.
func (w *simulation) stepWithLosses() {
	switch k := w.random.IntN(1000); {
	case k < 4:
		w.loseDisk()
	case k < 40:
		w.reportLostDisk()
	case k < 60:
		w.replaceLost()
	case k < 70:
		w.promote()
	case k < 74:
		w.isolate()
	case k < 78:
		w.split()
	case k < 120:
		w.tick(time.Duration(w.random.IntN(200)) * time.Millisecond)
	case k < 140:
		w.deliverLate()
	default:
		w.step()
	}
}

// loseDisk ends a random voter for good, unless half of them are lost already.
func (w *simulation) loseDisk() {
	_, leader := w.leader()
	if leader == nil {
		return
	}
	voters := leader.replica.Status().Members.Voters
	lost := 0
	for _, v := range voters {
		if w.nodes[v.Identity].lost {
			lost++
		}
	}
	if id := voters[w.random.IntN(len(voters))].Identity; lost+1 < (len(voters)+1)/2 {
		w.crash(id)
		w.nodes[id].lost = true
	}
}

func (w *simulation) lostIDs() []Identity {
	return slices.DeleteFunc(w.ids(), func(id Identity) bool { return !w.nodes[id].lost })
}

// reportLostDisk tells a random replica of a lost disk.
func (w *simulation) reportLostDisk() {
	lost := w.lostIDs()
	ids := w.ids()
	if n := w.nodes[ids[w.random.IntN(len(ids))]]; len(lost) > 0 && !n.down {
		n.replica.ReportLostDisk(lost[w.random.IntN(len(lost))])
	}
}

// replaceLost adds the next incarnation of a lost member as a learner, or removes the former
// one.
func (w *simulation) replaceLost() {
	id, n := w.leader()
	if n == nil {
		return
	}
	members := n.replica.Status().Members
	for _, m := range members.Voters {
		if !w.nodes[m.Identity].lost {
			continue
		}
		fresh := Identity{ID: m.ID, Incarnation: uint64(len(w.nodes)) + 1}
		switch {
		case len(members.Learners) > 0:
			n.replica.Remove(w.now, m.Identity) //nolint:errcheck // a later step tries again
		case n.replica.AddLearner(w.now, Member{Identity: fresh}) == nil:
			w.start(fresh, PersistentState{})
		}
		break
	}
	w.collect(id)
}

// promote makes the learners voters, and adds one to an odd number of voters.
func (w *simulation) promote() {
	id, n := w.leader()
	if n == nil {
		return
	}
	members := n.replica.Status().Members
	for _, l := range members.Learners {
		n.replica.Promote(w.now, l.Identity) //nolint:errcheck // a later step tries again
	}
	if len(members.Learners) == 0 && len(members.Voters)%2 == 1 && len(members.Voters) < 6 {
		fresh := Identity{ID: "s", Incarnation: uint64(len(w.nodes)) + 1}
		if n.replica.AddLearner(w.now, Member{Identity: fresh}) == nil {
			w.start(fresh, PersistentState{})
		}
	}
	w.collect(id)
}

// isolate cuts off one random replica, and connects all others.
func (w *simulation) isolate() {
	ids := w.ids()
	chosen := ids[w.random.IntN(len(ids))]
	for _, id := range ids {
		w.nodes[id].partitioned = id == chosen
	}
}

// split splits the network in two, or joins it again.
func (w *simulation) split() {
	joins := w.random.IntN(3) == 0
	for _, id := range w.ids() {
		w.nodes[id].side = 0
		if !joins {
			w.nodes[id].side = w.random.IntN(2)
		}
	}
}

// deliverLate moves a random message to where it is delivered next.
func (w *simulation) deliverLate() {
	if n := len(w.network); n > 0 {
		i := w.random.IntN(n)
		w.network[0], w.network[i] = w.network[i], w.network[0]
		w.deliver()
	}
}

// Beside lost disks, of which replicas learn at any time and in any order, membership changes,
// crashes and cuts, each term has at most one leader, no committed entry is lost, and no
// leader holds its lease beside a newer one.
func TestGroupUnderLostDisks(t *testing.T) {
	half, terms := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		w := newLossySimulation(t, seed, rapid.IntRange(2, 6).Draw(t, "voters"))
		for range rapid.IntRange(4000, 12000).Draw(t, "steps") {
			w.stepWithLosses()
			w.checkLeaderLeases()
		}
		half += len(w.halfLeaders)
		terms += len(w.leaders)
	})
	t.Logf("half of the voters elected the leaders of %d of %d terms", half, terms)
	if half == 0 && !t.Failed() {
		t.Error("no leader was elected by half of the voters")
	}
}
