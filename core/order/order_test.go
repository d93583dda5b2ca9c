package order

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"rosereach/core/version"
)

var (
	v1 = version.Ref{Model: "small", Version: "v1"}
	v2 = version.Ref{Model: "small", Version: "v2"}
)

func engine(id, zone string, capacity int, loaded ...version.Ref) Engine {
	return Engine{ID: id, Zone: zone, Capacity: capacity, Loaded: loaded}
}

func TestNext(t *testing.T) {
	loading := engine("a", "east", 2, v1)
	loading.Loading = []version.Ref{v2}
	for _, tc := range []struct {
		name    string
		engines []Engine
		targets []Target
		loads   int
		want    []Order
	}{
		{
			"one in each zone first",
			[]Engine{engine("a", "east", 2, v1), engine("b", "east", 2, v1), engine("c", "west", 2, v1)},
			[]Target{{v2, 2}, {v1, 1}},
			2,
			[]Order{{"a", Load, v2}, {"c", Load, v2}},
		},
		{"no more loads than the store takes", []Engine{loading, engine("c", "west", 2, v1)}, []Target{{v2, 1}}, 1, nil},
		{"room is made first", []Engine{engine("a", "east", 1, v1), engine("b", "east", 1, v1)}, []Target{{v2, 1}}, 1, []Order{{"a", Unload, v1}}},
		{
			"no more room than needed",
			[]Engine{engine("a", "east", 1, v1), engine("b", "east", 1, v1), engine("c", "east", 1, v1)},
			[]Target{{v2, 1}},
			3,
			[]Order{{"a", Unload, v1}},
		},
		{"the last good one stays", []Engine{engine("a", "east", 1, v1)}, []Target{{v2, 1}}, 1, nil},
		{"all is there", []Engine{engine("a", "east", 2, v1, v2)}, []Target{{v2, 1}}, 1, nil},
	} {
		got := Next(tc.engines, tc.targets, []version.Ref{v1}, tc.loads)
		if diff := cmp.Diff(tc.want, got); diff != "" {
			t.Errorf("%s: %s", tc.name, diff)
		}
	}
}
