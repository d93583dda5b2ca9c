package health_test

import (
	"testing"
	"time"

	"rosereach/core/health"
)

var start = time.Unix(1000, 0)

func TestHardFailurePassesServerOver(t *testing.T) {
	h := health.NewTracker()
	h.Fail(start, "s", true)
	if h.MayTry(start, "s") {
		t.Fatal("a server that cannot be reached is tried at once")
	}
	later := start.Add(time.Second)
	if !h.MayTry(later, "s") {
		t.Fatal("it is never tried again")
	}
	h.Try("s")
	if h.MayTry(later, "s") {
		t.Fatal("more than one request probes it")
	}
	h.Succeed(later, "s")
	if !h.MayTry(later, "s") {
		t.Fatal("it is not used after it answered")
	}
}

func TestOneFailureProvesNothing(t *testing.T) {
	h := health.NewTracker()
	h.Fail(start, "s", false)
	if !h.MayTry(start, "s") {
		t.Fatal("one failed request passes a server over")
	}
	h.Fail(start, "s", false)
	if h.MayTry(start, "s") {
		t.Fatal("two in a row do not")
	}
}

// A server that goes down and up by turns is passed over for longer each time.
func TestFlappingServerComesBackSlowly(t *testing.T) {
	h := health.NewTracker()
	now := start
	var pauses []time.Duration
	for range 4 {
		h.Fail(now, "s", true)
		begin := now
		for !h.MayTry(now, "s") {
			now = now.Add(50 * time.Millisecond)
		}
		pauses = append(pauses, now.Sub(begin))
		h.Succeed(now, "s")
		now = now.Add(time.Second)
	}
	if pauses[3] <= 2*pauses[0] {
		t.Fatalf("pauses %v do not grow", pauses)
	}
}

func TestGreyServerShows(t *testing.T) {
	h := health.NewTracker()
	for i := range 20 {
		if i%2 == 0 {
			h.Fail(start, "grey", false)
		}
		h.Succeed(start, "grey")
		h.Succeed(start, "sound")
	}
	if !h.IsGrey(start, "grey") || h.IsGrey(start, "sound") {
		t.Fatalf("shares %.2f and %.2f", h.Share(start, "grey"), h.Share(start, "sound"))
	}
	if h.IsGrey(start.Add(time.Minute), "grey") {
		t.Fatal("what was seen does not fade")
	}
}
