package experiment

import (
	"io"
	"testing"

	"rosereach/internal/model"
)

// requireHeld fails the test unless rows were measured and all keep their bounds.
func requireHeld(t *testing.T, r Result, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Rows) == 0 {
		t.Fatal("nothing was measured")
	}
	if missed := r.Missed(); len(missed) > 0 {
		t.Errorf("bounds missed:\n%s", Result{Experiment: r.Experiment, Rows: missed})
	}
}

// The placement policy keeps its bounds at 0.5, 0.8 and 0.95 of the capacity.
func TestPlacementBounds(t *testing.T) {
	opts := Options{Seeds: 2, Progress: io.Discard}
	r, err := measurePlacement(t.Context(), opts, []model.Workload{model.VitrinaVacia(), model.Terminalna()})
	requireHeld(t, r, err)
}
