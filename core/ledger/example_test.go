package ledger_test

import (
	"fmt"
	"time"

	"rosereach/core/ledger"
	"rosereach/core/request"
)

// A request that must not be repeated begins once, and its finish adds its bill.
func Example() {
	var (
		l     = ledger.NewSharded(ledger.DefaultShards, ledger.DefaultLimits())
		at    = time.Unix(1000, 0)
		key   = ledger.Key{Workspace: "terminalna", RequestID: "posting-1"}
		owner = ledger.Owner{Entry: "entry-1", Incarnation: 1}
		begin = ledger.Begin{Key: key, BodyHash: 42, Owner: owner, At: at}
	)
	fmt.Println(l.Begin(begin).Status)
	begin.Owner.Entry = "entry-2"
	fmt.Println(l.Begin(begin).Status)
	answer := request.Answer{Outcome: request.Done, Status: 201, Backend: "ledger-1"}
	l.Finish(ledger.Finish{Key: key, Owner: owner, Answer: answer, Price: 12, At: at})
	fmt.Println(l.Begin(begin).Status)
	begin.BodyHash = 43
	fmt.Println(l.Begin(begin).Status)
	for _, b := range l.Bills(0, 10) {
		fmt.Println(b.Sequence, b.Key.RequestID, b.Price)
	}
	// Output:
	// new
	// running
	// finished
	// mismatch
	// 1 posting-1 12
}
