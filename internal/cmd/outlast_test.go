package cmd

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/juju/clock/testclock"

	"rosereach/core/drain"
	"rosereach/internal/logs"
	"rosereach/platform"
)

// A part that did not end, such as a write to a slow disk, held a process until it was killed, with the
// last lines of its log.
func TestProcessLeavesBesidePartsThatStay(t *testing.T) {
	for _, grace := range []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second, 30 * time.Second} {
		c := testclock.NewClock(time.Unix(1_000_000, 0))
		exits := drain.Settings{Grace: grace, ListLife: listLife}.Begin(c.Now()).Exits().Sub(c.Now())
		p := &platformProcess{logger: log.NewNopLogger(), clock: c}
		settings := platform.Settings{}
		settings.Bounds.GracePeriod = grace
		p.current.Store(&settings)
		if got := p.logTime(logs.FlushTimeout); got != logs.FlushTimeout {
			t.Errorf("without a stop the log has %s", got)
		}
		leave, ended := make(chan struct{}), make(chan error, 1)
		defer close(leave)
		ctx, stop := context.WithCancel(t.Context())
		go func() {
			ended <- p.runInTime(ctx, func(context.Context) error {
				<-leave
				return nil
			})
		}()
		stop()
		if err := c.WaitAdvance(exits, 10*time.Second, 1); err != nil {
			t.Fatal(err)
		}
		select {
		case err := <-ended:
			t.Fatalf("grace time of %s: left at the exit: %v", grace, err)
		default:
		}
		left := grace - exits
		c.Advance(left * 2 / 3)
		select {
		case err := <-ended:
			if !errors.Is(err, errOutlasted) {
				t.Error(err)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("grace time of %s: the process stays", grace)
		}
		if got := p.logTime(logs.FlushTimeout); got <= 0 || got >= left/3 {
			t.Errorf("grace time of %s: the log has %s of %s", grace, got, left/3)
		}
	}
}
