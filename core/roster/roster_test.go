package roster_test

import (
	"testing"
	"time"

	"rosereach/core/backend"
	"rosereach/core/roster"
)

var (
	cfg   = roster.Config{SilentAfter: 4 * time.Second, RemoveAfter: time.Minute}
	start = time.Unix(1000, 0)
)

func server(id string, incarnation, sequence uint64, state backend.State) backend.Announcement {
	return backend.Announcement{ID: id, Incarnation: incarnation, Sequence: sequence, State: state, Service: "s", Address: "10.0.0.1:" + id, Capacity: 1}
}

func serving(r *roster.Roster) (ids []string) {
	for _, rec := range r.Serving("s") {
		ids = append(ids, rec.Server.ID)
	}
	return ids
}

func TestLeavingIsFinalForAnIncarnation(t *testing.T) {
	r := roster.New(cfg, 1)
	r.Observe(start, server("1", 10, 1, backend.Serving))
	r.Observe(start, server("1", 10, 5, backend.Leaving))
	r.Observe(start, server("1", 10, 6, backend.Serving))
	r.Observe(start, server("1", 9, 99, backend.Serving))
	if len(serving(r)) != 0 {
		t.Fatal("a late announcement revived a leaving server")
	}
	r.Observe(start, server("1", 11, 1, backend.Serving))
	if len(serving(r)) != 1 {
		t.Fatal("the next incarnation, whose sequence starts anew, is not used")
	}
}

func TestLeaveWithoutDrainingEndsServing(t *testing.T) {
	r := roster.New(cfg, 1)
	r.Observe(start, server("1", 10, 4, backend.Serving))
	before := r.Version()
	if !r.MarkLeaving(start, "1", 0) || r.Version() == before || len(serving(r)) != 0 {
		t.Fatal("a server that left is still returned as serving")
	}
	if r.MarkLeaving(start, "1", 0) || r.MarkLeaving(start, "unknown", 0) {
		t.Fatal("a repeated or unknown leave is reported as a change")
	}
}

func TestReplacedAddressIsNotUsed(t *testing.T) {
	r := roster.New(cfg, 1)
	old, next := server("1", 10, 1, backend.Serving), server("2", 20, 1, backend.Serving)
	next.Address = old.Address
	r.Observe(start, next)
	r.Observe(start, old)
	if got := serving(r); len(got) != 1 || got[0] != "2" {
		t.Fatalf("serving %v, want the newer one at the address only", got)
	}
}

func TestDeltaContainsChangesOnly(t *testing.T) {
	r := roster.New(cfg, 100)
	r.Observe(start, server("1", 10, 1, backend.Serving))
	r.Observe(start, server("2", 10, 1, backend.Serving))
	known := r.Version()
	if r.Observe(start, server("1", 10, 2, backend.Serving)) {
		t.Fatal("a repeated announcement is reported as a change")
	}
	if d := r.Delta(known); len(d.Records) != 0 {
		t.Fatalf("delta contains %v, want nothing", d.Records)
	}
	r.Observe(start, server("2", 10, 2, backend.Leaving))
	if d := r.Delta(known); len(d.Records) != 1 || d.Records[0].Server.ID != "2" {
		t.Fatalf("delta contains %v, want server 2", d.Records)
	}
}

func TestSightingOfAnotherMemberEndsSilence(t *testing.T) {
	r, other := roster.New(cfg, 1), roster.New(cfg, 1)
	r.Observe(start, server("1", 10, 1, backend.Serving))
	other.ApplyDelta(start, r.Delta(0))
	later := start.Add(5 * time.Second)
	r.Expire(later)
	if rec, _ := r.Find("1"); !rec.Silent {
		t.Fatal("not silent after five seconds")
	}
	other.Observe(later, server("1", 10, 7, backend.Serving))
	r.ApplyDelta(later, roster.Delta{Sightings: other.SightingsSince(start, 0)})
	if rec, _ := r.Find("1"); rec.Silent {
		t.Fatal("still silent after an announcement to another member")
	}
}

// A member that was disconnected received no announcements, so that it must not mark
// servers as silent.
func TestRestartTimeoutsAfterDisconnection(t *testing.T) {
	r := roster.New(cfg, 1)
	r.Observe(start, server("1", 10, 1, backend.Serving))
	later := start.Add(10 * time.Second)
	r.RestartTimeouts(later)
	r.Expire(later)
	if rec, _ := r.Find("1"); rec.Silent {
		t.Fatal("a disconnected member marked a server as silent")
	}
}

// A member that only receives changes removes servers that are gone, but not one
// that serves and has no changes.
func TestExpireGone(t *testing.T) {
	r := roster.New(cfg, 1)
	r.Observe(start, server("1", 10, 1, backend.Serving))
	r.Observe(start, server("2", 10, 1, backend.Leaving))
	r.ExpireGone(start.Add(time.Hour))
	if all := r.All(); len(all) != 1 || all[0].Server.ID != "1" {
		t.Fatalf("left %v", all)
	}
}
