// Package reach tells an instance that is partitioned from all backend servers from servers
// that fail, and chooses the instances through which it reaches them meanwhile. The field's
// names are gray failure, for what only some observers see, and one-hop detours.
package reach

import (
	"math/rand/v2"
	"time"
)

const (
	// trustTime is how long after a server has accepted a connection a failure of another
	// is taken for that server's, unless doubtfulFailures of them have failed since.
	trustTime        = time.Second
	doubtfulFailures = 2

	// ProbeStagger is the time after which another server is probed beside those that have
	// not answered. It covers a round trip between regions.
	ProbeStagger = 75 * time.Millisecond

	// returnInterval is the mean time between probes while an instance is cut off.
	returnInterval = 500 * time.Millisecond
)

// Link is one instance's view of its own paths to the servers of one service. Only new
// connections count: open ones may go on while new ones are refused. It is not safe for
// concurrent use.
//
// It answers the partition of some instances from all servers, or those of a service, while
// callers, controls and the other instances still reach them: connections hang or are refused,
// and each failure for itself looks like that of a server. A judgment that errs, as most servers
// are down, costs a hop: the other instances see the same servers fail.
type Link struct {
	reachedAt time.Time
	failed    map[string]bool // servers that failed since one was reached
	cutSince  time.Time
}

// Reached records that a server accepted a new connection, and reports whether that ends a cut.
func (l *Link) Reached(now time.Time) bool {
	l.reachedAt = now
	clear(l.failed)
	wasCut := l.IsCut()
	l.cutSince = time.Time{}
	return wasCut
}

// Failed records that a server accepted no connection.
func (l *Link) Failed(server string) {
	if l.failed == nil {
		l.failed = make(map[string]bool)
	}
	if len(l.failed) < doubtfulFailures {
		l.failed[server] = true
	}
}

// NeedsProbes reports whether a failed connection calls for probes of other servers. A busy
// instance has reached a server just before a cut begins; the second server that fails it
// tells.
func (l *Link) NeedsProbes(now time.Time) bool {
	return !l.IsCut() && (now.Sub(l.reachedAt) > trustTime || len(l.failed) >= doubtfulFailures)
}

// Judge judges the link after probes, which began at a time and reached no server unless
// Reached was called since, and reports whether a cut begins.
func (l *Link) Judge(now, began time.Time) bool {
	if l.IsCut() || !l.reachedAt.Before(began) {
		return false
	}
	l.cutSince = now
	return true
}

// IsCut reports whether the instance is partitioned from all servers of the service.
func (l *Link) IsCut() bool { return !l.cutSince.IsZero() }

// CutSince returns since when the instance has been cut off, zero if it is not.
func (l *Link) CutSince() time.Time { return l.cutSince }

// ReturnDelay returns the time until the next probe of an instance that is cut off, half of
// returnInterval to one and a half times it.
//
// It answers a service whose servers all end at once: every instance takes it for a cut, and
// comes back with a connection of its own. The servers are to accept these one after the other.
func ReturnDelay(r *rand.Rand) time.Duration {
	return returnInterval/2 + time.Duration(r.Int64N(int64(returnInterval)))
}
