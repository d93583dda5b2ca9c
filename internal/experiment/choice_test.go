package experiment

import (
	"io"
	"testing"
)

// The learned choice keeps quality and cost near an oracle's, and follows
// changes.
func TestChoiceBounds(t *testing.T) {
	r, err := measureChoice(t.Context(), Options{Seeds: 2, Progress: io.Discard})
	requireHeld(t, r, err)
}
