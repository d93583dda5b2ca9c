package httpd

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/juju/clock"

	"rosereach/core/overload"
	"rosereach/internal/logs"
)

// Handlers that panicked for long used up the log's reserve, so that lines about requests that a later
// stop cut were dropped.
func TestPanicsLeaveTheReserveOfTheLog(t *testing.T) {
	const cut = 1024
	var lines bytes.Buffer
	ctx, cancel := context.WithCancel(t.Context())
	logger := logs.New(ctx, &lines, clock.WallClock, 1)
	guard := NewGuard(overload.LimitsFor(0, 0), clock.WallClock, logger)
	for range 20_000 {
		guard.recordPanic("id-1", "out of order")
	}
	for range cut {
		logger.Log("msg", logs.Reserved("Request is cut by the stop."), "id", "id-2")
	}
	cancel()
	logger.Wait(10 * time.Second)
	if n := strings.Count(lines.String(), "id-2"); n != cut {
		t.Errorf("%d of %d lines of cut requests are kept", n, cut)
	}
}
