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
		t.Fatal("an unreachable server is not ejected")
	}
	later := start.Add(time.Second)
	if !h.MayTry(later, "s") {
		t.Fatal("the server is not probed after the ejection")
	}
	h.Try("s")
	if h.MayTry(later, "s") {
		t.Fatal("a second request was allowed while a probe is in flight")
	}
	h.Succeed(later, "s")
	if !h.MayTry(later, "s") {
		t.Fatal("the server is not used after a successful probe")
	}
}

func TestOneFailureProvesNothing(t *testing.T) {
	h := health.NewTracker()
	h.Fail(start, "s", false)
	if !h.MayTry(start, "s") {
		t.Fatal("one failed request ejects a server")
	}
	h.Fail(start, "s", false)
	if h.MayTry(start, "s") {
		t.Fatal("two consecutive failures do not eject a server")
	}
}

// Each ejection of a server that flaps lasts longer than the one before.
func TestFlappingServerComesBackSlowly(t *testing.T) {
	h := health.NewTracker()
	now := start
	var ejections []time.Duration
	for range 4 {
		h.Fail(now, "s", true)
		begin := now
		for !h.MayTry(now, "s") {
			now = now.Add(50 * time.Millisecond)
		}
		ejections = append(ejections, now.Sub(begin))
		h.Succeed(now, "s")
		now = now.Add(time.Second)
	}
	if ejections[3] <= 2*ejections[0] {
		t.Fatalf("ejections %v do not get longer", ejections)
	}
}

func TestGreyServerShows(t *testing.T) {
	h := health.NewTracker()
	for i := range 20 {
		if i%2 == 0 {
			h.Fail(start, "grey", false)
		}
		h.Succeed(start, "grey")
		h.Succeed(start, "healthy")
	}
	if !h.IsGrey(start, "grey") || h.IsGrey(start, "healthy") {
		t.Fatalf("failure rates %.2f and %.2f", h.Share(start, "grey"), h.Share(start, "healthy"))
	}
	if h.IsGrey(start.Add(time.Minute), "grey") {
		t.Fatal("old failures do not decay")
	}
}
