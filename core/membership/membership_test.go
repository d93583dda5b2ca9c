package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"rosereach/core/replica"
)

const (
	tick     = 20 * time.Millisecond
	upkeep   = 200 * time.Millisecond
	rejoin   = 2100 * time.Millisecond
	catchUp  = 4 * time.Second
	election = 700 * time.Millisecond
	stopTime = LeaveTimeout + 2*election
)

type (
	// group simulates the controls of a group with disks that sync and a network that
	// delivers at once.
	group struct {
		t        *testing.T
		now      time.Time
		tolerate int
		controls map[string]*control
		random   *rand.Rand
		leaders  map[uint64]replica.Identity
		lastDisk uint64
		// acknowledged is the number of commands that were committed, which all replicas
		// with a vote for a leader have to hold.
		acknowledged uint64
		// older is set for a group with members that do not know elections by half of the
		// voters.
		older bool
	}

	// control is one simulated control.
	control struct {
		id          replica.Identity
		replica     *replica.Replica
		disk        replica.PersistentState
		manager     *Manager
		term        uint64
		up          bool
		lastContact time.Time
		nextUpkeep  time.Time
		ledSince    time.Time
		commands    uint64
		// stopping is set from the planned stop on, and stopBy is when it is over.
		stopping, left bool
		stopBy         time.Time
	}
)

func newGroup(t *testing.T, voters int) *group { return newGroupOf(t, voters, false) }

// newGroupOf returns a group, with members that do not know elections by half of the voters if
// older is set.
func newGroupOf(t *testing.T, voters int, older bool) *group {
	g := &group{
		older: older,
		t:     t, now: time.Unix(1000, 0), tolerate: (voters - 1) / 2, controls: make(map[string]*control),
		random: rand.New(rand.NewPCG(uint64(voters), 43)), leaders: make(map[uint64]replica.Identity),
	}
	first := g.start("c1")
	first.disk = replica.Bootstrap(replica.Member{Identity: first.id})
	first.boot(g)
	for i := 2; i <= voters; i++ {
		g.start(fmt.Sprint("c", i))
	}
	g.run(FormAfter + election)
	if got := len(g.leader().replica.Status().Members.Voters); got != voters {
		t.Fatalf("the group formed with %d voters of %d", got, voters)
	}
	return g
}

// start starts a control with an empty disk.
func (g *group) start(name string) *control {
	g.lastDisk++
	c := &control{id: replica.Identity{ID: name, Incarnation: g.lastDisk}}
	g.controls[name] = c
	c.boot(g)
	return c
}

// boot starts the control's process on its disk.
func (c *control) boot(g *group) {
	cfg := replica.Config{
		Group: "g", Self: c.id, HeartbeatInterval: 100 * time.Millisecond, ElectionTimeout: election,
		MaxAppendEntries: 64, MaxMessageBytes: 1 << 16, MaxInflightEntries: 1024, Random: g.random,
	}
	c.disk.Entries = slices.Clone(c.disk.Entries)
	c.replica = replica.New(cfg, g.now, c.disk)
	if !g.older {
		c.replica.PermitHalfElections()
	}
	c.up, c.stopping, c.left, c.term, c.lastContact, c.commands = true, false, false, 0, g.now, 0
}

// kill stops the control at once, and loseDisk also empties its disk.
func (g *group) kill(name string) { g.controls[name].up = false }

func (g *group) loseDisk(name string) {
	g.kill(name)
	g.controls[name].disk = replica.PersistentState{}
}

// terminate begins a planned stop of the control.
func (g *group) terminate(name string) {
	c := g.controls[name]
	c.stopping, c.stopBy = true, g.now.Add(stopTime)
	c.replica.TransferLeadership(g.now)
}

// leader returns the leader of the newest term that is ready, nil without one.
func (g *group) leader() *control {
	var leader *control
	for _, name := range g.names() {
		c := g.controls[name]
		if s := c.replica.Status(); c.up && s.Ready && c.replica.HasLeaderLease(g.now) && (leader == nil || s.Term > leader.replica.Status().Term) {
			leader = c
		}
	}
	return leader
}

