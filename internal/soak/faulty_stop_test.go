package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"rosereach/platform"
)

// simulatedAttempts is the number of servers to which a request may go.
const simulatedAttempts = 3

// Streams to engines go on around a planned stop of an entry with little processor, although half of
// the servers fail a quarter of what they get and any of them loses streams, and they run at no more
// servers than their route allows.
func TestStreamsOfFaultyServersAreNotLost(t *testing.T) {
	for seed := range uint64(2) {
		t.Run("", func(t *testing.T) { testFaultyServers(t, seed+1) })
	}
}

func testFaultyServers(t *testing.T, seed uint64) {
	f := startStopFleet(t, platform.SimulatedGracePeriod)
	callers := f.connect(120)
	for _, srv := range f.servers[:len(f.servers)/2] {
		srv.setFaulty(true)
	}
	limited, endLimit := context.WithCancel(t.Context())
	defer endLimit()
	go f.entry.limitProcessor(limited, processorShare)
	for i, c := range callers {
		f.callers.Go(func() { c.sendStreams(rand.New(rand.NewPCG(seed, uint64(i)))) }) //nolint:gosec // deterministic requests for a given seed
	}
	f.awaitArrivals(4 * len(callers))
	f.terminate()
	outcomes := f.awaitEnd()
	f.checkNoneLost(outcomes)
	for _, o := range outcomes {
		servers := make(map[string]bool)
		for _, a := range f.arrivals.of(o.id) {
			if a.fault != 1 {
				servers[a.server] = true
			}
		}
		if len(servers) > simulatedAttempts {
			t.Errorf("ran at %d servers: %s", len(servers), f.describe(o))
		}
	}
}

// sendStreams sends one stream after the other, of which servers lose every third one in its first
// run, until the entry is gone.
func (c *stopCaller) sendStreams(random *rand.Rand) {
	for {
		wanted := script{events: uint64(8 + random.IntN(40)), pause: time.Duration(20+random.IntN(60)) * time.Millisecond, lost: random.IntN(3) == 0}
		o := c.send(platform.SimulatedEngineKind, wanted, patientTime, nil)
		pause := time.Duration(random.IntN(40)) * time.Millisecond
		switch o.status {
		case 0:
			return
		case http.StatusServiceUnavailable:
			pause += 300 * time.Millisecond
		}
		time.Sleep(pause)
	}
}
