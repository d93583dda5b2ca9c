package operator_test

import (
	"fmt"
	"testing"

	"rosereach/core/key"
	"rosereach/core/operator"
)

func Example() {
	o := operator.Operator{Name: "mona", Role: operator.RoleMonitor}.WithKey(key.Hash("secret"))
	fmt.Println(o.May(operator.Audit), o.May(operator.Change))
	fmt.Println(key.Contains(o.KeyHashes, key.Hash("secret")), key.Contains(o.WithoutKey(key.Hash("secret")).KeyHashes, key.Hash("secret")))
	o.Closed = true
	fmt.Println(o.May(operator.Audit))
	// Output:
	// true false
	// true false
	// false
}

func TestCheck(t *testing.T) {
	o := operator.Operator{Role: "king", KeyHashes: []string{"short", key.Hash("x"), key.Hash("x") + "0"}}
	if found := o.Check(); len(found) != 4 {
		t.Errorf("findings:\n%s", found)
	}
}
