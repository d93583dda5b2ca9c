package lease_test

import (
	"fmt"
	"time"

	"rosereach/core/lease"
)

// An entry counts its lease from when it sent the request, and subtracts the
// maximum clock drift from the grantor's duration.
func Example() {
	var (
		cfg     = lease.DefaultConfig()
		grantor = lease.NewGrantor(cfg)
		holder  lease.Holder
		now     = time.Unix(1000, 0)
	)
	request := lease.Request{Entry: "entry-1", Incarnation: 1, Applied: 4, Sequence: holder.StartRequest(now)}
	later := now.Add(500 * time.Millisecond)
	holder.Receive(cfg, grantor.Grant(later, 1, 0, request))
	fmt.Println("held for", holder.Expires().Sub(now))
	fmt.Println("revision 4 in force:", grantor.InForce(later, 4))
	fmt.Println("revision 5 in force:", grantor.InForce(later, 5))
	ended := later.Add(cfg.Duration)
	fmt.Println("held:", holder.IsLive(ended), "revision 5 in force:", grantor.InForce(ended, 5))
	// Output:
	// held for 2.97s
	// revision 4 in force: true
	// revision 5 in force: false
	// held: false revision 5 in force: true
}
