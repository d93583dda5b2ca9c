package control

import (
	"context"
	"strings"
	"testing"

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
