package experiment

import (
	"testing"
	"time"

	"rosereach/internal/fake"
	"rosereach/internal/load"
)

func observed(id string, kind load.Kind, total time.Duration, sends int, whole bool) load.Observation {
	o := load.Observation{Arrival: load.Arrival{ID: id, Class: load.Class{Kind: kind, Idempotent: true}}, Total: total}
	o.Result.Sends = sends
	o.Result.Reply.Complete = whole
	return o
}

func TestCountAffected(t *testing.T) {
	e := load.Evidence{
		Observations: []load.Observation{
			observed("plain", load.Call, time.Millisecond, 1, true),
			observed("long chat", load.Chat, 2*slowCallTime, 1, true),
			observed("slow call", load.Call, 2*slowCallTime, 1, true),
			observed("sent again", load.Chat, 0, 2, true),
			observed("failed", load.Chat, 0, 1, false),
			observed("tried again", load.Chat, 0, 1, true),
		},
		Runs: []fake.Run{{RequestID: "plain", Attempt: 1}, {RequestID: "tried again", Attempt: 2}},
	}
	if n := countAffected(e); n != 4 {
		t.Errorf("touched %d, want 4", n)
	}
}

// A violation, a fault without effect and an incomplete request each miss their
// bounds.
func TestFaultResultBounds(t *testing.T) {
	table := []faultCase{{name: "a", mustAffect: true, mustComplete: true}}
	good := faultCount{sent: 2, done: 2, affected: 1}
	for _, tc := range []struct {
		name   string
		change func(*faultCount)
		missed int
	}{
		{"good", func(*faultCount) {}, 0},
		{"breach", func(c *faultCount) { c.violations = []load.Violation{{Guarantee: load.RunOnce}} }, 2},
		{"hit nothing", func(c *faultCount) { c.affected = 0 }, 1},
		{"not all done", func(c *faultCount) { c.done = 1 }, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := good
			tc.change(&c)
			r := faultResult(table, [][]faultCount{{good, c}}, 2)
			if missed := r.Missed(); len(missed) != tc.missed {
				t.Errorf("missed %+v", missed)
			}
		})
	}
}
