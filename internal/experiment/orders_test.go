package experiment

import (
	"io"
	"testing"
)

// A new version comes to all zones as soon as the store allows, and the last
// good version stays.
func TestOrdersBounds(t *testing.T) {
	r, err := measureOrders(t.Context(), Options{Seeds: 3, Progress: io.Discard})
	requireHeld(t, r, err)
}
