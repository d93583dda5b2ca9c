package experiment

import (
	"math"
	"testing"
)

// The fit separates a node's base cost from its growth with the fleet. For a cost
// that falls as the fleet grows it uses the highest value.
func TestFitSeparatesBaseFromGrowth(t *testing.T) {
	var costs []fleetCost
	for _, n := range []float64{10, 40, 80} {
		costs = append(costs, fleetCost{
			entries: n, cores: n * (0.001 + 0.0001*n), megabytes: n * (0.5 + 0.02*n), linkKilobytes: n * (3 - 0.01*n),
		})
	}
	s := fitCosts(costs)
	for _, c := range []struct{ got, want float64 }{
		{s.cores.inFleetOf(360), 0.037}, {s.megabytes.inFleetOf(360), 7.7}, {s.linkKilobytes.inFleetOf(360), 2.9}, {s.linkKilobytes.growth, 0},
	} {
		if math.Abs(c.got-c.want) > 1e-9 {
			t.Errorf("cost %g, want %g", c.got, c.want)
		}
	}
}

// The cost of a node at the expected size is the sum of its idle cost, its changes
// and its workers' announcements. Expensive announcements and memory that grows
// with the fleet miss the three bounds of a node.
func TestCapacityResultBounds(t *testing.T) {
	cheap := capacitySample{
		cores: nodeCost{base: 0.001}, megabytes: nodeCost{base: 1}, linkKilobytes: nodeCost{base: 1},
		changeKilobytes: 1, announceBytes: 100, announceMicros: 10,
	}
	if missed := capacityResult([]capacitySample{cheap}).Missed(); len(missed) != 0 {
		t.Errorf("missed %+v", missed)
	}
	expensive := cheap
	expensive.announceMicros, expensive.announceBytes, expensive.megabytes.growth = 10_000, 10_000, 0.2
	if missed := capacityResult([]capacitySample{expensive}).Missed(); len(missed) != 3 {
		t.Errorf("missed %+v", missed)
	}
}
