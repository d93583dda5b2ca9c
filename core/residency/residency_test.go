package residency_test

import (
	"fmt"
	"testing"

	"rosereach/core/residency"
)

// The homes of a route and of a workspace both bind, in either order, and exclude all
// regions if they have none in common.
func TestHomesOfRouteAndWorkspaceBothBind(t *testing.T) {
	for _, c := range []struct {
		route, workspace []string
		allowed          map[string]bool
		text             string
	}{
		{nil, nil, map[string]bool{"a": true, "b": true, "": true}, "any"},
		{[]string{}, []string{"a"}, map[string]bool{"a": true, "b": false}, "a"},
		{[]string{"b", "a", "b"}, nil, map[string]bool{"a": true, "b": true, "c": false}, "a,b"},
		{[]string{"a", "b"}, []string{"b", "c"}, map[string]bool{"a": false, "b": true, "c": false}, "b"},
		{[]string{"a"}, []string{"b"}, map[string]bool{"a": false, "b": false, "": false}, "none"},
	} {
		for _, h := range []residency.Homes{
			residency.Of(c.route).And(residency.Of(c.workspace)), residency.Of(c.workspace).And(residency.Of(c.route)),
		} {
			for region, want := range c.allowed {
				if h.Allows(region) != want {
					t.Errorf("%v and %v allow %q: %v", c.route, c.workspace, region, !want)
				}
			}
			if h.String() != c.text {
				t.Errorf("%v and %v: %s, want %s", c.route, c.workspace, h, c.text)
			}
		}
	}
}

func ExampleHomes_And() {
	route, workspace := residency.Of([]string{"east", "west"}), residency.Of([]string{"west"})
	fmt.Println(route.And(workspace))
	// Output: west
}
