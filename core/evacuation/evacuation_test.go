package evacuation_test

import (
	"testing"

	"rosereach/core/evacuation"
)

// A copy of an order that was delayed until the order was withdrawn must not evacuate the
// zone again.
func TestDelayedCopyDoesNotUndoALaterOrder(t *testing.T) {
	var current evacuation.Order
	revision := uint64(10)
	apply := func(o evacuation.Order) evacuation.Verdict {
		v := o.Judge(current)
		if v == evacuation.Accept {
			revision++
			current = o
			current.Revision = revision
		}
		return v
	}
	order := func(active bool) evacuation.Order {
		return evacuation.Order{Zone: "z", Active: active, SeenRevision: current.Revision}
	}
	delayed := order(true)
	steps := []struct {
		order func() evacuation.Order
		want  evacuation.Verdict
	}{
		{func() evacuation.Order { return order(false) }, evacuation.Repeat},
		{func() evacuation.Order { return delayed }, evacuation.Accept},
		{func() evacuation.Order { return delayed }, evacuation.Repeat},
		{func() evacuation.Order { return order(true) }, evacuation.Repeat},
		{func() evacuation.Order { return order(false) }, evacuation.Accept},
		{func() evacuation.Order { return delayed }, evacuation.Overtaken},
		{func() evacuation.Order { return order(true) }, evacuation.Accept},
	}
	for i, s := range steps {
		if got := apply(s.order()); got != s.want {
			t.Fatalf("step %d: verdict %d, want %d", i, got, s.want)
		}
	}
}
