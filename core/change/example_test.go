package change_test

import (
	"encoding/json"
	"fmt"
	"time"

	"rosereach/core/change"
)

func Example() {
	expect := uint64(7)
	c := change.Change{
		ID: "c-1", Kind: change.MoveVersion, Name: "small@v1", ExpectedRevision: &expect,
		Document: json.RawMessage(`{"trigger":"hold"}`), Actor: "ana",
	}
	fmt.Println(c.Subject())
	resent := c.WithTime(time.Unix(100, 0))
	resent.Actor = "otto"
	fmt.Println("same content:", c.Hash() == resent.Hash())
	resent.Document = json.RawMessage(`{"trigger":"withdraw"}`)
	fmt.Println("same content:", c.Hash() == resent.Hash())
	// Output:
	// version/small@v1
	// same content: true
	// same content: false
}
