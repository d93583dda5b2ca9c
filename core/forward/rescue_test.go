package forward_test

import (
	"testing"

	"rosereach/core/forward"
	"rosereach/core/route"
)

// Only a begun stream gets one attempt more than its route's, and only in a stop.
func TestRescueOfBegunStreams(t *testing.T) {
	r := route.Route{Kind: route.Streaming, Resumable: true, MaxAttempts: 3}
	once, safe, single := r, r, r
	once.Resumable, safe.Kind, single.MaxAttempts = false, route.Safe, 1
	for name, c := range map[string]struct {
		r               route.Route
		begun, stopping bool
		runs            int
		want            bool
	}{
		"last attempt":  {r, true, true, 3, true},
		"rescue":        {r, true, true, 4, false},
		"not begun":     {r, false, true, 3, false},
		"no stop":       {r, true, false, 3, false},
		"not resumable": {once, true, true, 3, false},
		"no stream":     {safe, true, true, 3, false},
		"one server":    {single, true, true, 1, false},
	} {
		if got := forward.MayRescue(c.r, c.begun, c.stopping, c.runs); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
	for servers, want := range []bool{false, false, false, true, true} {
		if got := forward.IsOutOfServers(r, servers); got != want {
			t.Errorf("%d servers: %v", servers, got)
		}
	}
}
