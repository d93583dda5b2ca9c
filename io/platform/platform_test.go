package platform_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/clock/testclock"
	"github.com/juju/errors"

	"rosereach/core/version"
	"rosereach/internal/fake"
	"rosereach/io/platform"
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	small = version.Ref{Model: "small", Version: "v1"}
	large = version.Ref{Model: "large", Version: "v1"}
)

// An engine that honors fencing numbers refuses old ones. Any other engine accepts
// them.
func TestOrder(t *testing.T) {
	newest := platform.Fence{Term: 3, Sequence: 2}
	for _, tc := range []struct {
		name   string
		honors bool
		fence  platform.Fence
		fenced bool
	}{
		{"newer term", true, platform.Fence{Term: 4, Sequence: 1}, false},
		{"repeated", true, newest, false},
		{"older sequence", true, platform.Fence{Term: 3, Sequence: 1}, true},
		{"older term", true, platform.Fence{Term: 2, Sequence: 9}, true},
		{"older term, ignored", false, platform.Fence{Term: 2, Sequence: 9}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			engine := fake.NewEngine(fake.EngineConfig{
				ID: "engine-1", Versions: []version.Ref{small}, HonorsFence: tc.honors, Clock: testclock.NewClock(start),
			})
			server := httptest.NewServer(engine.Handler())
			defer server.Close()
			address := server.Listener.Addr().String()
			var client platform.Client
			if err := client.Order(t.Context(), address, platform.Order{Fence: newest, Versions: []version.Ref{small}}); err != nil {
				t.Fatal(err)
			}
			err := client.Order(t.Context(), address, platform.Order{Fence: tc.fence, Versions: []version.Ref{large}})
			if errors.Is(err, platform.ErrFenced) != tc.fenced {
				t.Errorf("order %+v: %v", tc.fence, err)
			}
			want := []version.Ref{large}
			if tc.fenced {
				want = []version.Ref{small}
			}
			if diff := cmp.Diff(want, engine.Announcement(address).Versions); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// A rating is available after a delay, once, and only for the collector of the
// sample.
func TestRatings(t *testing.T) {
	clock := testclock.NewClock(start)
	rater := fake.NewRater(fake.RaterConfig{Quality: map[string]float64{small.String(): 0.8}, Delay: time.Minute, Clock: clock})
	server := httptest.NewServer(rater.Handler())
	defer server.Close()
	address := server.Listener.Addr().String()
	var client platform.Client
	sample := platform.Sample{Collector: "entry-1", RequestID: "r1", Workspace: "vitrina", Class: "short", Version: small}
	if err := client.SubmitSample(t.Context(), address, sample); err != nil {
		t.Fatal(err)
	}
	collect := func(collector string) []platform.Rating {
		t.Helper()
		ratings, err := client.CollectRatings(t.Context(), address, collector)
		if err != nil {
			t.Fatal(err)
		}
		return ratings
	}
	if early := collect("entry-1"); len(early) > 0 {
		t.Errorf("early: %+v", early)
	}
	clock.Advance(time.Minute)
	if foreign := collect("entry-2"); len(foreign) > 0 {
		t.Errorf("foreign: %+v", foreign)
	}
	want := []platform.Rating{{RequestID: "r1", Workspace: "vitrina", Class: "short", Version: small, Quality: 0.8}}
	if diff := cmp.Diff(want, collect("entry-1")); diff != "" {
		t.Error(diff)
	}
	if again := collect("entry-1"); len(again) > 0 {
		t.Errorf("again: %+v", again)
	}
}

// After the burst is used up, the weight store returns how long to wait.
func TestLoadRateLimit(t *testing.T) {
	clock := testclock.NewDilatedWallClock(time.Millisecond)
	store := fake.NewStore(fake.StoreConfig{PerSecond: 0.001, Burst: 1, LoadTime: time.Millisecond, Clock: clock})
	server := httptest.NewServer(store.Handler())
	defer server.Close()
	var client platform.Client
	address := server.Listener.Addr().String()
	if wait, err := client.LoadWeights(t.Context(), address, small); err != nil || wait != 0 {
		t.Fatal(wait, err)
	}
	if wait, err := client.LoadWeights(t.Context(), address, small); !errors.Is(err, platform.ErrRateLimited) || wait != time.Second {
		t.Errorf("second load: %s, %v", wait, err)
	}
}
