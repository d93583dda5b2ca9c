package forward

// The urgencies of backend servers, which go from 0, the most urgent, to
// maxServerPriority.
const (
	maxServerPriority = 9

	// urgencyBase and urgencyStep spread the priorities of routes and workspaces, which are
	// few and begin at 0, around 5, the servers' default: what is not as urgent as the
	// default must not push out requests of which nothing is known.
	urgencyBase = 2
	urgencyStep = 2
)

// ServerPriority returns the urgency that a backend server is told for a request of the
// given priority, 0 for the most urgent.
//
// It answers requests of different urgency that wait in one server's queue. A stream that has
// begun keeps its urgency when it is resumed: the tokens that it made are lost if another
// request of the same kind pushes it out.
func ServerPriority(priority int) int {
	return min(urgencyBase+urgencyStep*max(priority, 0), maxServerPriority)
}
