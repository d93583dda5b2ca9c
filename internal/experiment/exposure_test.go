package experiment

import (
	"io"
	"testing"
)

// Bad versions are held within their bounds, healthy ones complete, and a failover
// with repeated ratings does not change the outcome.
func TestExposureBounds(t *testing.T) {
	r, err := measureExposure(t.Context(), Options{Seeds: 1, Progress: io.Discard})
	requireHeld(t, r, err)
}
