package spread_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"rosereach/core/spread"
)

// Entries are named in proportion to what they can do: as the scarcer of processor and link
// allows, and evenly where sizes are equal or unknown.
func TestAddressesFollowSize(t *testing.T) {
	for name, c := range map[string]struct {
		entries []spread.Entry
		want    map[string]int
	}{
		"three sizes": {
			[]spread.Entry{{"s", 0.144, 7.5}, {"m", 0.288, 15}, {"l", 0.48, 25}}, map[string]int{"s": 1, "m": 2, "l": 3},
		},
		"narrow link":  {[]spread.Entry{{"a", 0.144, 10}, {"b", 0.48, 10}}, map[string]int{"a": 1, "b": 1}},
		"equal":        {[]spread.Entry{{"a", 0.192, 10}, {"b", 0.192, 10}}, map[string]int{"a": 1, "b": 1}},
		"one unknown":  {[]spread.Entry{{"a", 0, 0}, {"b", 0.48, 25}}, map[string]int{"a": 1, "b": 1}},
		"much larger":  {[]spread.Entry{{"a", 0.1, 1}, {"b", 4, 100}}, map[string]int{"a": 1, "b": 4}},
		"none at all":  {nil, map[string]int{}},
		"slightly off": {[]spread.Entry{{"a", 0.19, 10}, {"b", 0.2, 10}}, map[string]int{"a": 1, "b": 1}},
	} {
		got := map[string]int{}
		for _, a := range spread.Addresses(c.entries, 64) {
			got[a]++
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}

// A zone with more entries than addresses fit names each of them once before any twice, so
// that none is left without callers for the sake of another's size.
func TestEachEntryIsNamedFirst(t *testing.T) {
	var entries []spread.Entry
	for i := range 40 {
		entries = append(entries, spread.Entry{Address: fmt.Sprint(i), Cores: 0.1 * float64(1+i%3), LinkMbps: 100})
	}
	seen := map[string]bool{}
	for _, a := range spread.Addresses(entries, 64) {
		seen[a] = true
	}
	if len(seen) != 40 {
		t.Errorf("%d of 40 entries are named", len(seen))
	}
}
