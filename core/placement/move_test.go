package placement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"rosereach/core/placement"
)

// Replays a fleet that chooses without load reports while a sixth of its engines is
// eight times slower: 40 engines, each answering a request in 200 ms, at 60% of their
// capacity. Moving after 1.2 s must shorten the longest waits, and must leave the
// number of requests that wait long elsewhere as it is.
func TestMovingAnswersUnseenQueues(t *testing.T) {
	stay, moved := replayUnseenQueues(false), replayUnseenQueues(true)
	const objective = 4 * time.Second
	late := func(waits []time.Duration) (n int) {
		for _, w := range waits {
			if w > objective {
				n++
			}
		}
		return n
	}
	if late(moved)*2 > late(stay) {
		t.Errorf("%d of %d requests are late, %d without moving", late(moved), len(moved), late(stay))
	}
}

// replayUnseenQueues returns the time to the end of each request.
func replayUnseenQueues(moves bool) []time.Duration {
	const engines, step, length = 40, 10 * time.Millisecond, 20 * time.Second
	type job struct{ arrived, queued time.Duration }
	random := rand.New(rand.NewPCG(1, 1))
	service := func(engine int) time.Duration {
		if engine%6 == 0 {
			return 1600 * time.Millisecond
		}
		return 200 * time.Millisecond
	}
	var (
		queues [engines][]job
		freeAt [engines]time.Duration
		waits  []time.Duration
	)
	wait := func(engine int) time.Duration { return time.Duration(len(queues[engine])) * service(engine) }
	for now := time.Duration(0); now < length; now += step {
		for range engines {
			if random.Float64() < 0.6*float64(step)/float64(200*time.Millisecond) {
				e := random.IntN(engines)
				queues[e] = append(queues[e], job{now, now})
			}
		}
		for e := range queues {
			if len(queues[e]) > 0 && freeAt[e] <= now {
				waits = append(waits, now+service(e)-queues[e][0].arrived)
				queues[e], freeAt[e] = queues[e][1:], now+service(e)
			}
			var stay []job
			for _, j := range queues[e] {
				// An engine reports its queue; what the others have is known from
				// then on.
				to := random.IntN(engines)
				if moves && now-j.queued >= 1200*time.Millisecond && to != e && placement.ShouldMove(wait(e), wait(to)+service(to)) {
					queues[to] = append(queues[to], job{j.arrived, now})
					continue
				}
				stay = append(stay, j)
			}
			queues[e] = stay
		}
	}
	for e := range queues {
		for i, j := range queues[e] {
			waits = append(waits, length-j.arrived+time.Duration(i)*service(e))
		}
	}
	return waits
}
