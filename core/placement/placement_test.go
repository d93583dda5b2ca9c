package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"rosereach/core/backend"
)

var start = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

func server(id string, queued, running int) backend.Announcement {
	return backend.Announcement{ID: id, Capacity: 16, Load: backend.Load{MeasuredAt: start, Queued: queued, Running: running}}
}

// The policy prefers a server with a cached prefix unless its queue, its backlog
// or its distance outweighs the saving.
func TestPredictedPick(t *testing.T) {
	d := Demand{InputTokens: 5000, OutputTokens: 100}
	p := NewPredicted()
	p.RandomChoices = 20
	for _, tc := range []struct {
		name       string
		candidates []Candidate
		want       int
	}{
		{"prefix", []Candidate{{Server: server("a", 0, 0), SameRegion: true}, {Server: server("b", 0, 2), CachedShare: 0.9, SameRegion: true}}, 1},
		{"prefix behind a queue", []Candidate{{Server: server("a", 0, 0), SameRegion: true}, {Server: server("b", 30, 16), CachedShare: 0.9, SameRegion: true}}, 0},
		{"prefix behind own prompts", []Candidate{{Server: server("a", 0, 0), SameRegion: true}, {Server: server("b", 0, 2), CachedShare: 0.9, BacklogTokens: 9000, SameRegion: true}}, 0},
		{"nearer", []Candidate{{Server: server("a", 0, 0), NetworkLatency: 30 * time.Millisecond}, {Server: server("b", 0, 0), SameRegion: true}}, 1},
		{"own requests are not counted twice", []Candidate{{Server: server("a", 0, 8), InFlight: 8, InFlightAtReport: 8, SameRegion: true}, {Server: server("b", 0, 12), SameRegion: true}}, 0},
	} {
		if got := p.Pick(start, d, tc.candidates, rand.New(rand.NewPCG(1, 1))); got != tc.want {
			t.Errorf("%s: picked %d", tc.name, got)
		}
	}
}

// The tracker counts the requests in flight, both now and at the time of an older
// load report. The backlog of prompt tokens shrinks as the server reads them.
func TestTracker(t *testing.T) {
	k := NewTracker(time.Millisecond)
	k.Start(start, "a", 1000)
	k.Start(start.Add(time.Second/2), "a", 1000)
	k.End(start.Add(2*time.Second), "a")
	if got := k.InFlight("a"); got != 1 {
		t.Errorf("in flight %d", got)
	}
	if got := k.InFlightAt("a", start.Add(time.Second)); got != 2 {
		t.Errorf("in flight at the report %d", got)
	}
	if got := k.Backlog(start.Add(time.Second), "a"); got != 1000 {
		t.Errorf("backlog %d", got)
	}
	if got := k.InFlight("b"); got != 0 {
		t.Errorf("in flight on an unknown server %d", got)
	}
}

// The index follows sent prompts and cache events, and entries expire.
func TestPrefixIndex(t *testing.T) {
	p := NewPrefixIndex(3, time.Minute)
	prompt := []Chunk{{1, 60}, {2, 20}, {3, 20}}
	p.StoreAll(start, "a", prompt[:2])
	for _, tc := range []struct {
		name string
		do   func()
		at   time.Time
		want float64
	}{
		{"stored", func() {}, start, 0.8},
		{"event", func() { p.Store(start, "a", 3) }, start, 1},
		{"out of memory", func() { p.Store(start, "a", 9) }, start, 0},
		{"stored again", func() { p.StoreAll(start.Add(time.Second), "a", prompt) }, start.Add(time.Second), 1},
		{"evicted", func() { p.Evict("a", 2) }, start.Add(time.Second), 0.6},
		{"old", func() {}, start.Add(2 * time.Minute), 0},
	} {
		tc.do()
		if got := p.CachedShare(tc.at, "a", prompt); got != tc.want {
			t.Errorf("%s: share %v, want %v", tc.name, got, tc.want)
		}
	}
}

// A subset has the requested size, is deterministic, differs between entries and
// changes only by the server that is removed.
func TestSubset(t *testing.T) {
	var servers []backend.Announcement
	for i := range 40 {
		servers = append(servers, backend.Announcement{ID: fmt.Sprintf("s%02d", i)})
	}
	first := ids(Subset("entry-1", servers, 8))
	if diff := cmp.Diff(first, ids(Subset("entry-1", servers, 8))); diff != "" || len(first) != 8 {
		t.Errorf("subset of %d: %s", len(first), diff)
	}
	if cmp.Equal(first, ids(Subset("entry-2", servers, 8))) {
		t.Error("two entries have the same subset")
	}
	var rest []backend.Announcement
	for _, s := range servers {
		if s.ID != first[3] {
			rest = append(rest, s)
		}
	}
	kept := 0
	for _, id := range ids(Subset("entry-1", rest, 8)) {
		for _, old := range first {
			if id == old {
				kept++
			}
		}
	}
	if kept != 7 {
		t.Errorf("%d of 7 servers kept", kept)
	}
}

func ids(servers []backend.Announcement) []string {
	var list []string
	for _, s := range servers {
		list = append(list, s.ID)
	}
	return list
}
