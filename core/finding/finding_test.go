package finding_test

import (
	"fmt"

	"rosereach/core/finding"
)

func Example() {
	var inner, all finding.List
	fmt.Println(all.Err())
	inner.Add("weight", "negative", "0 or more")
	inner.Add("", "no object", "")
	all.AddNested("policy", inner)
	all.AddFile("drafting.json", inner)
	fmt.Println(all.Err())
	// Output:
	// <nil>
	// policy.weight: negative; allowed: 0 or more
	// policy: no object
	// drafting.json: weight: negative; allowed: 0 or more
	// drafting.json: no object
}
