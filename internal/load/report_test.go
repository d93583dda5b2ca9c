package load

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/clock"
)

// Guards against coordinated omission: while a server stalls, the latency of
// each request counts from its scheduled time.
func TestRunMeasuresFromScheduledTimes(t *testing.T) {
	const stall = 400 * time.Millisecond
	var (
		server   *httptest.Server
		first    sync.Once
		arrived  time.Time
		released time.Time
		resume   = make(chan struct{})
	)
	server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/v1/addresses") {
			fmt.Fprintf(w, `{"addresses":[%q],"ttl_ms":60000}`, strings.TrimPrefix(server.URL, "http://"))
			return
		}
		first.Do(func() {
			arrived = time.Now()
			time.AfterFunc(stall, func() {
				released = time.Now()
				close(resume)
			})
		})
		<-resume
		fmt.Fprint(w, `{}`)
	}))
	defer server.Close()
	profile := Profile{Name: "reads", Classes: []Class{{
		Name: "read", Weight: 1, Kind: Call, Service: "s", Method: http.MethodGet, Path: "/", Timeout: time.Minute, Idempotent: true,
	}}}
	opts := Options{
		Entries: []string{strings.TrimPrefix(server.URL, "http://")}, Sources: []Source{{Profile: profile, Rate: 100}},
		Duration: stall, Seed: 1, Clock: clock.WallClock,
	}
	observations := NewRunner(opts).Run(t.Context())
	planned := Schedule(opts.Sources, opts.Duration, opts.Seed)
	if len(observations) != len(planned) || len(observations) == 0 {
		t.Fatalf("%d observations of %d arrivals", len(observations), len(planned))
	}
	// The first request arrived no earlier than scheduled, so this is an upper
	// bound of the start of the run.
	began := arrived.Add(-planned[0].At)
	for _, o := range observations {
		if minimum := released.Sub(began.Add(o.Arrival.At)); o.Total < minimum {
			t.Errorf("%s, scheduled at %v, took %v, but the stall lasted %v longer", o.Arrival.ID, o.Arrival.At, o.Total, minimum)
		}
	}
}

func sampleReport(name string, total time.Duration) Report {
	opts := Options{Sources: bothSources(2), Duration: 2 * time.Second, Seed: 1}
	var observations []Observation
	for _, a := range Schedule(opts.Sources, opts.Duration, opts.Seed) {
		o := Observation{Arrival: a, Total: total, FirstToken: total / 2, TokenIntervals: []time.Duration{time.Millisecond}}
		o.Result.Reply.Complete = true
		o.Result.Sends = 1
		observations = append(observations, o)
	}
	return NewReport(name, opts, observations)
}

func TestReportRoundTrip(t *testing.T) {
	folder := t.TempDir()
	want := sampleReport("a", 20*time.Millisecond)
	if err := want.Write(folder); err != nil {
		t.Fatal(err)
	}
	got, err := ReadReport(filepath.Join(folder, "a.json"))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	p, ok := got.Find(allClasses, MeasureTotal)
	if !ok || p.Count != int64(got.Planned) || p.Millis["p99"] < 19.9 || p.Millis["p99"] > 20.1 {
		t.Errorf("total: %+v", p)
	}
	page, err := os.ReadFile(filepath.Join(folder, "a.html"))
	if err != nil || strings.Count(string(page), "data:image/png;base64,") != 5 {
		t.Errorf("the page does not contain five plots, error %v", err)
	}
}

func TestCompare(t *testing.T) {
	text := Compare(sampleReport("a", 20*time.Millisecond), sampleReport("b", 30*time.Millisecond))
	for _, want := range []string{"+50.", "all total p99 ms", "done"} {
		if !strings.Contains(text, want) {
			t.Errorf("no %q in\n%s", want, text)
		}
	}
}
