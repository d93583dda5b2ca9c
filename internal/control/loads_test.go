package control

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"rosereach/core/health"
	"rosereach/io/member"
)

// loadedNode returns a control that knows the loads of many servers.
func loadedNode(n *Node, servers int) *Node {
	var samples []health.Sample
	for i := range servers {
		samples = append(samples, health.Sample{Server: fmt.Sprintf("i-%010x", i), Incarnation: 1, Answers: 1, Running: i % 64, Waiting: i % 7})
	}
	n.fleet.pool.Add(n.cfg.Clock.Now(), "e", samples) // LoadAge 0 stands for now
	return n
}

// Load reports are encoded once for the entries that ask for them at about the same time: a
// control of a large fleet has no time for more. A newcomer still learns how old they are.
func TestLoadsAreEncodedOnce(t *testing.T) {
	n := loadedNode(newWatchedNode(t, 0, 0), 300)
	now := n.cfg.Clock.Now()
	var first, second, third member.WatchReply
	n.addLoads(now, &first)
	n.addLoads(now.Add(loadsTTL/2), &second)
	n.addLoads(now.Add(2*loadsTTL), &third)
	if first.Loads != second.Loads || second.LoadsAge != loadsTTL/2 || third.Loads == first.Loads || third.LoadsAge != 0 {
		t.Errorf("ages %v and %v", second.LoadsAge, third.LoadsAge)
	}
	data, err := cbor.Marshal(second)
	if err != nil {
		t.Fatal(err)
	}
	var got member.WatchReply
	if err := cbor.Unmarshal(data, &got); err != nil || len(got.Loads.Reports) != 300 || got.LoadsAge != loadsTTL/2 {
		t.Errorf("%v, %+v", err, got.Loads)
	}
}

// BenchmarkLoadsReply measures a reply with the loads of 3,000 servers, of which each control
// of a fleet of 290 entries sends 64 a second.
func BenchmarkLoadsReply(b *testing.B) {
	for _, encodeEach := range []bool{true, false} {
		b.Run(fmt.Sprint("each=", encodeEach), func(b *testing.B) {
			n := loadedNode(newWatchedNode(b, 0, 0), 3000)
			now := n.cfg.Clock.Now()
			for b.Loop() {
				if encodeEach {
					n.fleet.loads = nil
				}
				var reply member.WatchReply
				n.addLoads(now, &reply)
				if _, err := cbor.Marshal(reply); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
