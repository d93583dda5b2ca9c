package placement

import (
	"container/list"
	"time"
)

type (
	// Chunk is a piece of a prompt. Key identifies the prompt up to and including
	// this piece.
	Chunk struct {
		Key    uint64
		Tokens int64
	}

	// Prefixes is an index of the prompt prefixes in the caches of backend
	// servers, built from the entry's own requests and from cache events. Events
	// are delayed and can be lost, so the index is only a hint. It is not safe for
	// concurrent use.
	Prefixes struct {
		keys    int           // maximum number of prefixes for each server
		life    time.Duration // time to live of a prefix
		servers map[string]*seen
		expired time.Time // last run of Expire
	}

	// seen holds the prefixes of one server, as an LRU list.
	seen struct {
		recent *list.List
		byKey  map[uint64]*list.Element
	}

	// sighting is a prefix and when it was last stored.
	sighting struct {
		key uint64
		at  time.Time
	}
)

// NewPrefixes returns an index of at most maxKeys prefixes for each server. A
// prefix expires when it was not stored again for ttl.
func NewPrefixes(maxKeys int, ttl time.Duration) *Prefixes {
	return &Prefixes{keys: maxKeys, life: ttl, servers: make(map[string]*seen)}
}

// Store records that the server's cache holds the prefix. It evicts the least
// recently stored prefixes beyond the maximum.
func (p *Prefixes) Store(now time.Time, server string, key uint64) {
	s, ok := p.servers[server]
	if !ok {
		s = &seen{recent: list.New(), byKey: make(map[uint64]*list.Element)}
		p.servers[server] = s
	}
	if e, known := s.byKey[key]; known {
		e.Value = sighting{key: key, at: now}
		s.recent.MoveToFront(e)
		return
	}
	s.byKey[key] = s.recent.PushFront(sighting{key: key, at: now})
	for s.recent.Len() > p.keys {
		s.drop(s.recent.Back())
	}
}

// StoreAll records that the whole prompt was sent to the server.
func (p *Prefixes) StoreAll(now time.Time, server string, prompt []Chunk) {
	for _, c := range prompt {
		p.Store(now, server, c.Key)
	}
}

// Evict records that the server's cache evicted the prefix.
func (p *Prefixes) Evict(server string, key uint64) {
	s, ok := p.servers[server]
	if !ok {
		return
	}
	if e, known := s.byKey[key]; known {
		s.drop(e)
	}
}

// Expire removes the servers whose prefixes have all expired. It does the work at
// most once per time to live.
func (p *Prefixes) Expire(now time.Time) {
	if now.Sub(p.expired) < p.life {
		return
	}
	p.expired = now
	for id, s := range p.servers {
		newest := s.recent.Front()
		if newest == nil || !s.holds(now, newest.Value.(sighting).key, p.life) { //nolint:errcheck,forcetypeassert // the list holds only this type
			delete(p.servers, id)
		}
	}
}

// Share returns the estimated share of the prompt's tokens, 0 to 1, in the
// server's cache.
func (p *Prefixes) Share(now time.Time, server string, prompt []Chunk) float64 {
	var cached, total int64
	s, intact := p.servers[server]
	for _, c := range prompt {
		total += c.Tokens
		intact = intact && s.holds(now, c.Key, p.life)
		if intact {
			cached += c.Tokens
		}
	}
	if total == 0 {
		return 0
	}
	return float64(cached) / float64(total)
}

// holds reports whether the prefix is stored and has not expired.
func (s *seen) holds(now time.Time, key uint64, ttl time.Duration) bool {
	e, ok := s.byKey[key]
	if !ok {
		return false
	}
	entry, ok := e.Value.(sighting)
	return ok && now.Sub(entry.at) < ttl
}

func (s *seen) drop(e *list.Element) {
	if entry, ok := s.recent.Remove(e).(sighting); ok {
		delete(s.byKey, entry.key)
	}
}
