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

// A server that stalls for a while delays the requests that were due in that
// time; each counts from when it was due.
func TestRunCountsFromIntendedTimes(t *testing.T) {
	const stall = 400 * time.Millisecond
	var (
		server   *httptest.Server
		first    sync.Once
		arrived  time.Time
		released time.Time
		over     = make(chan struct{})
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
				close(over)
			})
		})
		<-over
		fmt.Fprint(w, `{}`)
	}))
	defer server.Close()
	profile := Profile{Name: "reads", Classes: []Class{{
		Name: "read", Weight: 1, Kind: Call, Service: "s", Method: http.MethodGet, Path: "/", Timeout: time.Minute, Idempotent: true,
	}}}
	opts := Options{
		Entries: []string{strings.TrimPrefix(server.URL, "http://")}, Sources: []Source{{Profile: profile, Rate: 100}},
		Length: stall, Seed: 1, Clock: clock.WallClock,
	}
	seen := NewRunner(opts).Run(t.Context())
	planned := Schedule(opts.Sources, opts.Length, opts.Seed)
	if len(seen) != len(planned) || len(seen) == 0 {
		t.Fatalf("%d observations of %d arrivals", len(seen), len(planned))
	}
	// The first request came no earlier than it was due, so the run began no
	// later than this.
	began := arrived.Add(-planned[0].At)
	for _, o := range seen {
		if least := released.Sub(began.Add(o.Arrival.At)); o.Total < least {
			t.Errorf("%s, due at %v, took %v, but the stall lasted %v more", o.Arrival.ID, o.Arrival.At, o.Total, least)
		}
	}
}

func sampleReport(name string, total time.Duration) Report {
	opts := Options{Sources: bothSources(2), Length: 2 * time.Second, Seed: 1}
	var seen []Observation
	for _, a := range Schedule(opts.Sources, opts.Length, opts.Seed) {
		o := Observation{Arrival: a, Total: total, FirstToken: total / 2, Gaps: []time.Duration{time.Millisecond}}
		o.Final.Reply.Whole = true
		o.Final.Sends = 1
		seen = append(seen, o)
	}
	return NewReport(name, opts, seen)
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
		t.Errorf("page without its five plots, %v", err)
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
