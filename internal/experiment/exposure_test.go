package experiment

import (
	"io"
	"testing"
)

// Bad versions are held early, healthy ones go through, and a change of the
// leader changes nothing.
func TestExposureBounds(t *testing.T) {
	r, err := measureExposure(t.Context(), Options{Seeds: 1, Progress: io.Discard})
	requireHeld(t, r, err)
}
