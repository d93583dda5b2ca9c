package soak

import (
	"net/http"
	"testing"
	"time"
)

// testSeries stops an entry while streams of sound servers end or go on in the given way, and checks
// that all of them are whole.
func testSeries(t *testing.T, way ending) {
	t.Helper()
	f := startStopFleet(t, shortGracePeriod)
	callers := f.connect(10)
	wanted := script{events: 15, pause: 100 * time.Millisecond, ending: way}
	f.after(0, callers, func(c *stopCaller) { c.send("streaming", wanted, patientTime, nil) })
	f.awaitArrivals(2 * len(callers))
	f.terminate()
	outcomes := f.awaitEnd()
	f.checkNoneLost(outcomes)
	whole := 0
	for _, o := range outcomes {
		if o.status == http.StatusOK && o.body == wanted.stream() {
			whole++
		}
	}
	if whole != len(callers) {
		t.Errorf("%d of %d streams are whole", whole, len(callers))
	}
}

// Guards against streams that break off in a series at sound servers, because what the first one
// wrote behind its last event contradicts all others.
func TestStreamsWithBytesBehindTheirEndsAreNotLost(t *testing.T) { testSeries(t, spoilt) }

// Guards against the same where ids are left out.
func TestStreamsWhoseIDsJumpAreNotLost(t *testing.T) { testSeries(t, jumping) }

// Guards against the same where no server marks the ends of its streams.
func TestUnframedStreamsAreNotLost(t *testing.T) { testSeries(t, unframed) }

// Guards against streams that two servers have ended and that are cut at the exit, since the third
// server does not answer.
func TestStreamsThatTwoServersEndAreNotLostAtASilentOne(t *testing.T) { testSeries(t, deserted) }
