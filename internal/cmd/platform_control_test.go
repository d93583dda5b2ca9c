package cmd

import "testing"

// Guards against a first plan that is lost with its copies: three voters acknowledged it where two
// disks may be lost at once.
func TestAcknowledgementsTolerateTheLossesOfTheSettings(t *testing.T) {
	for _, tc := range []struct{ seeds, tolerant, want int }{
		{1, 1, 1},
		{1, 3, 1},
		{2, 3, 2},
		{3, 1, 3},
		{3, 3, 3},
		{3, 5, 5},
		{3, 7, 7},
	} {
		if got := minVoters(tc.seeds, tc.tolerant); got != tc.want {
			t.Errorf("%d seeds, %d voters tolerate the losses: %d voters acknowledge, want %d", tc.seeds, tc.tolerant, got, tc.want)
		}
	}
}
