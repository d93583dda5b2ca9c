package control

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/juju/clock"
	"github.com/juju/errors"

	"rosereach/core/backend"
	"rosereach/core/catalog"
	"rosereach/core/change"
	"rosereach/core/lease"
	"rosereach/core/replica"
	"rosereach/core/rollout"
	"rosereach/core/route"
	"rosereach/internal/httpd"
	"rosereach/io/member"
)

// seededGroup is a group of controls on loopback that find each other through seeds.
type seededGroup struct {
	t         *testing.T
	folder    string
	tolerant  int // voters that tolerate what has to be tolerated
	seeds     []string
	mu        sync.Mutex
	nodes     map[string]*Node
	stops     map[string]func()
	kills     map[string]func()
	addresses map[string]string
}

func newSeededGroup(t *testing.T) *seededGroup {
	g := &seededGroup{t: t, tolerant: 3, folder: t.TempDir(), nodes: map[string]*Node{}, stops: map[string]func(){}, kills: map[string]func(){}, addresses: map[string]string{}}
	t.Cleanup(func() {
		for id := range g.stops {
			g.stop(id)
		}
	})
	return g
}

// listen opens the listener of a control and, if seed is set, adds its address to
// the seeds.
// groupIP is where controls listen, again at their port after a stop. At 127.0.0.1 a connection of
// any other process may have taken it meanwhile.
const groupIP = "127.0.77.1"

func (g *seededGroup) listen(id string, seed bool) net.Listener {
	g.t.Helper()
	address := g.addresses[id]
	if address == "" {
		address = groupIP + ":0"
	}
	l, err := httpd.Listen(context.Background(), address)
	if err != nil {
		g.t.Fatal(err)
	}
	g.addresses[id] = l.Addr().String()
	if seed {
		g.mu.Lock()
		g.seeds = append(g.seeds, l.Addr().String())
		g.mu.Unlock()
	}
	return l
}

func (g *seededGroup) start(id string, l net.Listener, first bool) {
	g.t.Helper()
	n, err := Open(Config{
		ID: id, Folder: filepath.Join(g.folder, id), Address: l.Addr().String(), MemberKey: "key", Terms: lease.DefaultConfig(),
		Seeds: &Seeds{MayFound: first, MinVoters: g.tolerant, Addresses: func() []string {
			g.mu.Lock()
			defer g.mu.Unlock()
			return append([]string(nil), g.seeds...)
		}},
		MinVoters: g.tolerant, Clock: clock.WallClock, Logger: log.NewLogfmtLogger(log.NewSyncWriter(testWriter{t: g.t})),
	})
	if err != nil {
		g.t.Fatal(err)
	}
	var killed atomic.Bool
	save := n.save
	n.save = func(w replica.Write) error {
		if killed.Load() {
			return errors.New("killed")
		}
		return save(w)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{}, 2)
	go func() { n.Run(ctx); ended <- struct{}{} }() //nolint:errcheck // the test checks the group's state
	go func() {
		httpd.ServeWithTimeouts(ctx, l, n.Handler(), httpd.Timeouts{Shutdown: func() time.Duration { return 0 }})
		ended <- struct{}{}
	}() //nolint:errcheck // the test checks the group's state
	g.nodes[id] = n
	g.stops[id] = func() { cancel(); <-ended; <-ended }
	g.kills[id] = func() {
		killed.Store(true)
		n.writes <- replica.Write{}
		<-ended // a write that fails ends the node at once
		cancel()
		<-ended
		n.mu.Lock()
		defer n.mu.Unlock()
		for c := range n.watchers {
			c.Close() // the kernel does so for a process that has ended
		}
	}
}

// kill ends a control without a planned stop.
func (g *seededGroup) kill(id string) {
	g.kills[id]()
	delete(g.stops, id)
	delete(g.nodes, id)
}

func (g *seededGroup) stop(id string) {
	g.stops[id]()
	delete(g.stops, id)
	delete(g.nodes, id)
}

func (g *seededGroup) leader() *Node {
	for _, n := range g.nodes {
		if n != nil && n.IsLeader() {
			return n
		}
	}
	return nil
}

