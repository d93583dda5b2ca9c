package forward_test

import (
	"testing"
	"time"

	"rosereach/core/forward"
)

// Few requests do not tell how long others take, and ones that were cut tell how long at least.
func TestDurationsOfFewAndCutRequests(t *testing.T) {
	var d forward.Durations
	d.ObserveAtLeast("r", time.Minute)
	for range 4 {
		d.Observe("r", time.Second)
	}
	d.ObserveAtLeast("r", 2*time.Second)
	if got := d.Longest("r"); got != 0 {
		t.Fatalf("%s after 4 requests", got)
	}
	d.Observe("r", time.Second)
	before := d.Longest("r")
	if before < time.Second {
		t.Fatalf("%s after requests of 1 s", before)
	}
	d.ObserveAtLeast("r", 100*time.Millisecond)
	if got := d.Longest("r"); got != before {
		t.Errorf("%s after a short one was cut, %s before", got, before)
	}
	for range 20 {
		d.ObserveAtLeast("r", 6*time.Second)
	}
	if got := d.Longest("r"); got < 6*time.Second {
		t.Errorf("%s after some were cut at 6 s", got)
	}
}

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
