package forward

import "rosereach/core/route"

// maxRescues is the number of attempts that a begun answer may get in addition to its route's.
const maxRescues = 1

// MayRescue reports whether an answer that has begun, and whose server is silent, may go on in a
// planned stop although the attempts of its route are used up, as long as no more servers run it than
// the route allows: see IsOutOfServers. Runs is the number of attempts that may have run.
//
// It answers streams whose first servers failed or were given up by choice, and whose last one falls
// silent before the exit: nobody works on them, and they are cut for certain. Outside of a stop their
// callers decide how long they wait.
func MayRescue(r route.Route, begun, stopping bool, runs int) bool {
	return begun && stopping && r.Kind == route.Streaming && r.Resumable && r.MaxAttempts > 1 && runs < r.MaxAttempts+maxRescues
}

// IsOutOfServers reports whether a request may go only to servers that have had it. Servers is the
// number of those at which it ran or may have run.
func IsOutOfServers(r route.Route, servers int) bool { return servers >= max(r.MaxAttempts, 1) }
