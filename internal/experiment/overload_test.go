package experiment

import (
	"io"
	"slices"
	"strings"
	"testing"

	"rosereach/internal/model"
)

func measureOverloadRows(t *testing.T, inFlood bool) (Result, error) {
	t.Helper()
	opts := Options{Seeds: 2, Progress: io.Discard}
	r, err := measureOverload(t.Context(), opts, []model.Workload{model.Terminalna().Single()})
	r.Rows = slices.DeleteFunc(r.Rows, func(row Row) bool { return strings.Contains(row.Name, "in a flood") != inFlood })
	return r, err
}

// Twice the capacity keeps goodput and high priority, refuses early, and leaves
// nothing behind; an empty pool is not hammered.
func TestOverloadBounds(t *testing.T) {
	r, err := measureOverloadRows(t, false)
	requireHeld(t, r, err)
}

// A flooding workspace leaves the others' first tokens alone.
func TestFloodBounds(t *testing.T) {
	r, err := measureOverloadRows(t, true)
	requireHeld(t, r, err)
}
