package roster_test

import (
	"fmt"
	"testing"
	"time"

	"rosereach/core/backend"
	"rosereach/core/roster"
)

// The newest start at an address is found, also after a change.
func TestServerAtAddress(t *testing.T) {
	r := roster.New(roster.Config{RemoveAfter: time.Minute}, 1)
	now := time.Unix(1000, 0)
	observe := func(id, address string, incarnation uint64) {
		r.Observe(now, backend.Announcement{ID: id, Incarnation: incarnation, Sequence: 1, Service: "s", Address: address, State: backend.Serving})
	}
	observe("a", "x:1", 1)
	observe("b", "y:1", 1)
	if s, ok := r.At("x:1"); !ok || s.ID != "a" {
		t.Fatalf("%+v", s)
	}
	observe("c", "x:1", 2)
	if s, ok := r.At("x:1"); !ok || s.ID != "c" {
		t.Fatalf("after a new start: %+v", s)
	}
	observe("c", "z:1", 3)
	if s, ok := r.At("x:1"); !ok || s.ID != "a" {
		t.Fatalf("after a move: %+v", s)
	}
	if _, ok := r.At("nowhere:1"); ok {
		t.Fatal("a server at an unknown address")
	}
}

// An entry looks up the server of each new connection, among thousands.
func BenchmarkServerAtAddress(b *testing.B) {
	r := roster.New(roster.Config{RemoveAfter: time.Minute}, 1)
	for i := range 5200 {
		r.Observe(time.Unix(1000, 0), backend.Announcement{ID: fmt.Sprint("server-", i), Incarnation: 1, Sequence: 1, Service: "s", Address: fmt.Sprint("x:", i), State: backend.Serving})
	}
	for b.Loop() {
		r.At("x:17")
	}
}
