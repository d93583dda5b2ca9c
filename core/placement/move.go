package placement

import "time"

// moveFactor and moveMargin are how much longer than elsewhere a request has to wait
// before it is worth moving: the expected times are rough, and the move costs a retry.
const (
	moveFactor = 2
	moveMargin = 300 * time.Millisecond
)

// ShouldMove reports whether a request that an engine has not begun should leave its
// queue. It answers queues that entries could not see when they chose: engines that
// turned slow, and the first seconds after a start, before load is reported. A request
// sent to such an engine waits behind all that were sent to it before it was known,
// while others are free. Here and elsewhere are the expected times to the first byte.
func ShouldMove(here, elsewhere time.Duration) bool {
	return here > moveFactor*elsewhere+moveMargin
}
