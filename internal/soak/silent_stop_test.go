package soak

import (
	"testing"
	"time"

	"rosereach/platform"
)

// A stream whose server falls silent well before the exit goes on at another one in time, also if
// its entry knows nothing of its route.
func TestStreamsSilentWellBeforeTheExitGoOn(t *testing.T) {
	f := startStopFleet(t, platform.SimulatedGracePeriod)
	callers := f.connect(40)
	wanted := script{events: 36, pause: 100 * time.Millisecond, lost: true, first: 35}
	f.after(0, callers, func(c *stopCaller) { c.send("streaming", wanted, patientTime, nil) })
	f.awaitArrivals(2 * len(callers))
	f.terminate()
	f.checkNoneLost(f.awaitEnd())
}

// A stream that outlasts the stop, as its entry knows, and whose server falls silent early is with
// a server that is at work when it is cut at the exit.
func TestSilentStreamsThatOutlastTheStopAreNotLost(t *testing.T) {
	f := startStopFleet(t, platform.SimulatedGracePeriod)
	callers := f.connect(40)
	f.after(0, callers, func(c *stopCaller) {
		c.send("streaming", script{events: 80, pause: 100 * time.Millisecond}, patientTime, nil)
	})
	f.callers.Wait()
	wanted := script{events: 120, pause: 100 * time.Millisecond, lost: true, first: 35}
	f.after(0, callers, func(c *stopCaller) { c.send("streaming", wanted, patientTime, nil) })
	f.awaitArrivals(3 * len(callers))
	f.terminate()
	f.checkNoneLost(f.awaitEnd())
}
