package roster_test

import (
	"fmt"
	"testing"
	"time"

	"rosereach/core/backend"
	"rosereach/core/roster"
)

// Every change of a server must show in the next list, although the list is kept
// between changes.
func TestServingFollowsEveryChange(t *testing.T) {
	r := roster.New(cfg, 1)
	for _, step := range []struct {
		name   string
		change func()
		want   int
	}{
		{"none is known", func() {}, 0},
		{"one announces itself", func() { r.Observe(start, server("1", 10, 1, backend.Serving)) }, 1},
		{"another", func() {
			r.ApplyDelta(start, roster.Delta{Records: []roster.Record{{Server: server("2", 10, 1, backend.Serving)}}})
		}, 2},
		{"one leaves", func() { r.MarkLeaving(start, "1", 0) }, 1},
		{"a newer one takes the address", func() {
			next := server("3", 20, 1, backend.Serving)
			next.Address = server("2", 10, 1, backend.Serving).Address
			r.Observe(start, next)
		}, 1},
		{"it announces that it leaves", func() { r.MarkLeaving(start, "3", 0) }, 0},
		{"one is removed", func() {
			r.Observe(start, server("4", 20, 1, backend.Serving))
			r.Expire(start.Add(2 * cfg.RemoveAfter))
		}, 0},
	} {
		step.change()
		if got := len(serving(r)); got != step.want {
			t.Fatalf("%s: %d servers, want %d", step.name, got, step.want)
		}
	}
}

// An entry asks for the list at every request. Its cost must not grow with the
// square of the number of servers.
func BenchmarkServing(b *testing.B) {
	for _, n := range []int{20, 160} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := roster.New(cfg, 1)
			for i := range n {
				r.Observe(time.Unix(1000, 0), server(fmt.Sprint(i), 10, 1, backend.Serving))
			}
			for b.Loop() {
				r.Serving("s")
			}
		})
	}
}
