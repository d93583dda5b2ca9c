package reach

// maxDetours is the number of connections that an instance passes on for others at once, each
// with two descriptors and two buffers: a quarter of the requests that it forwards itself.
const maxDetours = 256

// Room bounds what an instance does for others. It is not safe for concurrent use.
//
// It answers a cut of most instances: the few that still reach the servers keep descriptors
// and memory for callers of their own, and the others try elsewhere at once.
type Room struct{ taken int }

// Take takes the room of a connection and reports whether there was any.
func (r *Room) Take() bool {
	if r.taken >= maxDetours {
		return false
	}
	r.taken++
	return true
}

// Release gives the room of a connection back.
func (r *Room) Release() { r.taken-- }

// Taken returns the number of connections that have room.
func (r *Room) Taken() int { return r.taken }
