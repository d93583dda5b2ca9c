package test

import (
	"context"
	"crypto/rand"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/juju/clock"

	"rosereach/core/request"
	"rosereach/internal/fault"
	"rosereach/internal/load"
	"rosereach/io/operator"
)

// faultFleet is a fleet with a fault proxy in front of each process: between callers
// and entries, and between entries and the control and the backend servers.
type faultFleet struct {
	*fleet
	data    string
	key     string
	lease   *fault.Proxy
	callers []*fault.Proxy
	servers map[string]*fault.Proxy
}

// proxy starts a fault proxy whose target is set later.
func proxy(t testing.TB) *fault.Proxy {
	t.Helper()
	p, err := fault.Start(t.Context(), "127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func startFaultFleet(t *testing.T) *faultFleet {
	t.Helper()
	f := &faultFleet{
		fleet: &fleet{t: t, memberKey: rand.Text(), backendKey: rand.Text(), backends: make(map[string]*process)},
		data:  t.TempDir(), key: rand.Text(), lease: proxy(t), servers: make(map[string]*fault.Proxy),
	}
	f.startControl()
	for i := range 3 {
		p := proxy(t)
		e := start(t, "entry", "--id", fmt.Sprintf("entry-%d", i+1), "--region", "central", "--availability-zone", "sanjose",
			"--controls", f.lease.Address(), "--advertise", p.Address(), "--member-key", f.memberKey,
			"--backend-key", f.backendKey, "--address-ttl", "1s")
		p.SetTarget(e.address)
		f.entries = append(f.entries, e)
		f.callers = append(f.callers, p)
	}
	waitFor(t, "leases of all entries", func() bool {
		s, err := f.operator.Status(context.Background())
		return err == nil && len(s.Entries) == len(f.entries)
	})
	for _, id := range []string{"engine-1", "engine-2"} {
		f.startServer(id, "engine", "--versions", "small@v1", "--step-time", "4ms", "--capacity", "64")
	}
	for _, id := range []string{"ledger-1", "ledger-2"} {
		f.startServer(id, "service", "--service", "ledger")
	}
	return f
}

// startControl starts the control on its data folder, or restarts it there after a
// kill.
func (f *faultFleet) startControl() {
	f.t.Helper()
	c := start(f.t, "control", "--id", "control-1", "--data", f.data, "--member-key", f.memberKey, "--operator-key", f.key)
	f.controls = []*process{c}
	f.lease.SetTarget(c.address)
	f.operator = operator.Client{Address: c.address, Key: f.key}
}

func (f *faultFleet) startServer(id, kind string, more ...string) {
	f.t.Helper()
	p := proxy(f.t)
	args := append([]string{
		"fake", kind, "--id", id, "--region", "central", "--availability-zone", "sanjose", "--advertise", p.Address(),
		"--entries", f.entryAddresses(), "--backend-key", f.backendKey,
	}, more...)
	f.backends[id] = start(f.t, args...)
	f.servers[id] = p
	p.SetTarget(f.backends[id].address)
}

// evidence collects the bills and the run logs of the backend servers. The run log of
// a killed server is lost.
func (f *faultFleet) evidence(seen []load.Observation) load.Evidence {
	f.t.Helper()
	e := load.Evidence{Seen: seen}
	for id, p := range f.backends {
		select {
		case <-p.exited:
		default:
			e.Runs = append(e.Runs, f.runs(id)...)
		}
	}
	for {
		page, err := f.operator.Bills(context.Background(), uint64(len(e.Bills)))
		if err != nil {
			f.t.Fatal(err)
		}
		if len(page) == 0 {
			return e
		}
		e.Bills = append(e.Bills, page...)
	}
}

// resetFor applies a fault plan to the proxies for a short time.
func resetFor(p fault.Plan, at ...*fault.Proxy) {
	for _, proxy := range at {
		proxy.Set(p)
		defer proxy.Set(fault.Plan{})
	}
	time.Sleep(300 * time.Millisecond)
}

// The guarantees hold under every fault in the table. Faults are injected into real
// processes while requests are running.
func TestPromisesUnderFaults(t *testing.T) {
	for _, tc := range []struct {
		name    string
		manner  load.Manner
		allDone bool
		inject  func(f *faultFleet)
	}{
		{"entry killed", load.Manner{}, false, func(f *faultFleet) { f.entries[0].kill() }},
		{"engine killed", load.Manner{}, false, func(f *faultFleet) { f.backends["engine-1"].kill() }},
		{"control killed and started again", load.Manner{}, false, func(f *faultFleet) {
			f.controls[0].kill()
			f.startControl()
		}},
		{"entry terminated", load.Manner{}, true, func(f *faultFleet) {
			if code := f.entries[0].terminate(); code != 0 {
				f.t.Errorf("exit code %d\n%s", code, f.entries[0].stderr)
			}
		}},
		{"callers reset before the first byte", load.Manner{}, false, func(f *faultFleet) { resetFor(fault.Plan{ResetAfter: -1}, f.callers...) }},
		{"backend servers reset after some", load.Manner{}, false, func(f *faultFleet) {
			resetFor(fault.Plan{ResetAfter: 700}, f.servers["engine-1"], f.servers["ledger-1"])
		}},
		{"same id at three entries", load.Manner{Twins: 3}, false, func(*faultFleet) {}},
		{"answers lost", load.Manner{LoseEvery: 2}, false, func(*faultFleet) {}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := startFaultFleet(t)
			key := f.setUp("small@v1")
			opts := load.Options{
				Sources: []load.Source{{Profile: load.Terminalna(), Key: key, Rate: 60}},
				Length:  3 * time.Second, Seed: 5, Manner: tc.manner, Clock: clock.WallClock,
			}
			for _, p := range f.callers {
				opts.Entries = append(opts.Entries, p.Address())
			}
			var seen []load.Observation
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				seen = load.NewRunner(opts).Run(context.Background())
			}()
			waitFor(t, "runs on both engines", func() bool { return len(f.runs("engine-1")) > 5 && len(f.runs("engine-2")) > 5 })
			tc.inject(f)
			<-ended
			e := f.evidence(seen)
			if len(e.Seen) < 150 || len(e.Bills) < 100 {
				t.Errorf("%d requests, %d bills", len(e.Seen), len(e.Bills))
			}
			for _, b := range e.Breaches() {
				t.Error(b)
			}
			if tc.allDone {
				for _, o := range e.Seen {
					if o.Final.Outcome() != request.Done {
						t.Errorf("%s: %s, %+v, %v", o.Arrival.ID, o.Final.Outcome(), o.Final.Reply.Problem, o.Final.Err)
					}
				}
			}
			if t.Failed() {
				t.Logf("outcomes: %s", outcomes(e.Seen))
			}
		})
	}
}

func outcomes(seen []load.Observation) string {
	counts := make(map[request.Outcome]int)
	for _, o := range seen {
		counts[o.Final.Outcome()]++
	}
	return strings.TrimPrefix(fmt.Sprint(counts), "map")
}
