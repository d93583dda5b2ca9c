package retry_test

import (
	"strings"
	"testing"
	"time"

	"rosereach/core/retry"
)

func TestParseAfter(t *testing.T) {
	for _, c := range []struct {
		values   []string
		want     time.Duration
		readable bool
	}{
		{nil, 0, true},
		{[]string{"3"}, 3 * time.Second, true},
		{[]string{" 0.25 "}, 250 * time.Millisecond, true},
		{[]string{"1."}, time.Second, true},
		{[]string{"0"}, 0, true},
		{[]string{"0.0"}, 0, true},
		{[]string{"-2"}, 0, true},
		{[]string{"-" + strings.Repeat("9", 400)}, 0, true},
		{[]string{"3600"}, time.Hour, true},
		{[]string{"3600.5"}, retry.MaxAfter, true},
		{[]string{"99999999999999999999"}, retry.MaxAfter, true},
		{[]string{strings.Repeat("9", 400)}, retry.MaxAfter, true},
		{[]string{""}, 0, false},
		{[]string{"."}, 0, false},
		{[]string{"1-2"}, 0, false},
		{[]string{"1.2.3"}, 0, false},
		{[]string{"NaN"}, 0, false},
		{[]string{"inf"}, 0, false},
		{[]string{"-Infinity"}, 0, false},
		{[]string{"1e3"}, 0, false},
		{[]string{"0x10"}, 0, false},
		{[]string{"1_000"}, 0, false},
		{[]string{"2s"}, 0, false},
		{[]string{"1,5"}, 0, false},
		{[]string{"1, 2"}, 0, false},
		{[]string{"1", "1"}, 0, false},
		{[]string{"soon"}, 0, false},
		{[]string{"Wed, 21 Oct 2015 07:28:00 GMT"}, 0, false},
	} {
		got, err := retry.ParseAfter(c.values)
		if got != c.want || (err == nil) != c.readable {
			t.Errorf("%.60q: %v, %v", c.values, got, err)
		}
	}
}
