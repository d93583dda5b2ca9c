package forward_test

import (
	"testing"
	"time"

	"rosereach/core/forward"
	"rosereach/core/overload"
	"rosereach/core/route"
)

// A request is rejected by its sizes exactly where they are over a limit, which without a routing
// plan is that of bodies alone.
func TestCheckSizes(t *testing.T) {
	limits := route.Limits{MaxHeaderBytes: 2000, MaxBodyBytes: 100}
	for _, tc := range []struct {
		limits route.Limits
		head   int
		body   int64
		want   forward.Code
	}{
		{limits, 2000, 100, ""},
		{limits, 2001, 0, forward.HeaderTooLarge},
		{limits, 2001, 101, forward.HeaderTooLarge},
		{limits, 10, 101, forward.TooLarge},
		{limits, 10, -1, ""},
		{route.Limits{}, 1 << 20, 4 << 20, ""},
		{route.Limits{}, 10, 4<<20 + 1, forward.TooLarge},
	} {
		var got forward.Code
		if f := forward.CheckSizes(tc.limits, tc.head, tc.body); f != nil {
			got = f.Code
		}
		if got != tc.want {
			t.Errorf("%+v: %q", tc, got)
		}
	}
}

// Each refusal of a body promises that the request did not run; only one for want of room says when
// to come back.
func TestFailureForRefusal(t *testing.T) {
	for reason, want := range map[overload.Reason]forward.Code{
		overload.NoRoom: forward.Overloaded, overload.Stalled: forward.Overloaded, overload.TooSlow: forward.TooSlow,
	} {
		f := forward.FailureForRefusal(&overload.Refusal{Reason: reason, RetryAfter: time.Second})
		if f.Code != want || !f.IsNotRun() || (f.RetryAfter > 0) != (reason != overload.TooSlow) {
			t.Errorf("%s: %+v", reason, f)
		}
	}
}
