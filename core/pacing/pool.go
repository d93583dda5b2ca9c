package pacing

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// wordTolerance is how far apart the ages of words from two entries may be off. An answer
// without a limit counts only if its request was sent that much later than the limit was
// last heard.
const wordTolerance = 250 * time.Millisecond

type (
	// Member is an entry that may use a limited server. Distance is how far it is from the
	// server, 0 for the same availability zone.
	Member struct {
		ID       string
		Distance int
	}

	// Pool holds a control's knowledge of the servers' limits, from the words of many
	// entries and controls, and shares them out. It is not safe for concurrent use.
	//
	// It answers a limit that is small compared with the number of entries: an equal part
	// for each would be too little for a single request, and one request at once from each
	// too much for the server. A few entries near the server get the whole limit.
	Pool struct {
		servers map[string]*pooledLimit
		version uint64
	}

	pooledLimit struct {
		incarnation uint64
		limit       float64
		heardAt     time.Time
		freeAt      time.Time
	}
)

// NewPool returns a pool without limits.
func NewPool() *Pool { return &Pool{servers: make(map[string]*pooledLimit)} }

// Version increases with each change of a limit.
func (p *Pool) Version() uint64 { return p.version }

// Add adds words and returns those that change a limit. Of two limits that were named at
// about the same time the smaller one counts.
func (p *Pool) Add(now time.Time, words []Word) []Word {
	var changes []Word
	for _, w := range words {
		if p.add(now, w) {
			changes = append(changes, w)
			p.version++
		}
	}
	return changes
}

func (p *Pool) add(now time.Time, w Word) bool {
	at := now.Add(-w.Age)
	s, ok := p.servers[w.Server]
	switch {
	case ok && w.Incarnation < s.incarnation:
		return false
	case !ok || s.incarnation < w.Incarnation:
		s = &pooledLimit{incarnation: w.Incarnation}
		p.servers[w.Server] = s
	}
	before := s.limit
	switch {
	case w.PerSecond == 0 && at.After(s.heardAt.Add(wordTolerance)):
		s.limit = 0
		s.freeAt = latest(s.freeAt, at)
	case w.PerSecond > 0 && at.After(s.freeAt):
		if s.limit == 0 || at.After(s.heardAt.Add(wordTolerance)) || w.PerSecond < s.limit && at.After(s.heardAt.Add(-wordTolerance)) {
			s.limit = w.PerSecond
		}
		s.heardAt = latest(s.heardAt, at)
	}
	return before != s.limit
}

// Words returns the limits that hold, and for a while those that have ended.
func (p *Pool) Words(now time.Time) []Word {
	var words []Word
	for id, s := range p.servers {
		w := Word{Server: id, Incarnation: s.incarnation, PerSecond: s.limit, Age: now.Sub(s.heardAt)}
		if s.limit == 0 {
			w.Age = now.Sub(s.freeAt)
		}
		if s.limit > 0 || w.Age < wordRetention {
			words = append(words, w)
		}
	}
	slices.SortFunc(words, func(a, b Word) int { return cmp.Compare(a.Server, b.Server) })
	return words
}

// Shares returns the parts of all limits for one entry. Members returns the entries that
// may use a server, false for a server that is gone, which is forgotten.
func (p *Pool) Shares(entry string, members func(server string) ([]Member, bool)) []Share {
	var shares []Share
	for id, s := range p.servers {
		list, ok := members(id)
		if !ok {
			delete(p.servers, id)
			continue
		}
		if s.limit == 0 {
			continue
		}
		shares = append(shares, Share{Server: id, Incarnation: s.incarnation, Limit: s.limit, PerSecond: shareOf(entry, id, s.limit, list)})
	}
	slices.SortFunc(shares, func(a, b Share) int { return cmp.Compare(a.Server, b.Server) })
	return shares
}

// shareOf returns the part of a server's limit for an entry. The first entries share it.
func shareOf(entry, server string, limit float64, members []Member) float64 {
	n := sharers(limit, len(members))
	rank := slices.IndexFunc(Order(server, members), func(m Member) bool { return m.ID == entry })
	if rank < 0 || rank >= n {
		return 0
	}
	return limit / float64(n)
}

// Order returns the entries in the order in which they share a server's rate: the nearest
// first, and those that are equally near in an order that differs from server to server.
func Order(server string, members []Member) []Member {
	type keyed struct {
		Member
		key uint64
	}
	list := make([]keyed, len(members))
	for i, m := range members {
		list[i] = keyed{Member: m, key: xxhash.Sum64String(server + m.ID)}
	}
	slices.SortFunc(list, func(a, b keyed) int {
		return cmp.Or(cmp.Compare(a.Distance, b.Distance), cmp.Compare(a.key, b.key), cmp.Compare(a.ID, b.ID))
	})
	ordered := make([]Member, len(list))
	for i, m := range list {
		ordered[i] = m.Member
	}
	return ordered
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
