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
	dataFolder     string
	operatorKey    string
	controlProxy   *fault.Proxy
	entryProxies   []*fault.Proxy
	backendProxies map[string]*fault.Proxy
}

// startUntargetedProxy starts a fault proxy whose target is set later.
func startUntargetedProxy(t testing.TB) *fault.Proxy {
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
		fleet:      &fleet{t: t, memberKey: rand.Text(), backendKey: rand.Text(), backends: make(map[string]*process)},
		dataFolder: t.TempDir(), operatorKey: rand.Text(), controlProxy: startUntargetedProxy(t), backendProxies: make(map[string]*fault.Proxy),
	}
	f.startControl()
	for i := range 3 {
		p := startUntargetedProxy(t)
		e := startProcess(t, "entry", "--id", fmt.Sprintf("entry-%d", i+1), "--region", "central", "--availability-zone", "sanjose",
			"--controls", f.controlProxy.Address(), "--advertise", p.Address(), "--member-key", f.memberKey,
			"--backend-key", f.backendKey, "--address-ttl", "1s")
		p.SetTarget(e.address)
		f.entries = append(f.entries, e)
		f.entryProxies = append(f.entryProxies, p)
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
	c := startProcess(f.t, "control", "--id", "control-1", "--data", f.dataFolder, "--member-key", f.memberKey, "--operator-key", f.operatorKey)
	f.controls = []*process{c}
	f.controlProxy.SetTarget(c.address)
	f.operator = operator.Client{Address: c.address, Key: f.operatorKey}
}

func (f *faultFleet) startServer(id, kind string, more ...string) {
	f.t.Helper()
	p := startUntargetedProxy(f.t)
	args := append([]string{
		"fake", kind, "--id", id, "--region", "central", "--availability-zone", "sanjose", "--advertise", p.Address(),
		"--entries", f.entryAddresses(), "--backend-key", f.backendKey,
	}, more...)
	f.backends[id] = startProcess(f.t, args...)
	f.backendProxies[id] = p
	p.SetTarget(f.backends[id].address)
}

// evidence collects the bills and the run logs of the backend servers. The run log of
// a killed server is lost.
func (f *faultFleet) evidence(seen []load.Observation) load.Evidence {
	f.t.Helper()
	e := load.Evidence{Observations: seen}
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

// applyBriefly applies a fault plan to the proxies for a short time.
func applyBriefly(p fault.Plan, at ...*fault.Proxy) {
	for _, proxy := range at {
		proxy.SetPlan(p)
		defer proxy.SetPlan(fault.Plan{})
	}
	time.Sleep(300 * time.Millisecond)
}

// The guarantees hold under every fault in the table. Faults are injected into real
// processes while requests are running.
func TestGuaranteesUnderFaults(t *testing.T) {
	for _, tc := range []struct {
		name    string
		manner  load.CallerBehavior
		allDone bool
		inject  func(f *faultFleet)
	}{
		{"entry killed", load.CallerBehavior{}, false, func(f *faultFleet) { f.entries[0].kill() }},
		{"engine killed", load.CallerBehavior{}, false, func(f *faultFleet) { f.backends["engine-1"].kill() }},
		{"control killed and started again", load.CallerBehavior{}, false, func(f *faultFleet) {
			f.controls[0].kill()
			f.startControl()
		}},
		{"entry terminated", load.CallerBehavior{}, true, func(f *faultFleet) {
			if code := f.entries[0].terminate(); code != 0 {
				f.t.Errorf("exit code %d\n%s", code, f.entries[0].stderr)
			}
		}},
		{"callers reset before the first byte", load.CallerBehavior{}, false, func(f *faultFleet) { applyBriefly(fault.Plan{ResetAfterBytes: -1}, f.entryProxies...) }},
		{"backend servers reset after some", load.CallerBehavior{}, false, func(f *faultFleet) {
			applyBriefly(fault.Plan{ResetAfterBytes: 700}, f.backendProxies["engine-1"], f.backendProxies["ledger-1"])
		}},
		{"same id at three entries", load.CallerBehavior{Copies: 3}, false, func(*faultFleet) {}},
		{"answers lost", load.CallerBehavior{DropEvery: 2}, false, func(*faultFleet) {}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := startFaultFleet(t)
			key := f.setUpDocuments("small@v1")
			opts := load.Options{
				Sources:  []load.Source{{Profile: load.Terminalna(), Key: key, Rate: 60}},
				Duration: 3 * time.Second, Seed: 5, Behavior: tc.manner, Clock: clock.WallClock,
			}
			for _, p := range f.entryProxies {
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
			if len(e.Observations) < 150 || len(e.Bills) < 100 {
				t.Errorf("%d requests, %d bills", len(e.Observations), len(e.Bills))
			}
			for _, b := range e.Violations() {
				t.Error(b)
			}
			if tc.allDone {
				for _, o := range e.Observations {
					if o.Result.Outcome() != request.Done {
						t.Errorf("%s: %s, %+v, %v", o.Arrival.ID, o.Result.Outcome(), o.Result.Reply.Problem, o.Result.Err)
					}
				}
			}
			if t.Failed() {
				t.Logf("outcomes: %s", outcomeCounts(e.Observations))
			}
		})
	}
}

func outcomeCounts(seen []load.Observation) string {
	counts := make(map[request.Outcome]int)
	for _, o := range seen {
		counts[o.Result.Outcome()]++
	}
	return strings.TrimPrefix(fmt.Sprint(counts), "map")
}
