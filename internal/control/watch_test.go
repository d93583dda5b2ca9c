package control

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"
	"github.com/juju/clock"

	"rosereach/core/backend"
	"rosereach/core/lease"
	"rosereach/core/rollout"
	"rosereach/io/member"
)

func newWatchedNode(t testing.TB, entries, servers int) *Node {
	t.Helper()
	n, err := Open(Config{
		ID: "control-1", Folder: t.TempDir(), MemberKey: "key", Terms: lease.DefaultConfig(),
		Clock: clock.WallClock, Logger: log.NewNopLogger(),
	})
	if err != nil {
		t.Fatal(err)
	}
	for i := range entries {
		id := fmt.Sprintf("entry-%d", i)
		n.receiveWatch(member.WatchRequest{
			Entry:  &member.Presence{ID: id, Incarnation: 1, Sequence: 1},
			Report: &member.Report{Entry: id, Incarnation: 1, Sequence: 1, Tallies: []rollout.Tally{{}}},
		})
	}
	for i := range servers {
		n.Announce(backend.Announcement{ID: fmt.Sprintf("server-%d", i), Incarnation: 1, Sequence: 1, State: backend.Serving, Service: "s", Capacity: 1})
	}
	return n
}

// A control that is woken for one change must not send everything again that it
// received from entries and backend servers: changes come as often as there are
// instances, so traffic between controls would grow with the square of the fleet.
func TestPeerReplyFollowsNews(t *testing.T) {
	bytesAfterChange := func(entries, servers int) int {
		n := newWatchedNode(t, entries, servers)
		first := n.watchReply(member.WatchRequest{})
		if len(first.Presences) != entries || len(first.Reports) != entries || len(first.Roster.Sightings) != servers {
			t.Fatalf("first reply: %d presences, %d reports, %d sightings", len(first.Presences), len(first.Reports), len(first.Roster.Sightings))
		}
		if err := n.receivePresence(member.Presence{ID: "entry-0", Incarnation: 1, Sequence: 2, Draining: true}); err != nil {
			t.Fatal(err)
		}
		n.Withdraw("server-0", 0)
		next := n.watchReply(first.Next())
		if len(next.Presences) != 1 || len(next.Roster.Sightings) != 1 || len(next.Roster.Records) != 1 {
			t.Errorf("after one change: %d presences, %d sightings, %d records", len(next.Presences), len(next.Roster.Sightings), len(next.Roster.Records))
		}
		data, err := cbor.Marshal(next)
		if err != nil {
			t.Fatal(err)
		}
		return len(data)
	}
	few, many := bytesAfterChange(10, 10), bytesAfterChange(100, 100)
	if many > few*11/10 {
		t.Errorf("reply about one entry and one server: %d bytes in a fleet of 10, %d in a fleet of 100", few, many)
	}
}

// A control that has no position yet, or one of another run, gets everything.
func TestPeerReplyToUnknownRun(t *testing.T) {
	n := newWatchedNode(t, 3, 3)
	next := n.watchReply(member.WatchRequest{}).Next()
	next.RunID++
	got := n.watchReply(next)
	if len(got.Presences) != 3 || len(got.Reports) != 3 || len(got.Roster.Sightings) != 3 || len(got.Roster.Records) != 3 {
		t.Errorf("%d presences, %d reports, %d sightings, %d records", len(got.Presences), len(got.Reports), len(got.Roster.Sightings), len(got.Roster.Records))
	}
}
