package experiment

import (
	"math"
	"testing"
)

func TestSlopesLeaveTheBaseOut(t *testing.T) {
	var costs []fleetCost
	for _, n := range []float64{10, 50, 150} {
		costs = append(costs, fleetCost{entries: n, cores: 0.2 + 0.001*n, megabytes: 30 + 0.5*n, kilobytes: 2 * n})
	}
	s := slopesOf(costs)
	for _, c := range []struct{ got, want float64 }{{s.nodeCores, 0.001}, {s.nodeMegabytes, 0.5}, {s.nodeKilobytes, 2}} {
		if math.Abs(c.got-c.want) > 1e-9 {
			t.Errorf("slope %g, want %g", c.got, c.want)
		}
	}
}

// A node's share of the future size is its idle cost, the changes and the
// announcements of its workers.
func TestCapacityResultBounds(t *testing.T) {
	cheap := capacitySample{nodeCores: 0.001, nodeMegabytes: 1, nodeKilobytes: 1, changeKilobytes: 1, announceBytes: 100, announceMicros: 10}
	if missed := capacityResult([]capacitySample{cheap}).Missed(); len(missed) != 0 {
		t.Errorf("missed %+v", missed)
	}
	dear := cheap
	dear.announceMicros, dear.announceBytes, dear.nodeMegabytes = 10_000, 10_000, 65
	if missed := capacityResult([]capacitySample{dear}).Missed(); len(missed) != 3 {
		t.Errorf("missed %+v", missed)
	}
}