// waitForLeader waits until the condition holds at a leader, for waitTimeout of one
// leadership at most: a new leader counts the silence of a lost control anew. It fails if
// the leader changes more often than any load explains.
func (g *seededGroup) waitForLeader(what string, holds func(l *Node) bool) {
	g.t.Helper()
	var term uint64
	leaders := 0
	for deadline := time.Now().Add(waitTimeout); ; time.Sleep(5 * time.Millisecond) {
		l := g.leader()
		switch {
		case l != nil && holds(l):
			return
		case l != nil && l.Term() != term:
			term, deadline = l.Term(), time.Now().Add(waitTimeout)
			if leaders++; leaders > 10 {
				g.t.Fatalf("%d leaders while waiting for: %s", leaders, what)
			}
		case time.Now().After(deadline):
			g.t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

func (g *seededGroup) voters() int {
	if n := g.leader(); n != nil {
		return len(n.group().Members.Voters)
	}
	return 0
}

func (g *seededGroup) groups() map[string]bool {
	groups := make(map[string]bool)
	for _, n := range g.nodes {
		if name := n.store.Meta().Group; name != "" {
			groups[name] = true
		}
	}
	return groups
}

// putPlan sends a plan to a control, repeatedly, until it is acknowledged.
func (g *seededGroup) putPlan(id string, version uint64) {
	g.t.Helper()
	waitFor(g.t, fmt.Sprintf("an acknowledgement of version %d at %s", version, id), func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		r, err := g.nodes[id].PutRouting(ctx, testPlan(version), "test", "test")
		return err == nil && r.Status == change.Accepted
	})
}

func (g *seededGroup) readVersion(id string) uint64 {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	reply, err := g.nodes[id].Routing(ctx)
	if err != nil {
		return 0
	}
	return reply.Version
}

func testPlan(version uint64) route.Document {
	return route.Document{Text: []byte(fmt.Sprintf(`{"version":%d}`, version)), Config: route.Config{
		Version: version, Services: []route.Service{{Name: "s"}},
		Routes: []route.Route{{Name: "r", Host: "h", Prefix: "/", Kind: route.Safe, Targets: []route.Target{{Service: "s", Weight: 1}}, MaxAttempts: 1, Timeout: time.Second}},
	}}
}

func startFiveControls(t *testing.T) *seededGroup {
	t.Helper()
	g := newSeededGroup(t)
	listeners := map[string]net.Listener{}
	for i := range 5 {
		id := fmt.Sprint("c", i)
		listeners[id] = g.listen(id, i < 3)
	}
	for id, l := range listeners {
		g.start(id, l, true)
	}
	waitFor(t, "five voters", func() bool { return g.voters() == 5 })
	return g
}

// startThreeControls starts a group of three seeds, all of which vote.
func startThreeControls(t *testing.T) *seededGroup {
	t.Helper()
	g := newSeededGroup(t)
	listeners := map[string]net.Listener{}
	for i := range 3 {
		id := fmt.Sprint("c", i)
		listeners[id] = g.listen(id, true)
	}
	for id, l := range listeners {
		g.start(id, l, true)
	}
	g.waitForLeader("three voters", func(l *Node) bool { return len(l.group().Members.Voters) == 3 })
	return g
}

// Three seeds found a single group and the other controls join it. Every control
// returns the plan with the highest version, whatever order plans arrive in, and
// an invalid plan has no effect.
func TestSeedsFoundOneGroup(t *testing.T) {
	g := startFiveControls(t)
	if groups := g.groups(); len(groups) != 1 {
		t.Fatalf("groups %v", groups)
	}
	g.putPlan("c4", 7)
	g.putPlan("c0", 5) // lower: acknowledged, without effect
	g.putPlan("c3", 7) // equal
	for id := range g.nodes {
		waitFor(t, "version 7 at "+id, func() bool { return g.readVersion(id) == 7 })
	}
	invalid := testPlan(9)
	invalid.Config.Routes[0].Timeout = 0
	if r, err := g.nodes["c1"].PutRouting(context.Background(), invalid, "test", "test"); err != nil || r.Status != change.Refused {
		t.Fatalf("an invalid plan gets %+v, %v", r, err)
	}
	if got := g.readVersion("c1"); got != 7 {
		t.Fatalf("version %d after an invalid plan", got)
	}
}

// A control that lost its disk returns as a new replica, and an empty control at
// another address replaces one that is gone for good. No acknowledged plan is
// lost, and no second group is founded.
func TestLostControlsAreReplaced(t *testing.T) {
	g := startFiveControls(t)
	g.putPlan("c0", 1)
	old := g.nodes["c1"].self
	g.stop("c1")
	g.folder += "-wiped"
	g.start("c1", g.listen("c1", false), false)
	g.waitForLeader("the wiped control as another voter", func(l *Node) bool {
		return l.group().Members.IsVoter(g.nodes["c1"].self) && !l.group().Members.IsMember(old)
	})
	g.putPlan("c1", 2)

	gone := g.nodes["c2"].self
	g.stop("c2")
	g.start("c9", g.listen("c9", false), false)
	g.waitForLeader("the new control as a voter in place of the lost one", func(l *Node) bool {
		return l.group().Members.IsVoter(g.nodes["c9"].self) && !l.group().Members.IsMember(gone)
	})
	g.putPlan("c9", 3)
	if groups := g.groups(); len(groups) != 1 {
		t.Fatalf("groups %v", groups)
	}
	waitFor(t, "version 3 at the new control", func() bool { return g.readVersion("c9") == 3 })
}

// Guards against a group that ends for good when a disk is lost right after a planned
// replacement: the control that stops must have handed its vote to its successor by the
// time it has stopped.
func TestStoppedControlHandsOverItsVote(t *testing.T) {
	g := startThreeControls(t)
	g.start("c9", g.listen("c9", false), false)
	successor, stopped := g.nodes["c9"].self, ""
	g.waitForLeader("the successor as a learner with the log", func(l *Node) bool {
		stopped = l.cfg.ID
		return l.group().Members.IsMember(successor) && g.nodes["c9"].group().Applied >= l.group().Commit
	})
	old := g.nodes[stopped].self
	g.stop(stopped)
	var members replica.Membership
	g.waitForLeader("another leader", func(l *Node) bool {
		members = l.group().Members
		return true
	})
	if members.IsVoter(old) || !members.IsVoter(successor) || len(members.Voters) != 3 {
		t.Fatalf("%s has stopped, and the voters are %+v", stopped, members.Voters)
	}
	g.putPlan("c9", 1)
	lost := "c1"
	if stopped == lost {
		lost = "c2"
	}
	g.stop(lost)
	g.folder += "-wiped"
	g.start(lost, g.listen(lost, false), false)
	g.putPlan("c9", 2)
	waitFor(t, "the plan at the control that lost its disk", func() bool { return g.readVersion(lost) == 2 })
}

// A control that no majority answers refuses a read rather than return a plan
// that may be stale.
func TestReadNeedsMajority(t *testing.T) {
	g := startFiveControls(t)
	g.putPlan("c0", 4)
	left := g.leader()
	for id, n := range g.nodes {
		if n != left && len(g.nodes) > 2 {
			g.stop(id)
		}
	}
	for id := range g.nodes {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		if reply, err := g.nodes[id].Routing(ctx); err == nil {
			t.Errorf("%s answers version %d without a majority", id, reply.Version)
		}
		cancel()
	}
}

// An announcement that a backend server makes to one control reaches the others,
// and so does its withdrawal.
func TestAnnouncementsSpread(t *testing.T) {
	g := startFiveControls(t)
	a := backend.Announcement{ID: "b", Incarnation: 3, Sequence: 1, Service: "s", Address: "127.0.0.1:1", Capacity: 1, State: backend.Serving}
	g.nodes["c0"].Announce(a)
	serving := func(n *Node) int {
		n.mu.Lock()
		defer n.mu.Unlock()
		return len(n.fleet.roster.Serving("s"))
	}
	for id, n := range g.nodes {
		waitFor(t, "the server at "+id, func() bool { return serving(n) == 1 })
	}
	g.nodes["c3"].Withdraw("b", 3)
	for id, n := range g.nodes {
		waitFor(t, "the server's withdrawal at "+id, func() bool { return serving(n) == 0 })
	}
}

// A roll-out survives the loss of the leader and continues under the next one.
func TestRolloutOutlivesItsLeader(t *testing.T) {
	g := startFiveControls(t)
	g.putPlan("c0", 1)
	o := rollout.Order{Service: "s", Target: "v2", Duration: 4 * time.Second}
	if r, err := g.nodes["c0"].StartRollout(context.Background(), o, "test", "test"); err != nil || r.Status != change.Accepted {
		t.Fatalf("%+v, %v", r, err)
	}
	var lost string
	for id, n := range g.nodes {
		if n.IsLeader() {
			lost = id
		}
	}
	g.stop(lost)
	waitFor(t, "the canary under another leader", func() bool {
		l := g.leader()
		if l == nil {
			return false
		}
		found, _ := l.Catalog().Rollout("s")
		return found.Stage == rollout.StageCanary || found.IsFinal()
	})
	waitFor(t, "the end of the roll-out of an idle service", func() bool {
		l := g.leader()
		if l == nil {
			return false
		}
		found, _ := l.Catalog().Rollout("s")
		return found.Stage == rollout.StageCompleted
	})
}

// All versions of the routing plan are the same document.
func TestRoutingHasOneName(t *testing.T) {
	c := change.Change{Kind: change.PutRouting, Name: catalog.RoutingName}
	if c.Subject() != "routing/plan" {
		t.Fatal(c.Subject())
	}
}

// testWriter writes the controls' logs to the test's log, which is shown when the
// test fails.
type testWriter struct{ t *testing.T }

func (w testWriter) Write(p []byte) (int, error) {
	w.t.Log(strings.TrimSpace(string(p)))
	return len(p), nil
}

// A plan counts as in force only once every entry whose presence is received
// applies it, including entries that serve without a lease.
func TestInForceWaitsForEntriesWithoutLease(t *testing.T) {
	g := startFiveControls(t)
	g.putPlan("c0", 1)
	l := g.leader()
	revision := l.Catalog().Revision()
	entry := member.Presence{ID: "entry-1", Incarnation: 1, Sequence: 1, Address: "127.0.0.1:1", AppliedRevision: revision - 1}
	for _, n := range g.nodes {
		n.mu.Lock()
		n.mergePresence(n.cfg.Clock.Now().Add(time.Hour), entry, true) // in the future, so that it doesn't expire during the test
		n.mu.Unlock()
	}
	inForce := func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.isInForce(l.cfg.Clock.Now(), revision)
	}
	if inForce() {
		t.Fatal("in force although an entry applies an older plan")
	}
	entry.Sequence, entry.AppliedRevision = 2, revision
	if err := l.receivePresence(entry); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the plan in force", inForce)
}

// Two operators concurrently send different plans with the same version, for
// several versions; then many versions, older ones among them, arrive at all
// controls in a burst. Each plan is acknowledged, and all controls end with the
// same newest plan.
func TestPlansRaceAndStorm(t *testing.T) {
	g := startFiveControls(t)
	ids := []string{"c0", "c1", "c2", "c3", "c4"}
	send := func(id string, d route.Document) {
		waitFor(t, fmt.Sprintf("an acknowledgement of %s at %s", d.Text, id), func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			r, err := g.nodes[id].PutRouting(ctx, d, "test", "test")
			return err == nil && r.Status == change.Accepted
		})
	}
	for version := uint64(1); version <= 5; version++ {
		var both sync.WaitGroup
		for i, id := range []string{"c1", "c3"} {
			d := testPlan(version)
			d.Text = []byte(fmt.Sprintf("version %d of operator %d", version, i))
			both.Go(func() { send(id, d) })
		}
		both.Wait()
	}
	texts := make(map[string]bool)
	for _, id := range ids {
		waitFor(t, "the plan of version 5 at "+id, func() bool { return g.readVersion(id) == 5 })
		reply, err := g.nodes[id].Routing(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		texts[string(reply.Text)] = true
	}
	if len(texts) != 1 {
		t.Fatalf("the controls hold %v under one version", texts)
	}
	var burst sync.WaitGroup
	for i := range uint64(30) {
		burst.Go(func() { send(ids[i%5], testPlan(6+(i*7)%30)) })
	}
	burst.Wait()
	for _, id := range ids {
		waitFor(t, "the highest version at "+id, func() bool { return g.readVersion(id) == 35 })
	}
}

// A plan with hundreds of routes is returned byte for byte as it was sent.
func TestLargePlanIsReadBack(t *testing.T) {
	g := startFiveControls(t)
	d := testPlan(1)
	for i := range 400 {
		r := d.Config.Routes[0]
		r.Name, r.Prefix = fmt.Sprint("r", i), fmt.Sprintf("/n%d/", i)
		d.Config.Routes = append(d.Config.Routes, r)
		d.Text = fmt.Appendf(d.Text, "route %d;", i)
	}
	if r, err := g.nodes["c4"].PutRouting(context.Background(), d, "test", "test"); err != nil || r.Status != change.Accepted {
		t.Fatalf("%+v, %v", r, err)
	}
	// A read during an election has no answer, and operators ask again.
	var reply member.RoutingReply
	waitFor(t, "a confirmed read", func() (confirmed bool) {
		var err error
		reply, err = g.nodes["c2"].Routing(context.Background())
		return err == nil
	})
	if string(reply.Text) != string(d.Text) {
		t.Fatalf("%d of %d bytes", len(reply.Text), len(d.Text))
	}
}
