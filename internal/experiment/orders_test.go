package experiment

import (
	"io"
	"testing"
)

// A new version reaches all zones about as fast as the store's rate allows, and no
// zone loses the last good version.
func TestOrdersBounds(t *testing.T) {
	r, err := measureOrders(t.Context(), Options{Seeds: 3, Progress: io.Discard})
	requireHeld(t, r, err)
}
