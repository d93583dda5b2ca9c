package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"rosereach/core/retry"
)

// 100 callers are turned away by servers that take eight requests in 200 ms.
func TestCallersReturnInOrder(t *testing.T) {
	const first, round, places = 3 * time.Second, 200 * time.Millisecond, 8
	random := rand.New(rand.NewPCG(1, 2))
	var previous time.Duration
	inRound := make(map[time.Duration]int)
	for order := range 100 {
		delay := retry.Spread(first, round, order, places, random)
		if delay < first {
			t.Fatalf("caller %d returns before the servers take work: %v", order, delay)
		}
		if delay < previous-round {
			t.Fatalf("caller %d returns at %v, more than a round before the one before it at %v", order, delay, previous)
		}
		previous = delay
		inRound[(delay-first)/round]++
	}
	for n, callers := range inRound {
		if callers > places {
			t.Fatalf("%d callers return in round %d of %d places", callers, n, places)
		}
	}
	if got := retry.Spread(first, 0, 5, 0, random); got != first {
		t.Fatalf("without a round: %v", got)
	}
}
