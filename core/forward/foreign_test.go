package forward_test

import (
	"testing"

	"rosereach/core/forward"
	"rosereach/core/framing"
	"rosereach/core/route"
)

// An own answer can follow only what ends, on a connection that has served other requests, and the
// wait for it is bounded.
func TestForeignAnswersAreReadPastWithinBounds(t *testing.T) {
	for name, c := range map[string]struct {
		f    forward.Foreign
		want bool
	}{
		"by length":          {forward.Foreign{Reused: true, Mark: framing.ByLength, Length: 7}, true},
		"by chunks":          {forward.Foreign{Reused: true, Mark: framing.ByChunks, Length: -1}, true},
		"by close":           {forward.Foreign{Reused: true, Mark: framing.ByClose, Length: -1}, false},
		"then closes":        {forward.Foreign{Reused: true, Mark: framing.ByLength, Closes: true}, false},
		"new connection":     {forward.Foreign{Mark: framing.ByLength, Length: 7}, false},
		"last of the number": {forward.Foreign{Reused: true, Mark: framing.ByLength, Before: 2}, true},
		"too many":           {forward.Foreign{Reused: true, Mark: framing.ByLength, Before: 3}, false},
		"longest":            {forward.Foreign{Reused: true, Mark: framing.ByLength, Length: 1 << 20}, true},
		"too long":           {forward.Foreign{Reused: true, Mark: framing.ByLength, Length: 1<<20 + 1}, false},
		"too long together":  {forward.Foreign{Reused: true, Mark: framing.ByLength, Length: 8, Before: 1, BytesBefore: 1<<20 - 7}, false},
	} {
		maxBytes, ok := c.f.MayReadPast()
		if ok != c.want || ok && maxBytes != 1<<20-c.f.BytesBefore {
			t.Errorf("%s: %d, %v", name, maxBytes, ok)
		}
	}
}

// Only the last attempt of a begun answer needs a connection that was not in use.
func TestLastAttemptOfBegunAnswersNeedsUnusedConn(t *testing.T) {
	r := route.Route{Kind: route.Streaming, Resumable: true, MaxAttempts: 3}
	for runs, want := range []bool{false, false, true} {
		if got := forward.NeedsUnusedConn(r, true, runs); got != want {
			t.Errorf("begun, %d runs: %v", runs, got)
		}
		if forward.NeedsUnusedConn(r, false, runs) {
			t.Errorf("not begun, %d runs: needs one", runs)
		}
	}
}
