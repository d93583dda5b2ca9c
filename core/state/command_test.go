package state

import (
	"testing"
	"time"

	"rosereach/core/change"
	"rosereach/core/ledger"
)

// Commands get the leader's time, also when the sender's clock is far ahead, and the
// sender's command is not modified.
func TestCommandWithTime(t *testing.T) {
	leader := time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)
	ahead := leader.Add(24 * time.Hour)
	for name, c := range map[string]Command{
		"change": {Change: &change.Change{At: ahead}},
		"begin":  {Begin: &ledger.Begin{At: ahead}},
		"finish": {Finish: &ledger.Finish{At: ahead}},
	} {
		if got := timeOf(c.WithTime(leader)); !got.Equal(leader) {
			t.Errorf("%s: %s, want %s", name, got, leader)
		}
		if got := timeOf(c); !got.Equal(ahead) {
			t.Errorf("%s: the sender's command changed to %s", name, got)
		}
	}
}

func timeOf(c Command) time.Time {
	switch {
	case c.Change != nil:
		return c.Change.At
	case c.Begin != nil:
		return c.Begin.At
	}
	return c.Finish.At
}
