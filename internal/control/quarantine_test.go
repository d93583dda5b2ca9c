package control

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/juju/clock"

	"rosereach/core/lease"
	"rosereach/core/quarantine"
	"rosereach/io/member"
)

// reportEnd reports to a control that a server ended under a request with the given part,
// and sound answers to other requests with its first part.
func reportEnd(n *Node, i int, part string) {
	parts := quarantine.SharedKeys("s", []string{"common", part, "own"})
	e := quarantine.End{Service: "s", Server: fmt.Sprint("server-", i), Incarnation: 1}
	r := quarantine.NewRequest(fmt.Sprint("request-", i), "w", parts)
	sound := []quarantine.Sound{{Key: quarantine.KeyOf("s", ""), Answers: 50}, {Key: quarantine.KeyOf("s", "common"), Answers: 50}}
	n.receiveEvidence(quarantine.Report{Sender: fmt.Sprint("entry-", i), Ends: []quarantine.End{e.WithRequest(r)}, Sound: sound}) //nolint:errcheck // it returns none
}

func (n *Node) lists(part string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, ok := n.fleet.parts.List().Find(n.cfg.Clock.Now(), []quarantine.Key{quarantine.KeyOf("s", part)})
	return ok
}

// Each end of a server is reported to another control, none of which could tell the part
// from its own reports. All list it, and so does one that starts anew.
func TestEvidenceMeetsAtAllControls(t *testing.T) {
	g := newSeededGroup(t)
	ids := []string{"a", "b", "c"}
	listeners := make(map[string]net.Listener)
	for _, id := range ids {
		listeners[id] = g.listen(id, true)
	}
	for _, id := range ids {
		g.start(id, listeners[id], true)
	}
	g.waitForLeader("three voters", func(*Node) bool { return g.voters() == 3 })
	waitFor(t, "a listing at all controls", func() bool {
		for i := range 12 {
			reportEnd(g.nodes[ids[i%3]], i, "bad")
			time.Sleep(100 * time.Millisecond) // ends that are spread over time
		}
		return g.nodes["a"].lists("bad") && g.nodes["b"].lists("bad") && g.nodes["c"].lists("bad")
	})
	for _, id := range ids {
		if g.nodes[id].lists("common") {
			t.Errorf("control %s lists the common part", id)
		}
	}
	g.stop("c")
	g.start("c", g.listen("c", false), false)
	waitFor(t, "the listing at a control that starts anew", func() bool { return g.nodes["c"].lists("bad") })
}

// What a control lists outlasts all controls: entries bring it back.
func TestListedPartOutlastsControls(t *testing.T) {
	n := newWatchedNode(t, 1, 0)
	listed := quarantine.Report{Sender: "entry-0", Listed: []quarantine.Listing{{Key: quarantine.KeyOf("s", "bad"), Service: "s", Left: time.Hour}}}
	n.receiveEvidence(listed) //nolint:errcheck // it returns none
	n.mu.Lock()
	n.judgeParts(n.cfg.Clock.Now())
	news := n.hasNews(member.WatchRequest{RunID: n.runID, RosterVersion: n.fleet.roster.Version(), Entry: &member.Presence{}})
	n.mu.Unlock()
	reply := n.watchReply(member.WatchRequest{Entry: &member.Presence{ID: "entry-1"}})
	if !news || len(reply.Listed) != 1 || len(n.watchReply(member.WatchRequest{}).Evidence) != 1 {
		t.Fatalf("news %v, reply %+v", news, reply)
	}
	if again := n.watchReply(member.WatchRequest{RunID: n.runID, PartsVersion: reply.PartsVersion, Entry: &member.Presence{ID: "entry-1"}}); len(again.Listed) > 0 {
		t.Fatal("an entry gets again what it has")
	}
}

// What is listed outlasts the end of all processes at once: a control finds it on its disk.
func TestListingOutlastsAllProcesses(t *testing.T) {
	cfg := Config{ID: "control-1", Folder: t.TempDir(), MemberKey: "key", Terms: lease.DefaultConfig(), Clock: clock.WallClock, Logger: log.NewNopLogger()}
	run := func(use func(n *Node)) {
		n, err := Open(cfg)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- n.Run(ctx) }()
		use(n)
		cancel()
		if err := <-ended; err != nil {
			t.Fatal(err)
		}
	}
	run(func(n *Node) {
		listed := quarantine.Report{Sender: "entry-0", Listed: []quarantine.Listing{{Key: quarantine.KeyOf("s", "bad"), Service: "s", Left: time.Hour}}}
		n.receiveEvidence(listed) //nolint:errcheck // it returns none
		waitFor(t, "the listing on disk", func() bool {
			saved, err := n.store.Quarantine()
			return err == nil && len(saved.Listings) == 1
		})
	})
	run(func(n *Node) {
		if !n.lists("bad") {
			t.Error("the listing is gone")
		}
	})
}
