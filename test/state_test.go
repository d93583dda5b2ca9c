package test

import (
	"context"
	"crypto/rand"
	"fmt"
	mathrand "math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"rosereach/core/change"
	"rosereach/core/lease"
	"rosereach/core/request"
	"rosereach/core/version"
	"rosereach/io/caller"
	"rosereach/io/member"
	"rosereach/io/operator"
)

// defaultPartitionTime is the default length of a partition, longer than all leases and
// elections together.
const defaultPartitionTime = 8 * time.Second

func partitionTime(t *testing.T) time.Duration {
	text := os.Getenv("ROSEREACH_TEST_CUT")
	if text == "" {
		return defaultPartitionTime
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// The leader is partitioned silently while changes are made. It must grant no lease
// once its leadership has expired, the majority's changes come into force, and no
// control's revision decreases, also after the partition has healed.
func TestLeaderCutOff(t *testing.T) {
	g := startGroup(t, 3, 3)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	leader := g.awaitLeader()
	others := otherIndices(leader, 3)
	watched := g.watchRevisions(ctx)
	if a, ok := g.submit(ctx, templateChange("cut-0", "t", "0", nil), true, leader); !ok || !a.InForce {
		t.Fatalf("first change: %+v", a)
	}
	g.setPartition(leader, true)
	cutAt := time.Now()
	go g.changeAtPartitioned(ctx, leader)
	accepted := []string{"cut-0"}
	for i := 1; time.Since(cutAt) < partitionTime(t) || i < 5; i++ {
		id := fmt.Sprintf("cut-%d", i)
		a, ok := g.submit(ctx, templateChange(id, "t", fmt.Sprint(i), nil), true, others...)
		if !ok || a.Status != change.Accepted || !a.InForce {
			t.Fatalf("change %s: %+v", id, a)
		}
		accepted = append(accepted, id)
	}
	if grants := g.countGrants(leader); grants > 0 {
		t.Errorf("the partitioned leader granted %d leases after its leadership expired", grants)
	}
	g.setPartition(leader, false)
	g.awaitLeader()
	if a, ok := g.submit(ctx, templateChange("cut-last", "t", "last", nil), true, leader); !ok || !a.InForce {
		t.Fatalf("last change: %+v", a)
	}
	accepted = append(accepted, "cut-last")
	for i := range g.replicas {
		waitFor(t, "the last change everywhere", func() bool { return slices.Contains(g.changesOf(i, "cut-"), "cut-last") })
		if diff := cmp.Diff(accepted, g.changesOf(i, "cut-")); diff != "" {
			t.Errorf("changes of %s: %s", g.replicas[i].id, diff)
		}
	}
	cancel()
	if decrease := <-watched; decrease != "" {
		t.Error(decrease)
	}
}

// changeAtPartitioned sends a change to the partitioned control, which must not accept it.
func (g *group) changeAtPartitioned(ctx context.Context, i int) {
	ctx, cancel := context.WithTimeout(ctx, defaultPartitionTime/2)
	defer cancel()
	a, err := g.operatorAt(i).Change(ctx, templateChange("overtake", "t", "x", nil), false)
	if err == nil && a.Status == change.Accepted {
		g.t.Errorf("the partitioned leader accepted a change: %+v", a)
	}
}

// discardNotices discards the notices of a control.
type discardNotices struct{}

func (discardNotices) Handle(context.Context, *member.Conn, member.Kind, cbor.RawMessage) (any, error) {
	return nil, nil
}

// countGrants requests leases from a control for a second, without a proxy, and returns
// how many it granted.
func (g *group) countGrants(i int) int {
	g.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	conn, err := member.Dial(ctx, g.replicas[i].address, g.memberKey, member.Peer{ID: "entry-9"}, discardNotices{})
	if err != nil {
		g.t.Fatal(err)
	}
	granted := 0
	for range 20 {
		var grant lease.Grant
		err := conn.Call(ctx, member.KindLease, lease.Request{Entry: "entry-9", Applied: 1 << 40}, &grant)
		var problem *member.Problem
		switch {
		case err == nil && grant.Granted:
			granted++
		case !errors.As(err, &problem) || problem.Code != member.CodeNotLeader:
			g.t.Errorf("lease request at %s: %+v, %v", g.replicas[i].id, grant, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return granted
}

// watchRevisions polls the revision of every control until the context ends. It then
// sends a description of a revision that decreased, or an empty text.
func (g *group) watchRevisions(ctx context.Context) chan string {
	result := make(chan string, 1)
	go func() {
		newest := make([]uint64, len(g.replicas))
		decrease := ""
		for ctx.Err() == nil {
			for i := range g.replicas {
				docs, err := g.operatorAt(i).Documents(ctx)
				if err != nil {
					continue
				}
				if docs.Revision < newest[i] {
					decrease = fmt.Sprintf("the revision of %s decreased from %d to %d", g.replicas[i].id, newest[i], docs.Revision)
				}
				newest[i] = docs.Revision
			}
			time.Sleep(20 * time.Millisecond)
		}
		result <- decrease
	}()
	return result
}

// All controls are killed together twice, at random points of a series of 300
// changes. Every control must have all accepted changes in order afterward, and a
// resend of each change gets its first answer.
func TestAllControlsKilledTwice(t *testing.T) {
	const changes = 300
	g := startGroup(t, 3, 0)
	random := mathrand.New(mathrand.NewPCG(4, 1))
	kills := map[int]bool{50 + random.IntN(100): true, 160 + random.IntN(100): true}
	ctx := context.Background()
	first := make(map[string]operator.Answer)
	var order []string
	for i := range changes {
		if kills[i] {
			go g.killAll(time.Duration(random.IntN(20)) * time.Millisecond)
			time.Sleep(40 * time.Millisecond)
			for j := range g.replicas {
				<-g.replicas[j].exited
				g.startReplica(j)
			}
		}
		id := fmt.Sprintf("kill-%d", i)
		a, ok := g.submit(ctx, templateChange(id, fmt.Sprintf("t%d", i%7), fmt.Sprint(i), nil), false, 0, 1, 2)
		if !ok || a.Status != change.Accepted {
			t.Fatalf("change %s: %+v", id, a)
		}
		first[id] = a
		order = append(order, id)
	}
	for i := range g.replicas {
		waitFor(t, "all changes at every control", func() bool { return len(g.changesOf(i, "kill-")) >= changes })
		if diff := cmp.Diff(order, g.changesOf(i, "kill-")); diff != "" {
			t.Errorf("changes of %s: %s", g.replicas[i].id, diff)
		}
	}
	for i := range changes {
		id := order[i]
		again, ok := g.submit(ctx, templateChange(id, fmt.Sprintf("t%d", i%7), fmt.Sprint(i), nil), false, i%3)
		if !ok || again.Revision != first[id].Revision || again.Status != change.Accepted || !again.Repeated {
			t.Errorf("resend of %s: %+v, first %+v", id, again, first[id])
		}
	}
}

func (g *group) killAll(after time.Duration) {
	time.Sleep(after)
	for _, r := range g.replicas {
		r.cmd.Process.Kill()
	}
}

// A control loses its data folder and rejoins as a new member. Right after it has
// caught up, a second control is lost with its folder. No accepted change may be
// missing at the controls that remain.
func TestLossAfterRepair(t *testing.T) {
	g := startGroup(t, 3, 0)
	ctx := context.Background()
	var order []string
	accept := func(from, to int, controls ...int) {
		for i := from; i < to; i++ {
			id := fmt.Sprintf("loss-%d", i)
			if a, ok := g.submit(ctx, templateChange(id, "t", fmt.Sprint(i), nil), false, controls...); !ok || a.Status != change.Accepted {
				t.Fatalf("change %s: %+v", id, a)
			}
			order = append(order, id)
		}
	}
	accept(0, 40, 0, 1, 2)
	lost := g.awaitLeader()
	before := g.incarnations()
	g.killAndReplaceFolder(lost)
	g.startReplica(lost)
	accept(40, 60, otherIndices(lost, 3)...)
	g.awaitLeader()
	if after := g.incarnations(); after[lost] == before[lost] {
		t.Fatalf("%s rejoined with its old incarnation", g.replicas[lost].id)
	}
	second := otherIndices(lost, 3)[0]
	g.killAndReplaceFolder(second)
	left := otherIndices(second, 3)
	accept(60, 80, left...)
	for _, i := range left {
		waitFor(t, "all changes at the controls that are left", func() bool { return len(g.changesOf(i, "loss-")) >= len(order) })
		if diff := cmp.Diff(order, g.changesOf(i, "loss-")); diff != "" {
			t.Errorf("changes of %s: %s", g.replicas[i].id, diff)
		}
	}
}

func (g *group) killAndReplaceFolder(i int) {
	g.replicas[i].kill()
	g.replicas[i].folder = g.t.TempDir()
}

func (g *group) incarnations() []uint64 {
	g.t.Helper()
	list, err := g.operator.Controls(context.Background())
	if err != nil {
		g.t.Fatal(err)
	}
	found := make([]uint64, len(g.replicas))
	for i, r := range g.replicas {
		for _, c := range list.Controls {
			if c.ID == r.id {
				found[i] = c.Incarnation
			}
		}
	}
	return found
}

// Of 50 concurrent changes that expect the same revision exactly one is accepted.
// The others get a conflict with the revision that it made.
func TestConcurrentOperators(t *testing.T) {
	g := startGroup(t, 3, 0)
	ctx := context.Background()
	base, ok := g.submit(ctx, templateChange("race-base", "t", "base", nil), false, 0)
	if !ok {
		t.Fatal("the first change was not answered")
	}
	answers := make([]operator.Answer, 50)
	var all errgroup.Group
	for i := range answers {
		all.Go(func() error {
			answers[i], _ = g.submit(ctx, templateChange(fmt.Sprintf("race-%d", i), "t", fmt.Sprint(i), &base.Revision), false, i%3)
			return nil
		})
	}
	all.Wait()
	var won []uint64
	for _, a := range answers {
		if a.Status == change.Accepted {
			won = append(won, a.Revision)
		}
	}
	if len(won) != 1 {
		t.Fatalf("%d of 50 changes were accepted", len(won))
	}
	for i, a := range answers {
		if a.Status != change.Accepted && (a.Status != change.Conflict || a.Revision != won[0]) {
			t.Errorf("operator %d: %+v", i, a)
		}
	}
}

// 200 changes whose answers may be lost are sent again after a failover; each is
// applied once.
func TestResendsAcrossFailover(t *testing.T) {
	const changes = 200
	g := startGroup(t, 3, 0)
	leader := g.awaitLeader()
	ctx := context.Background()
	lost := operator.Client{Address: g.replicas[leader].frontProxy.Address(), Key: g.operator.Key}
	var sent sync.WaitGroup
	for i := range changes {
		sent.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, time.Duration(1+i%40)*time.Millisecond)
			defer cancel()
			lost.Change(ctx, templateChange(fmt.Sprintf("resend-%d", i), fmt.Sprintf("t%d", i), "x", nil), false)
		})
	}
	sent.Wait()
	g.replicas[leader].kill()
	var all errgroup.Group
	for i := range changes {
		all.Go(func() error {
			c := templateChange(fmt.Sprintf("resend-%d", i), fmt.Sprintf("t%d", i), "x", nil)
			a, ok := g.submit(ctx, c, false, otherIndices(leader, 3)...)
			if !ok || a.Status != change.Accepted {
				return errors.Errorf("%s: %+v", c.ID, a)
			}
			return nil
		})
	}
	if err := all.Wait(); err != nil {
		t.Fatal(err)
	}
	for _, i := range otherIndices(leader, 3) {
		waitFor(t, "all changes", func() bool { return len(g.changesOf(i, "resend-")) >= changes })
		ids := g.changesOf(i, "resend-")
		slices.Sort(ids)
		if once := slices.Compact(slices.Clone(ids)); len(ids) != changes || len(once) != changes {
			t.Errorf("%d changes applied, %d of them distinct", len(ids), len(once))
		}
	}
}

// A leader that is paused by SIGSTOP for longer than its leases grants none when it
// resumes, and follows the leader that was elected meanwhile.
func TestPausedLeader(t *testing.T) {
	g := startGroup(t, 3, 1)
	leader := g.awaitLeader()
	ctx := context.Background()
	g.replicas[leader].cmd.Process.Signal(syscall.SIGSTOP)
	for i := range 3 {
		a, ok := g.submit(ctx, templateChange(fmt.Sprintf("stop-%d", i), "t", fmt.Sprint(i), nil), true, otherIndices(leader, 3)...)
		if !ok || !a.InForce {
			t.Fatalf("change %d: %+v", i, a)
		}
	}
	g.replicas[leader].cmd.Process.Signal(syscall.SIGCONT)
	if grants := g.countGrants(leader); grants > 0 {
		t.Errorf("the paused leader granted %d leases after it resumed", grants)
	}
	if now := g.awaitLeader(); now == leader {
		t.Error("the paused leader leads again without an election")
	}
}

// otherIndices returns the indices below n except i.
func otherIndices(i, n int) []int {
	var others []int
	for j := range n {
		if j != i {
			others = append(others, j)
		}
	}
	return others
}

// isStopped reports whether all of a process stands still. The kernel delivers SIGSTOP
// to one thread first; the others run until it has been scheduled.
func isStopped(t *testing.T, pid int) bool {
	t.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, afterName, _ := strings.Cut(string(stat), ") ")
	return strings.HasPrefix(afterName, "T")
}

// An entry that is paused by SIGSTOP for longer than its lease dispatches nothing to
// a version that was withdrawn meanwhile, although requests wait in its sockets.
func TestPausedEntry(t *testing.T) {
	g := startGroup(t, 3, 2)
	g.awaitLeader()
	g.startEngine("engine-1", "small@v1")
	key := g.setUpDocuments("small@v1")
	ask := func(id string) (caller.Reply, error) {
		body := caller.ChatRequest{Model: "auto", MaxTokens: 4, Messages: []request.Message{{Role: "user", Content: "x"}}}
		return g.client(0, key).Chat(context.Background(), body, caller.CallOptions{RequestID: id})
	}
	waitFor(t, "a first answer", func() bool {
		reply, err := ask(rand.Text())
		return err == nil && reply.Outcome() == request.Done
	})
	before := len(g.runs("engine-1"))
	g.entries[0].cmd.Process.Signal(syscall.SIGSTOP)
	waitFor(t, "the entry to stand still", func() bool { return isStopped(t, g.entries[0].cmd.Process.Pid) })
	var waiting sync.WaitGroup
	for i := range 20 {
		waiting.Go(func() {
			if reply, err := ask(fmt.Sprintf("stopped-%d", i)); err == nil && reply.Outcome() == request.Done {
				t.Errorf("request %d: %+v", i, reply)
			}
		})
	}
	g.change(change.MoveVersion, "small@v1", fmt.Sprintf(`{"trigger":%q}`, version.ToWithdraw))
	g.entries[0].cmd.Process.Signal(syscall.SIGCONT)
	waiting.Wait()
	if after := len(g.runs("engine-1")); after != before {
		t.Errorf("%d runs on the withdrawn version after the withdrawal was in force", after-before)
	}
}

// A leader that gets SIGTERM transfers the leadership before it exits with 0, so
// that the next change need not wait for an election timeout: the other controls
// have a new leader as soon as it has exited, and accept a change.
func TestLeaderGracefulStop(t *testing.T) {
	g := startGroup(t, 3, 0)
	leader := g.awaitLeader()
	if code := g.replicas[leader].terminate(); code != 0 {
		t.Errorf("exit code %d:\n%s", code, g.replicas[leader].stderr)
	}
	for _, i := range otherIndices(leader, 3) {
		if now := g.leaderOf(i); now == leader || now < 0 {
			t.Errorf("%s has no new leader after the old one has exited", g.replicas[i].id)
		}
	}
	if a, ok := g.submit(context.Background(), templateChange("planned", "t", "x", nil), false, otherIndices(leader, 3)...); !ok || a.Status != change.Accepted {
		t.Errorf("change after the leader has exited: %+v", a)
	}
}
