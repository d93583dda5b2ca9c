package control

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"rosereach/core/change"
	"rosereach/core/replica"
	"rosereach/core/state"
	"rosereach/io/member"
)

// While a control of an older build is in the group, an evacuation is refused and nothing is
// written to the log: that control would refuse what the others accept. Once all controls know
// the feature it is enabled, and a control of an older build can't join any more.
func TestFeatureWaitsForOlderBuilds(t *testing.T) {
	g := startFiveControls(t)
	g.putPlan("c0", 1)
	l := g.leader()
	waitFor(t, "contact to all controls", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.membersWithout(change.Evacuations)) == 0
	})
	setFeatures := func(features []change.Feature) {
		for _, n := range g.nodes {
			n.mu.Lock()
			for _, view := range n.fleet.peers {
				view.features = features
			}
			n.mu.Unlock()
		}
	}
	setFeatures(nil)
	for id, n := range g.nodes {
		if r, err := n.Evacuate(context.Background(), "z", true, "test", "test"); err == nil {
			t.Errorf("%s: %+v", id, r)
		}
	}
	if l.Catalog().IsEvacuated("z") || len(l.Catalog().Documents().Features) > 0 {
		t.Fatal("an evacuation is in force beside an older build")
	}
	setFeatures(change.Features())
	g.evacuateAt(l, "z", true)
	old := replica.Member{Identity: replica.Identity{ID: "old"}, Address: "127.0.0.1:1"}
	waitFor(t, "the answer of the leader", func() bool {
		n := g.leader()
		if n == nil || len(n.Catalog().Documents().Features) == 0 {
			return false
		}
		_, err := n.addLearner(member.JoinRequest{Member: old})
		if err == nil {
			t.Fatal("a control of an older build joins")
		}
		return strings.Contains(err.Error(), string(change.Evacuations))
	})
}

// A change or command that this build does not know is never skipped: a control refuses to
// propose it, and stops when the log has it.
func TestUnknownChangeStopsAControl(t *testing.T) {
	n := newWatchedNode(t, 0, 0)
	unknown := change.Change{ID: "1", Kind: "from_the_future", Name: "x"}
	if r, err := n.Change(context.Background(), unknown); err != nil || r.Status != change.Refused {
		t.Errorf("%+v, %v", r, err)
	}
	if _, err := n.handlePropose(context.Background(), member.ProposeRequest{Commands: []state.Command{{Change: &unknown}}}); err == nil {
		t.Error("an unknown change of another control is proposed")
	}
	before := n.state.Index()
	for name, c := range map[string]any{"change": state.Command{Change: &unknown}, "command": map[string]any{"from_the_future": map[string]any{"a": 1}}} {
		data, err := cbor.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		if err := n.applyEntry(replica.Entry{Kind: replica.Command, Index: before + 1, Data: data}); err == nil || !strings.Contains(err.Error(), "does not know") {
			t.Errorf("%s: %v", name, err)
		}
	}
	if n.state.Index() != before {
		t.Error("the state has changed")
	}
}

// A plan that restricts where requests go makes the leader enable evacuations before the first
// order, so that one that arrives while a control is down and unknown is not refused. Other
// plans change nothing in the log.
func TestFeatureIsEnabledInAdvance(t *testing.T) {
	g := startFiveControls(t)
	g.putPlan("c0", 1)
	enabled := func() bool {
		l := g.leader()
		return l != nil && len(l.Catalog().Documents().Features) > 0
	}
	time.Sleep(2 * featureInterval)
	if enabled() {
		t.Fatal("a plan without locations enables evacuations")
	}
	plan := testPlan(2)
	plan.Config.Services[0].WarmupRate = 5
	waitFor(t, "the plan with a warm-up", func() bool {
		r, err := g.nodes["c0"].PutRouting(context.Background(), plan, "test", "test")
		return err == nil && r.Status == change.Accepted
	})
	waitFor(t, "the feature", enabled)
	l := g.leader()
	l.mu.Lock()
	for _, view := range l.fleet.peers {
		view.features = nil
	}
	l.mu.Unlock()
	g.evacuateAt(l, "z", true)
}
