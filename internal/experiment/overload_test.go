package experiment

import (
	"io"
	"slices"
	"strings"
	"testing"

	"rosereach/internal/model"
)

// measureOverloadRows returns either the rows on a flood or all others.
func measureOverloadRows(t *testing.T, inFlood bool) (Result, error) {
	t.Helper()
	opts := Options{Seeds: 2, Progress: io.Discard}
	r, err := measureOverload(t.Context(), opts, []model.Workload{model.Terminalna().SingleRequestSessions()})
	r.Rows = slices.DeleteFunc(r.Rows, func(row Row) bool { return strings.Contains(row.Name, "in a flood") != inFlood })
	return r, err
}

// At twice the capacity, goodput and urgent requests keep their bounds, refusals
// come at arrival, and refusals and latency recover afterward. Retries stay limited
// while all engines refuse.
func TestOverloadBounds(t *testing.T) {
	r, err := measureOverloadRows(t, false)
	requireHeld(t, r, err)
}

// A flooding workspace does not delay the first tokens of the others beyond the
// bound.
func TestFloodBounds(t *testing.T) {
	r, err := measureOverloadRows(t, true)
	requireHeld(t, r, err)
}
