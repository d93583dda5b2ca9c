package health_test

import (
	"testing"
	"time"

	"rosereach/core/health"
)

var start = time.Unix(1000, 0)

func TestHardFailureEjectsServer(t *testing.T) {
	h := health.NewTracker()
	h.RecordFailure(start, "s", true)
	if h.IsAvailable(start, "s") {
		t.Fatal("an unreachable server is not ejected")
	}
	later := start.Add(time.Second)
	if !h.IsAvailable(later, "s") {
		t.Fatal("the server is not probed after the ejection")
	}
	h.RecordAttempt("s")
	if h.IsAvailable(later, "s") {
		t.Fatal("a second request was allowed while a probe is in flight")
	}
	h.RecordSuccess(later, "s")
	if !h.IsAvailable(later, "s") {
		t.Fatal("the server is not used after a successful probe")
	}
}

func TestSingleFailureDoesNotEject(t *testing.T) {
	h := health.NewTracker()
	h.RecordFailure(start, "s", false)
	if !h.IsAvailable(start, "s") {
		t.Fatal("one failed request ejects a server")
	}
	h.RecordFailure(start, "s", false)
	if h.IsAvailable(start, "s") {
		t.Fatal("two consecutive failures do not eject a server")
	}
}

// Each ejection of a server that flaps lasts longer than the one before.
func TestFlappingServerIsEjectedLonger(t *testing.T) {
	h := health.NewTracker()
	now := start
	var ejections []time.Duration
	for range 4 {
		h.RecordFailure(now, "s", true)
		begin := now
		for !h.IsAvailable(now, "s") {
			now = now.Add(50 * time.Millisecond)
		}
		ejections = append(ejections, now.Sub(begin))
		h.RecordSuccess(now, "s")
		now = now.Add(time.Second)
	}
	if ejections[3] <= 2*ejections[0] {
		t.Fatalf("ejections %v do not get longer", ejections)
	}
}

func TestDegradedServerIsDetected(t *testing.T) {
	h := health.NewTracker()
	for i := range 20 {
		if i%2 == 0 {
			h.RecordFailure(start, "grey", false)
		}
		h.RecordSuccess(start, "grey")
		h.RecordSuccess(start, "healthy")
	}
	if !h.IsDegraded(start, "grey") || h.IsDegraded(start, "healthy") {
		t.Fatalf("failure rates %.2f and %.2f", h.FailureRate(start, "grey"), h.FailureRate(start, "healthy"))
	}
	if h.IsDegraded(start.Add(time.Minute), "grey") {
		t.Fatal("old failures do not decay")
	}
}
