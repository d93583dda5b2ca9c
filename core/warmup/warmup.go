// Package warmup keeps backend servers that have just started, or lost their caches, within
// the number of requests a second that they bear until they are warm.
package warmup

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// maxRemaining is the longest warm-up that is believed.
const maxRemaining = 10 * time.Minute

// extension is how much later the end of a warm-up has to be to count as news: a server
// repeats the time left with each announcement, which arrives sooner or later.
const extension = 500 * time.Millisecond

// NoVersion is the version of a table without servers. It differs from 0, which stands for a
// member of a build that knows no warm-ups.
const NoVersion = 1

type (
	// Notice says that a server warms up. It carries the time left instead of a moment,
	// because the clocks of machines differ.
	Notice struct {
		Server      string        `json:"server"`
		Incarnation uint64        `json:"incarnation"`
		Remaining   time.Duration `json:"remaining"`
	}

	// Table holds the servers that warm up, as one member knows them. It is not safe for
	// concurrent use.
	Table struct {
		servers map[string]warming
		version uint64
	}

	warming struct {
		incarnation uint64
		until       time.Time
		directUntil time.Time // as the server itself said to this member
	}
)

// ParseRemaining reads the values of a header that tells the time left in milliseconds. No
// value means that the server is warm.
func ParseRemaining(values []string) (time.Duration, error) {
	switch len(values) {
	case 0:
		return 0, nil
	case 1:
	default:
		return 0, errors.Errorf("%d values instead of one", len(values))
	}
	ms, err := strconv.ParseFloat(strings.TrimSpace(values[0]), 64)
	if err != nil || math.IsNaN(ms) || ms < 0 {
		return 0, errors.Errorf("%.40q is no number of milliseconds", values[0])
	}
	return FromMilliseconds(ms), nil
}

// FromMilliseconds returns the time left, within what is believed.
func FromMilliseconds(ms float64) time.Duration {
	if !(ms > 0) {
		return 0
	}
	return time.Duration(min(ms, float64(maxRemaining.Milliseconds())) * float64(time.Millisecond))
}

// NewTable returns a table without servers.
func NewTable() *Table { return &Table{servers: make(map[string]warming), version: NoVersion} }

// Version increases when a server begins to warm up or takes longer than it said.
func (t *Table) Version() uint64 { return t.version }

// Observe records what another member knows and reports whether it is news. A shorter time
// does not replace a longer one: a late message about the time before may be the cause.
func (t *Table) Observe(now time.Time, n Notice) bool { return t.observe(now, n, false) }

// ObserveDirect records what a server said to this member and reports whether it is news.
func (t *Table) ObserveDirect(now time.Time, n Notice) bool { return t.observe(now, n, true) }

func (t *Table) observe(now time.Time, n Notice, isDirect bool) bool {
	s, ok := t.servers[n.Server]
	if n.Remaining <= 0 || ok && n.Incarnation < s.incarnation {
		return false
	}
	until := now.Add(min(n.Remaining, maxRemaining))
	if ok && s.incarnation == n.Incarnation && !until.After(s.until) {
		return false
	}
	isNews := !ok || s.incarnation != n.Incarnation || !now.Before(s.until) || until.Sub(s.until) > extension
	if s.incarnation != n.Incarnation {
		s = warming{incarnation: n.Incarnation}
	}
	s.until = until
	if isDirect {
		s.directUntil = until
	}
	t.servers[n.Server] = s
	if isNews {
		t.version++
	}
	return isNews
}

// Until returns when an incarnation of a server is warm, zero if it is not known to warm up.
func (t *Table) Until(server string, incarnation uint64) time.Time {
	if s, ok := t.servers[server]; ok && s.incarnation == incarnation {
		return s.until
	}
	return time.Time{}
}

// Notices returns the servers that warm up, ordered by id.
func (t *Table) Notices(now time.Time) []Notice {
	return t.notices(now, func(s warming) time.Time { return s.until })
}

// DirectNotices returns the servers that said so to this member, for other members. Only
// these are passed on: each message adds the time that it is under way, and members that
// repeated each other's notices would never let a warm-up end.
func (t *Table) DirectNotices(now time.Time) []Notice {
	return t.notices(now, func(s warming) time.Time { return s.directUntil })
}

func (t *Table) notices(now time.Time, untilOf func(warming) time.Time) []Notice {
	var notices []Notice
	for id, s := range t.servers {
		if left := untilOf(s).Sub(now); left > 0 {
			notices = append(notices, Notice{Server: id, Incarnation: s.incarnation, Remaining: left})
		}
	}
	slices.SortFunc(notices, func(a, b Notice) int { return cmp.Compare(a.Server, b.Server) })
	return notices
}

// Expire removes the servers that have been warm for the given time.
func (t *Table) Expire(now time.Time, retention time.Duration) {
	for id, s := range t.servers {
		if now.Sub(s.until) > retention {
			delete(t.servers, id)
		}
	}
}
