package soak

import (
	"testing"
	"time"

	"rosereach/platform"
)

// Streams of which only the end is left to come are taken from their servers before the exit, more
// than the budget has retries to prove their ends with: they are not cut without a server at work.
func TestStreamsThatAwaitTheirEndInAStopAreNotLost(t *testing.T) {
	f := startStopFleet(t, platform.SimulatedGracePeriod)
	const n, lastEvent, end = 150, 6050 * time.Millisecond, 6900 * time.Millisecond
	stopAt := time.Now().Add(2 * time.Second)
	callers := make([]*stopCaller, n)
	for i := range callers {
		callers[i] = f.newCaller(i)
	}
	f.after(0, callers, func(c *stopCaller) {
		left := time.Until(stopAt) + end
		events := left / (end - lastEvent)
		c.send("streaming", script{events: uint64(events), pause: left / events}, patientTime, nil)
	})
	time.Sleep(time.Until(stopAt))
	f.terminate()
	f.checkNoneLost(f.awaitEnd())
}
