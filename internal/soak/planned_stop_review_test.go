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
