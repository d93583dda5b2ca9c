package cmd

import (
	"testing"
	"time"

	"rosereach/core/drain"
)

// What follows the exit has to end before the process is killed, with every grace time: the two
// waits for handlers, and the log's last lines.
func TestWhatFollowsTheExitFitsIntoTheGraceTime(t *testing.T) {
	signaled := time.Unix(1_000_000, 0)
	for _, grace := range []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second, 30 * time.Second} {
		s := drain.Settings{Grace: grace, ListLife: listLife}.Begin(signaled)
		left := signaled.Add(grace).Sub(s.Exits())
		var p platformEntry
		p.stop.Store(&s)
		if needed := 2*p.endTime() + 2*sideEndTime + p.flushTime(); needed > left {
			t.Errorf("grace time of %s: %s between the exit and the kill, %s needed", grace, left, needed)
		}
	}
}
