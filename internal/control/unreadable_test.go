package control

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/juju/clock"
	"github.com/juju/errors"

	"rosereach/core/backend"
	"rosereach/core/change"
	"rosereach/core/encoding"
	"rosereach/core/lease"
	"rosereach/core/roster"
	"rosereach/core/state"
	"rosereach/io/member"
)

func unreadableChange() state.Command {
	return state.Command{Change: &change.Change{ID: "1", Kind: change.PutEvacuation, Name: "\xe9", Document: []byte(`{"zone":"z","active":true}`), Actor: "test"}}
}

// Guards against a log entry that replicas can't read again: it ends each of them, at each of
// its starts. Such a command is refused before it is proposed, and so is one that no frame
// can hold.
func TestUnreadableCommandsAreNotProposed(t *testing.T) {
	n := newWatchedNode(t, 0, 0)
	large := unreadableChange()
	large.Change.Name, large.Change.Document = "z", []byte(strings.Repeat(" ", maxCommandBytes)+"1")
	for name, c := range map[string]state.Command{"not UTF-8": unreadableChange(), "too large": large} {
		ctx, cancel := context.WithCancel(context.Background())
		cancel() // nothing takes proposals, so that one that is not refused ends with the context
		var problem *member.Problem
		if _, err := n.Propose(ctx, c); !errors.As(err, &problem) || problem.Code != member.CodeRefused {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Guards against controls that end at a log entry that an earlier build accepted and none could
// read again: the folder opens, the entry changes nothing, and later ones are applied.
func TestFolderWithUnreadableEntryStarts(t *testing.T) {
	cfg := Config{ID: "control-1", Folder: t.TempDir(), MemberKey: "key", Terms: lease.DefaultConfig(), Clock: clock.WallClock, Logger: log.NewNopLogger()}
	for run := range 2 {
		n, err := Open(cfg)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- n.Run(ctx) }()
		waitFor(t, "the leader", n.IsLeader)
		if run == 0 {
			data, err := encoding.Marshal(unreadableChange())
			if err != nil {
				t.Fatal(err)
			}
			n.mu.Lock()
			_, _, err = n.propose([][]byte{data}) // without the checks of Propose
			n.mu.Unlock()
			n.requestFlush()
			if err != nil {
				t.Fatal(err)
			}
		}
		call, done := context.WithTimeout(ctx, 5*time.Second)
		_, err = n.Propose(call, noteCommand("later"))
		done()
		if err != nil {
			t.Fatalf("run %d: %v", run, err)
		}
		if zones := n.Catalog().EvacuatedZones(); len(zones) > 0 {
			t.Errorf("the unreadable change is in force: %q", zones)
		}
		cancel()
		if err := <-ended; err != nil {
			t.Fatalf("run %d: %v", run, err)
		}
	}
}

// Guards against one server of another writer that takes the rest of a reply with it: a
// record that members of earlier builds pass on is left out, and the others arrive.
func TestUnreadableRecordLeavesTheOthers(t *testing.T) {
	n := newWatchedNode(t, 0, 1)
	bad := backend.Announcement{ID: "caf\xe9", Incarnation: 1, Sequence: 1, State: backend.Serving, Service: "s", Capacity: 1}
	n.Announce(bad)
	if got := n.watchReply(member.WatchRequest{}).Roster.Records; len(got) != 1 {
		t.Fatalf("the reply has %+v", got)
	}
	good := bad
	good.ID = "server-9"
	data, err := encoding.Marshal(member.WatchReply{Roster: roster.Delta{Version: 9, Records: []roster.Record{{Server: bad}, {Server: good}}}})
	if err != nil {
		t.Fatal(err)
	}
	var reply member.WatchReply
	if err := encoding.Unmarshal(data, &reply); err != nil {
		t.Fatal(err)
	}
	n.fleet.roster.ApplyDelta(n.cfg.Clock.Now(), reply.Roster)
	if _, ok := n.fleet.roster.Find(bad.ID); ok {
		t.Error("the unreadable record is kept")
	}
	if _, ok := n.fleet.roster.Find(good.ID); !ok {
		t.Error("the record after it is missing")
	}
}

// Guards against numbers of a server that overflow at the members that read them: such a record
// of another member is left out as well.
func TestRecordsOutOfRangeAreLeftOut(t *testing.T) {
	n := newWatchedNode(t, 0, 1)
	for name, change := range map[string]func(a *backend.Announcement){
		"capacity":    func(a *backend.Announcement) { a.Capacity = 1 << 40 },
		"incarnation": func(a *backend.Announcement) { a.Incarnation = 1 << 63 },
		"sequence":    func(a *backend.Announcement) { a.Sequence = 1<<64 - 1 },
	} {
		a := backend.Announcement{ID: name, Incarnation: 1, Sequence: 1, State: backend.Serving, Service: "s", Capacity: 1}
		change(&a)
		n.fleet.roster.ApplyDelta(n.cfg.Clock.Now(), roster.Delta{Records: []roster.Record{{Server: a}}})
		if _, ok := n.fleet.roster.Find(name); ok {
			t.Errorf("%s: the record is kept", name)
		}
	}
}
