package registry_test

import (
	"fmt"
	"time"

	"rosereach/core/backend"
	"rosereach/core/registry"
)

// A backend server gets new requests until its lease ends, and none after it
// announced that it is leaving.
func Example() {
	r := registry.New(3 * time.Second)
	now := time.Unix(1000, 0)
	serving := backend.Announcement{
		ID: "ledger-1", Incarnation: 1, Sequence: 1, Kind: backend.Plain, Service: "ledger", State: backend.Serving,
	}
	r.Observe(now, 0, serving)
	fmt.Println(r.MayServe(now, "ledger-1", 1), r.MayServe(now.Add(4*time.Second), "ledger-1", 1))
	leaving := serving
	leaving.Sequence, leaving.State = 2, backend.Leaving
	r.Observe(now, 0, leaving)
	r.Observe(now, 0, serving)
	fmt.Println(r.MayServe(now, "ledger-1", 1))
	// Output:
	// true false
	// false
}
