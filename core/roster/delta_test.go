package roster_test

import (
	"fmt"
	"runtime"
	"slices"
	"testing"

	"rosereach/core/backend"
	"rosereach/core/roster"
)

// Every entry watches three controls and gets a reply from each every second, mostly
// without news. What such a reply costs must not depend on the number of servers.
func TestDeltaCostFollowsChanges(t *testing.T) {
	bytesPerDelta := func(servers int) uint64 {
		r := roster.New(cfg, 1)
		for i := range servers {
			r.Observe(start, server(fmt.Sprint(i), 10, 1, backend.Serving))
		}
		known := r.Version()
		r.Observe(start, server("0", 10, 2, backend.Leaving))
		const replies = 100
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for range replies {
			if d := r.Delta(known); len(d.Records) != 1 {
				t.Fatalf("%d records for one change", len(d.Records))
			}
		}
		runtime.ReadMemStats(&after)
		return (after.TotalAlloc - before.TotalAlloc) / replies
	}
	few, many := bytesPerDelta(30), bytesPerDelta(3000)
	if few == 0 || many > 2*few {
		t.Errorf("bytes allocated for the reply about one change: %d at 30 servers, %d at 3000", few, many)
	}
}

// When a whole fleet connects again, each entry is owed all servers by several members
// at once. They come in parts, and changes on the way are not lost.
func TestDeltaComesInParts(t *testing.T) {
	const servers = 3000
	r, entry := roster.New(cfg, 1), roster.New(cfg, 1)
	for i := range servers {
		r.Observe(start, server(fmt.Sprint(i), 10, 1, backend.Serving))
	}
	after, parts := uint64(0), 0
	for after != r.Version() {
		d := r.Delta(after)
		if len(d.Records) > servers/10 {
			t.Fatalf("%d of %d servers in one part", len(d.Records), servers)
		}
		if parts == 2 {
			r.Observe(start, server("0", 10, 2, backend.Leaving))
			r.Observe(start, server("2999", 10, 2, backend.Leaving))
		}
		entry.ApplyDelta(start, d)
		after = d.Version
		parts++
	}
	got, want := serving(entry), serving(r)
	if len(got) != servers-2 || !slices.Equal(got, want) {
		t.Errorf("%d servers after %d parts, want %d", len(got), parts, len(want))
	}
}
