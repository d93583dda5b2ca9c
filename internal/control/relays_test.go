package control

import (
	"testing"

	"rosereach/io/member"
)

// Entries are told of others that take requests and reach servers themselves, and only if
// they ask.
func TestRelaysAreEntriesThatReachServers(t *testing.T) {
	n := newWatchedNode(t, 0, 0)
	for _, p := range []member.Presence{
		{ID: "good", Relay: "r1:1"}, {ID: "cut off", Relay: "r2:1", CutOff: true}, {ID: "draining", Relay: "r3:1", Draining: true}, {ID: "without"},
	} {
		p.Incarnation, p.Sequence = 1, 1
		n.receiveWatch(member.WatchRequest{Entry: &p})
	}
	asking := member.Presence{ID: "asking", Relay: "r4:1", Incarnation: 1, Sequence: 1}
	if got := n.watchReply(member.WatchRequest{Entry: &asking}); len(got.Relays) > 0 {
		t.Errorf("unasked: %+v", got.Relays)
	}
	if got := n.watchReply(member.WatchRequest{Entry: &asking, WantsRelays: true}); len(got.Relays) != 1 || got.Relays[0].ID != "good" {
		t.Errorf("%+v", got.Relays)
	}
}
