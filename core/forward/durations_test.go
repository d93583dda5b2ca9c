package forward_test

import (
	"testing"
	"time"

	"rosereach/core/forward"
)

// The longest duration of a route covers what its requests mostly take, and an unknown route
// delays nothing.
func TestLongestDurationCoversMostRequests(t *testing.T) {
	var d forward.Durations
	if got := d.Longest("r"); got != 0 {
		t.Fatalf("%s for an unknown route", got)
	}
	for i := range 200 {
		d.Observe("r", time.Duration(800+i%5*100)*time.Millisecond)
	}
	if got := d.Longest("r"); got < 1200*time.Millisecond || got > 2*time.Second {
		t.Fatalf("%s for requests of 0.8 to 1.2 s", got)
	}
}
