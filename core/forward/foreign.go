package forward

import (
	"rosereach/core/framing"
	"rosereach/core/route"
)

const (
	// maxForeignAnswers and maxForeignBytes bound what is read past for one answer.
	maxForeignAnswers = 3
	maxForeignBytes   = 1 << 20
)

// Foreign is an answer of another request, or of none, where the answer to a request is due.
type Foreign struct {
	// Reused means that the connection has served another request before.
	Reused bool
	// Mark is what marks the end of the answer's body, Closes that the server closes the
	// connection then, and Length its length in bytes, -1 if that is unknown.
	Mark   framing.Mark
	Closes bool
	Length int64
	// Before is the number of foreign answers before this one, and BytesBefore that of the bytes
	// in their bodies.
	Before      int
	BytesBefore int64
}

// MayReadPast returns how many bytes of the answer's body may be read past, and whether the answer
// to the request may follow then.
//
// It answers servers that send an earlier answer twice, on a connection that is in use again: the
// request was sent, may run, and its own answer follows. To end its attempt there wastes the run,
// and begun answers that are out of attempts break off.
func (f Foreign) MayReadPast() (maxBytes int64, ok bool) {
	maxBytes = maxForeignBytes - f.BytesBefore
	return maxBytes, f.Reused && f.Mark != framing.ByClose && !f.Closes && f.Before < maxForeignAnswers && f.Length <= maxBytes
}

// NeedsUnusedConn reports whether the next attempt needs a connection that has served no request.
// Runs is the number of attempts before it that may have run. On one that is in use again an answer
// of another request may be all that comes, and an answer that has begun breaks off if its last
// attempt fails. Others use open connections, as servers reset new ones above their limit.
func NeedsUnusedConn(r route.Route, begun bool, runs int) bool {
	return begun && !MayRetry(r, Unknown, runs+1)
}
