package experiment

import (
	"math"
	"testing"
)

// The cost of a node is told from the part of it that grows with the fleet.
func TestSlopesTellBaseFromGrowth(t *testing.T) {
	var costs []fleetCost
	for _, n := range []float64{10, 40, 80} {
		costs = append(costs, fleetCost{
			entries: n, cores: n * (0.001 + 0.0001*n), megabytes: n * (0.5 + 0.02*n), kilobytes: n * (3 - 0.01*n),
		})
	}
	s := slopesOf(costs)
	for _, c := range []struct{ got, want float64 }{
		{s.cores.at(360), 0.037}, {s.megabytes.at(360), 7.7}, {s.kilobytes.at(360), 2.9}, {s.kilobytes.growth, 0},
	} {
		if math.Abs(c.got-c.want) > 1e-9 {
			t.Errorf("cost %g, want %g", c.got, c.want)
		}
	}
}

// A node's share of the future size is its idle cost, the changes and the
// announcements of its workers.
func TestCapacityResultBounds(t *testing.T) {
	cheap := capacitySample{
		cores: nodeCost{base: 0.001}, megabytes: nodeCost{base: 1}, kilobytes: nodeCost{base: 1},
		changeKilobytes: 1, announceBytes: 100, announceMicros: 10,
	}
	if missed := capacityResult([]capacitySample{cheap}).Missed(); len(missed) != 0 {
		t.Errorf("missed %+v", missed)
	}
	dear := cheap
	dear.announceMicros, dear.announceBytes, dear.megabytes.growth = 10_000, 10_000, 0.2
	if missed := capacityResult([]capacitySample{dear}).Missed(); len(missed) != 3 {
		t.Errorf("missed %+v", missed)
	}
}
