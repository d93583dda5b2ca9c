package lease

import (
	"fmt"
	"testing"
	"time"
)

// An entry receives the list again when an entry joins, drains or leaves, and when a
// refresh of the loads is due, but not with every grant.
func TestEntryList(t *testing.T) {
	start := time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)
	request := Request{Entry: "entry-0", Incarnation: 1}
	for _, tc := range []struct {
		name  string
		after time.Duration
		do    func(g *Grantor, now time.Time)
		sent  bool
	}{
		{"nothing changed", 0, func(*Grantor, time.Time) {}, false},
		{"only a load changed", 0, func(g *Grantor, now time.Time) {
			g.Grant(now, 1, 0, Request{Entry: "entry-1", Incarnation: 1, Load: 9})
		}, false},
		{"an entry joined", 0, func(g *Grantor, now time.Time) {
			g.Grant(now, 1, 0, Request{Entry: "entry-new", Incarnation: 1})
		}, true},
		{"an entry restarted", 0, func(g *Grantor, now time.Time) {
			g.Grant(now, 1, 0, Request{Entry: "entry-1", Incarnation: 2})
		}, true},
		{"an entry drains", 0, func(g *Grantor, now time.Time) {
			g.Grant(now, 1, 0, Request{Entry: "entry-1", Incarnation: 1, Draining: true})
		}, true},
		{"an entry left", 0, func(g *Grantor, _ time.Time) { g.Release("entry-1", 1) }, true},
		{"loads are due", 360 * refreshPerEntry, func(g *Grantor, now time.Time) {
			for i := range 360 {
				g.Grant(now, 1, 0, Request{Entry: fmt.Sprintf("entry-%d", i), Incarnation: 1})
			}
		}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewGrantor(DefaultConfig())
			for i := range 360 {
				g.Grant(start, 1, 0, Request{Entry: fmt.Sprintf("entry-%d", i), Incarnation: 1})
			}
			version, list := g.EntryList(start, request)
			if len(list) != 360 {
				t.Fatalf("first list of %d entries", len(list))
			}
			now := start.Add(tc.after)
			tc.do(g, now)
			again := request
			again.ListVersion = version
			if _, list := g.EntryList(now, again); (len(list) > 0) != tc.sent {
				t.Errorf("%d entries sent, want some: %t", len(list), tc.sent)
			}
		})
	}
}
