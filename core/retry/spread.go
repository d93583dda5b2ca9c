package retry

import (
	"math/rand/v2"
	"time"
)

// Spread returns the delay after which a caller that was turned away should return.
// First is the time until the servers take work again, order the number of callers that
// were turned away before this one, places the number of requests that the servers take
// at once, and round the time that they need for them.
//
// It answers all servers of a service asking for no requests at the same time: callers
// that all came back at the end of that time would be turned away once more. They return
// in the order in which they came, as many in each round as there are places.
func Spread(first, round time.Duration, order, places int, random *rand.Rand) time.Duration {
	rounds := time.Duration(max(order, 0) / max(places, 1))
	return first + rounds*round + time.Duration(random.Int64N(int64(max(round, 1))))
}
