package experiment

import (
	"io"
	"slices"
	"strings"
	"testing"
)

// measureChoiceRows returns either the rows on adaptation to changes or all others.
func measureChoiceRows(t *testing.T, ofChanges bool) (Result, error) {
	t.Helper()
	r, err := measureChoice(t.Context(), Options{Seeds: 2, Progress: io.Discard})
	r.Rows = slices.DeleteFunc(r.Rows, func(row Row) bool { return strings.Contains(row.Name, "is followed") != ofChanges })
	return r, err
}

// The learned policy keeps the quality targets at a cost near the oracle's.
func TestChoiceBounds(t *testing.T) {
	r, err := measureChoiceRows(t, false)
	requireHeld(t, r, err)
}

// The learned policy adapts to a change of price or quality within the limit.
func TestChoiceFollowsBounds(t *testing.T) {
	r, err := measureChoiceRows(t, true)
	requireHeld(t, r, err)
}