func (g *group) names() []string {
	var names []string
	for name := range g.controls {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (g *group) run(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end); {
		g.now = g.now.Add(tick)
		for _, name := range g.names() {
			if c := g.controls[name]; c.up {
				c.replica.Tick(g.now)
				g.maintain(c)
			}
		}
		g.exchange()
	}
}

// maintain does what a control does beside its replica: it joins, keeps up the
// membership as a leader, and stops.
func (g *group) maintain(c *control) {
	leader := g.leader()
	switch s := c.replica.Status(); {
	case c.replica.HasLeader(g.now):
		c.lastContact = g.now
	case leader != nil && !c.stopping && (s.LastIndex == 0 || g.now.Sub(c.lastContact) > rejoin):
		leader.replica.AddLearner(g.now, replica.Member{Identity: c.id}) //nolint:errcheck // the next attempt retries
	}
	switch s := c.replica.Status(); {
	case s.Role != replica.Leader:
		c.manager = nil
	case c.manager == nil || c.term != s.Term:
		c.term, c.ledSince = s.Term, g.now
		c.manager = NewManager(Config{MinVoters: 2*g.tolerate + 1, Tolerant: 2*g.tolerate + 1, VotingSpare: !g.older}, g.now, c.id.ID == "c1" && len(g.leaders) == 1)
	case s.Ready && !g.now.Before(c.nextUpkeep):
		c.nextUpkeep = g.now.Add(upkeep)
		c.manager.Update(g.now, c.replica) //nolint:errcheck // the next upkeep retries
	}
	if !c.stopping {
		return
	}
	if c.manager != nil && g.now.Sub(c.ledSince) >= 200*time.Millisecond {
		c.replica.TransferLeadership(g.now, c.manager.Leaving()...)
	}
	if leader != nil && leader != c && leader.manager != nil && !c.left {
		c.left = !leader.manager.Leave(g.now, leader.replica, c.id) && !leader.replica.HasPendingMembers()
	}
	if c.left || g.now.After(c.stopBy) {
		c.up = false
	}
}

// exchange syncs and delivers until nothing is left to do, and checks that no term has
// two leaders.
func (g *group) exchange() {
	for busy := true; busy; {
		busy = false
		for _, name := range g.names() {
			c := g.controls[name]
			if !c.up {
				continue
			}
			if s := c.replica.Status(); s.Role == replica.Leader {
				if old, ok := g.leaders[s.Term]; ok && old != c.id {
					g.t.Fatalf("term %d has the leaders %v and %v", s.Term, old, c.id)
				}
				g.leaders[s.Term] = c.id
			}
			g.reportLostDisks(c)
			if w, ok := c.replica.TakeWrite(); ok {
				busy = true
				c.save(w)
				c.replica.Synced(g.now, w.Sequence)
			}
			for _, e := range c.replica.TakeCommitted().Entries {
				if e.Kind == replica.Command {
					c.commands++
				}
			}
			for _, m := range c.replica.TakeMessages() {
				busy = true
				if to := g.byIdentity(m.To); to != nil {
					to.replica.Receive(g.now, m)
				}
			}
		}
	}
}

// reportLostDisks tells a control which members it reaches under another incarnation.
func (g *group) reportLostDisks(c *control) {
	for _, m := range c.replica.Peers() {
		if at := g.controls[m.ID]; at != nil && at.up && at.id != m.Identity {
			c.replica.ReportLostDisk(m.Identity)
		}
	}
}

func (c *control) save(w replica.Write) {
	if w.HardState != nil {
		c.disk.HardState = *w.HardState
	}
	c.disk.Commit = w.Commit
	if w.Snapshot != nil {
		c.disk.Snapshot, c.disk.Entries = *w.Snapshot, nil
	}
	if len(w.Entries) > 0 {
		c.disk.Entries = slices.DeleteFunc(slices.Clone(c.disk.Entries), func(e replica.Entry) bool { return e.Index >= w.Entries[0].Index })
		c.disk.Entries = append(c.disk.Entries, w.Entries...)
	}
}

func (g *group) byIdentity(id replica.Identity) *control {
	if c := g.controls[id.ID]; c != nil && c.up && c.id == id {
		return c
	}
	return nil
}

// acknowledge commits one command, which fails the test if no majority answers in the time.
func (g *group) acknowledge(what string) {
	g.t.Helper()
	for end := g.now.Add(12 * time.Second); g.now.Before(end); {
		l := g.leader()
		if l == nil {
			g.run(tick)
			continue
		}
		if _, _, err := l.replica.Propose(g.now, []byte("c")); err != nil {
			g.run(tick)
			continue
		}
		g.acknowledged++
		for ; g.now.Before(end); g.run(tick) {
			if g.leader() == l && l.commands >= g.acknowledged {
				return
			}
		}
	}
	g.t.Fatalf("%s: no change is acknowledged within 12 s", what)
}

// running returns the controls that count as running, which are those that neither stopped
// nor are gone.
func (g *group) running() []string {
	return slices.DeleteFunc(g.names(), func(name string) bool { return !g.controls[name].up || g.controls[name].stopping })
}

// checkTolerance checks that the voters that run are a majority without as many of them
// as the group tolerates.
func (g *group) checkTolerance(what string) {
	g.t.Helper()
	l := g.leader()
	if l == nil {
		g.t.Fatalf("%s: no leader", what)
	}
	members, running := l.replica.Status().Members, 0
	for _, name := range g.running() {
		if members.IsVoter(g.controls[name].id) {
			running++
		}
	}
	if running-g.tolerate < members.Quorum() {
		g.t.Fatalf("%s: %d of %d voters run, which do not tolerate the loss of %d", what, running, len(members.Voters), g.tolerate)
	}
}

// The members' changes that precede the lost disks.
var scenarios = []struct {
	name string
	play func(g *group)
}{
	{"nothing", func(*group) {}},
	{"successor first", func(g *group) {
		g.start("s1")
		g.run(catchUp)
		g.terminate("c1")
		g.run(stopTime)
	}},
	{"successor first, the leader leaves", func(g *group) {
		g.start("s1")
		g.run(catchUp)
		g.terminate(g.leader().id.ID)
		g.run(stopTime)
	}},
	{"successor first, a second before", func(g *group) {
		g.start("s1")
		g.run(time.Second)
		g.terminate("c2")
		g.run(catchUp)
	}},
	{"successor last", func(g *group) {
		g.terminate("c2")
		g.run(time.Second)
		g.start("s1")
		g.run(catchUp)
	}},
	{"successor after a kill", func(g *group) {
		g.kill("c2")
		g.controls["c2"].stopping = true
		g.run(2 * time.Second)
		g.start("s1")
		g.run(catchUp)
	}},
	{"two replacements overlap", func(g *group) {
		g.start("s1")
		g.start("s2")
		g.run(catchUp)
		g.terminate("c1")
		g.run(500 * time.Millisecond)
		g.terminate("c2")
		g.run(stopTime)
	}},
	{"two replacements at the same moment", func(g *group) {
		g.start("s1")
		g.start("s2")
		g.run(catchUp)
		g.terminate("c1")
		g.terminate("c2")
		g.run(stopTime)
	}},
	{"all seeds replaced in turn", func(g *group) {
		for i := 1; i <= 3; i++ {
			g.start(fmt.Sprint("s", i))
			g.run(catchUp)
			g.terminate(fmt.Sprint("c", i))
			g.run(stopTime)
		}
	}},
	{"a control restarts", func(g *group) {
		g.terminate("c2")
		g.run(stopTime)
		if !g.leader().replica.Status().Members.IsVoter(g.controls["c2"].id) {
			g.t.Fatal("a control without a successor loses its vote when it stops")
		}
		g.controls["c2"].boot(g)
		g.run(catchUp)
	}},
	{"the replaced control comes back", func(g *group) {
		g.start("s1")
		g.run(catchUp)
		g.terminate("c2")
		g.run(stopTime)
		g.controls["c2"].boot(g)
		g.run(catchUp)
	}},
	{"a spare stops for good", func(g *group) {
		g.start("s1")
		g.run(catchUp)
		g.kill("s1")
		g.controls["s1"].stopping = true
		g.run(catchUp)
		g.terminate("c2")
		g.run(stopTime)
		g.controls["c2"].boot(g)
		g.run(catchUp)
	}},
	{"a spare for long", func(g *group) {
		g.start("s1")
		g.run(GrowAfter + RemoveAfter)
		g.terminate("c3")
		g.run(stopTime)
	}},
}

// Guards against a group that ends for good after a planned replacement: a successor that
// votes beside the control that has gone needs one answer more than the others can give
// once they lose the disks that they have to tolerate.
func TestLostDisksAfterReplacementAreTolerated(t *testing.T) {
	for _, voters := range []int{3, 5, 7} {
		for _, s := range scenarios {
			for wait := time.Duration(0); wait <= 6*time.Second; wait += time.Second {
				forEachBuild(t, fmt.Sprintf("%d/%s/%v", voters, s.name, wait), func(t *testing.T, older bool) {
					g := newGroupOf(t, voters, older)
					g.acknowledge("before")
					s.play(g)
					g.run(wait)
					g.checkTolerance("after the changes")
					g.acknowledge("after the changes")
					lost := g.running()[:g.tolerate]
					for _, name := range lost {
						g.loseDisk(name)
					}
					g.run(1400 * time.Millisecond)
					for _, name := range lost {
						g.start(name)
					}
					g.acknowledge("after the lost disks")
					g.run(catchUp + rejoin)
					g.checkTolerance("after the lost disks are back")
				})
			}
		}
	}
}

// Guards against the loss of acknowledged changes when the disks are lost first and a
// replacement follows, which meets the new incarnations as learners.
func TestReplacementAfterLostDisksIsTolerated(t *testing.T) {
	for _, voters := range []int{3, 5, 7} {
		for _, s := range scenarios {
			forEachBuild(t, fmt.Sprintf("%d/%s", voters, s.name), func(t *testing.T, older bool) {
				g := newGroupOf(t, voters, older)
				g.acknowledge("before")
				lost := g.running()[len(g.controls)-g.tolerate:]
				for _, name := range lost {
					g.loseDisk(name)
				}
				g.run(1400 * time.Millisecond)
				for _, name := range lost {
					g.start(name)
				}
				g.run(catchUp)
				s.play(g)
				g.checkTolerance("after the changes")
				g.acknowledge("after the changes")
			})
		}
	}
}

// forEachBuild plays a course in a group with elections by half of the voters, and in one with
// members that do not know them.
func forEachBuild(t *testing.T, name string, play func(t *testing.T, older bool)) {
	t.Helper()
	t.Run(name, func(t *testing.T) { play(t, false) })
	t.Run(name+"/older", func(t *testing.T) { play(t, true) })
}

// Guards against the same end of a group when the replaced control is killed, not stopped, and
// disks are lost before its silence shows that it has gone.
func TestLostDisksAfterKillBesideSuccessorAreTolerated(t *testing.T) {
	for _, voters := range []int{3, 5, 7} {
		for wait := time.Duration(0); wait <= 6*time.Second; wait += time.Second {
			t.Run(fmt.Sprintf("%d/%v", voters, wait), func(t *testing.T) {
				g := newGroup(t, voters)
				g.start("s1")
				g.run(catchUp)
				g.kill("c2")
				g.controls["c2"].stopping = true
				g.run(wait)
				lost := g.running()[:g.tolerate]
				for _, name := range lost {
					g.loseDisk(name)
				}
				g.run(1400 * time.Millisecond)
				for _, name := range lost {
					g.start(name)
				}
				g.acknowledge("after the lost disks")
			})
		}
	}
}

// Guards against the same end at the moments between: while the spare is promoted, while the
// silent voter is removed, and with lost disks that come back at once and join as learners
// before the leader has noticed.
func TestLostDisksAtAnyMomentAfterKillAreTolerated(t *testing.T) {
	for _, voters := range []int{3, 5} {
		for _, killsLeader := range []bool{false, true} {
			for _, losesSpare := range []bool{false, true} {
				for _, back := range []time.Duration{tick, 1400 * time.Millisecond} {
					for wait := time.Duration(0); wait <= 4*time.Second; wait += 7 * tick {
						t.Run(fmt.Sprintf("%d/leader %v/spare %v/back %v/%v", voters, killsLeader, losesSpare, back, wait), func(t *testing.T) {
							g := newGroup(t, voters)
							g.acknowledge("before")
							g.start("s1")
							g.run(catchUp)
							killed := "c2"
							if killsLeader {
								killed = g.leader().id.ID
							}
							g.kill(killed)
							g.controls[killed].stopping = true
							g.run(wait)
							running := g.running()
							lost := running[:g.tolerate]
							if losesSpare {
								lost = running[len(running)-g.tolerate:]
							}
							for _, name := range lost {
								g.loseDisk(name)
							}
							g.run(back)
							for _, name := range lost {
								g.start(name)
							}
							g.run(2 * election) // a leader without a majority steps down, and what it was sent is lost
							g.acknowledge("after the lost disks")
							g.run(catchUp + rejoin)
							g.checkTolerance("after the lost disks are back")
						})
					}
				}
			}
		}
	}
}
