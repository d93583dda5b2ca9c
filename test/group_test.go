package test

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"rosereach/core/change"
	"rosereach/internal/fault"
	"rosereach/io/operator"
)

// changeTimeout is the timeout of one attempt to make a change.
const changeTimeout = 15 * time.Second

type (
	// group is a fleet whose controls and entries reach each other only through
	// fault proxies.
	group struct {
		*fleet
		replicas []*replicaProcess
	}

	// replicaProcess is one control. FrontProxy is used by entries and operators,
	// peerProxies by the other controls, by their index.
	replicaProcess struct {
		*process
		id          string
		folder      string
		frontProxy  *fault.Proxy
		peerProxies []*fault.Proxy
	}
)

// startGroup starts controls that form a new group, and entries.
func startGroup(t *testing.T, controls, entries int) *group {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	g := &group{fleet: &fleet{t: t, memberKey: rand.Text(), backendKey: rand.Text(), backends: make(map[string]*process)}}
	g.operator.Key = rand.Text()
	for i := range controls {
		r := &replicaProcess{id: fmt.Sprintf("control-%d", i+1), folder: t.TempDir(), frontProxy: startProxy(ctx, t)}
		for range controls {
			r.peerProxies = append(r.peerProxies, startProxy(ctx, t))
		}
		g.replicas = append(g.replicas, r)
	}
	for i := range controls {
		g.startReplica(i)
	}
	g.awaitLeader()
	for i := range entries {
		g.startProxiedEntry(fmt.Sprintf("entry-%d", i+1))
	}
	g.waitEntries(entries)
	return g
}

func startProxy(ctx context.Context, t *testing.T) *fault.Proxy {
	t.Helper()
	p, err := fault.Start(ctx, "127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// startReplica starts a control. If its data folder holds no membership of a group,
// it forms a new group with its peers.
func (g *group) startReplica(i int) {
	g.t.Helper()
	r := g.replicas[i]
	var peers []string
	for j, other := range g.replicas {
		if j != i {
			peers = append(peers, other.id+"="+other.peerProxies[i].Address())
		}
	}
	r.process = startProcess(g.t, "control", "--id", r.id, "--data", r.folder, "--advertise", r.frontProxy.Address(),
		"--peers", strings.Join(peers, ","), "--member-key", g.memberKey, "--operator-key", g.operator.Key)
	r.frontProxy.SetTarget(r.address)
	for _, l := range r.peerProxies {
		l.SetTarget(r.address)
	}
}

func (g *group) startProxiedEntry(id string) *process {
	g.t.Helper()
	var fronts []string
	for _, r := range g.replicas {
		fronts = append(fronts, r.frontProxy.Address())
	}
	p := startProcess(g.t, "entry", "--id", id, "--region", "central", "--availability-zone", "sanjose",
		"--controls", strings.Join(fronts, ","), "--member-key", g.memberKey, "--backend-key", g.backendKey, "--address-ttl", "1s")
	g.entries = append(g.entries, p)
	return p
}

// operatorAt returns a client that sends requests to one control directly, without a proxy.
func (g *group) operatorAt(i int) operator.Client {
	return operator.Client{Address: g.replicas[i].address, Key: g.operator.Key}
}

// leaderOf returns the index of the leader according to control i, or -1.
func (g *group) leaderOf(i int) int {
	list, err := g.operatorAt(i).Controls(context.Background())
	if err != nil {
		return -1
	}
	for j, r := range g.replicas {
		if r.id == list.Leader {
			return j
		}
	}
	return -1
}

// awaitLeader waits until all controls are voters and agree on the leader. It points the
// fleet's operator client to the leader and returns the leader's index.
func (g *group) awaitLeader() int {
	g.t.Helper()
	leader := -1
	waitFor(g.t, "one leader and a vote for every control", func() bool {
		leader = g.leaderOf(0)
		for i := range g.replicas {
			list, err := g.operatorAt(i).Controls(context.Background())
			if err != nil || countVoters(list) != len(g.replicas) || len(list.Controls) != len(g.replicas) || g.leaderOf(i) != leader {
				return false
			}
		}
		return leader >= 0
	})
	g.operator.Address = g.replicas[leader].address
	return leader
}

func countVoters(list operator.Controls) int {
	n := 0
	for _, c := range list.Controls {
		if c.Voter {
			n++
		}
	}
	return n
}

func (g *group) waitEntries(n int) {
	g.t.Helper()
	waitFor(g.t, "leases of all entries", func() bool {
		s, err := g.operator.Status(context.Background())
		return err == nil && len(s.Entries) == n
	})
}

// setPartition partitions a control if silent is set, and heals the partition
// otherwise. In a partition the proxies drop all bytes to and from the control
// while its connections stay open.
func (g *group) setPartition(i int, silent bool) {
	plan := fault.Plan{Blackhole: silent}
	g.replicas[i].frontProxy.SetPlan(plan)
	for j, r := range g.replicas {
		r.peerProxies[i].SetPlan(plan)
		g.replicas[i].peerProxies[j].SetPlan(plan)
	}
}

// templateChange returns a change of a template; note distinguishes the changes.
func templateChange(id, name, note string, expect *uint64) change.Change {
	doc := fmt.Sprintf(`{"name":%q,"parameters":[],"policy":{"allow":["small@%s*"],"quality_target":0.5,"services":[],"limits":{}}}`, name, note)
	return change.Change{ID: id, Kind: change.PutTemplate, Name: name, Document: json.RawMessage(doc), Actor: "test", ExpectedRevision: expect}
}

// submit sends a change to the given controls in turn until one answers.
func (g *group) submit(ctx context.Context, c change.Change, wait bool, controls ...int) (operator.Answer, bool) {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	for i := 0; ctx.Err() == nil; i++ {
		call, done := context.WithTimeout(ctx, changeTimeout)
		answer, err := g.operatorAt(controls[i%len(controls)]).Change(call, c, wait)
		done()
		if err == nil {
			return answer, true
		}
	}
	return operator.Answer{}, false
}

// changesOf returns the ids with the prefix of the accepted changes in a control's
// audit trail, in order.
func (g *group) changesOf(i int, prefix string) []string {
	var ids []string
	var after uint64
	for {
		page, err := g.operatorAt(i).Trail(context.Background(), after)
		if err != nil {
			return nil
		}
		if len(page.Events) == 0 {
			return ids
		}
		for _, e := range page.Events {
			after = e.Sequence
			if e.Kind == "changed" && strings.HasPrefix(e.ChangeID, prefix) {
				ids = append(ids, e.ChangeID)
			}
		}
	}
}
