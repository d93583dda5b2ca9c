package placement

import (
	"container/list"
	"time"
)

type (
	// Chunk is a piece of a prompt. Key identifies the prompt up to and with
	// this piece.
	Chunk struct {
		Key    uint64
		Tokens int64
	}

	// Prefixes remembers which prompts each backend server has seen. It learns
	// from the entry's own requests and from cache events; since events come
	// late and with gaps, what it says is a hint. It is not safe for
	// concurrent use.
	Prefixes struct {
		keys    int
		life    time.Duration
		servers map[string]*seen
		expired time.Time
	}

	seen struct {
		recent *list.List
		byKey  map[uint64]*list.Element
	}

	sighting struct {
		key uint64
		at  time.Time
	}
)

// NewPrefixes returns an index of at most keys prefixes for each server, each
// trusted for the given life after it was last seen.
func NewPrefixes(keys int, life time.Duration) *Prefixes {
	return &Prefixes{keys: keys, life: life, servers: make(map[string]*seen)}
}

// Store records that the server's cache holds the prefix.
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

// StoreAll records that the server was sent the whole prompt.
func (p *Prefixes) StoreAll(now time.Time, server string, prompt []Chunk) {
	for _, c := range prompt {
		p.Store(now, server, c.Key)
	}
}

// Evict records that the server's cache lost the prefix.
func (p *Prefixes) Evict(server string, key uint64) {
	s, ok := p.servers[server]
	if !ok {
		return
	}
	if e, known := s.byKey[key]; known {
		s.drop(e)
	}
}

// Expire forgets, from time to time, the servers of which nothing was seen for
// a life.
func (p *Prefixes) Expire(now time.Time) {
	if now.Sub(p.expired) < p.life {
		return
	}
	p.expired = now
	for id, s := range p.servers {
		newest := s.recent.Front()
		if newest == nil || !s.holds(now, newest.Value.(sighting).key, p.life) { //nolint:errcheck,forcetypeassert // the list holds sightings
			delete(p.servers, id)
		}
	}
}

// Share returns the share of the prompt's tokens, 0 to 1, that the server's
// cache is thought to hold.
func (p *Prefixes) Share(now time.Time, server string, prompt []Chunk) float64 {
	var held, all int64
	s, intact := p.servers[server]
	for _, c := range prompt {
		all += c.Tokens
		intact = intact && s.holds(now, c.Key, p.life)
		if intact {
			held += c.Tokens
		}
	}
	if all == 0 {
		return 0
	}
	return float64(held) / float64(all)
}

func (s *seen) holds(now time.Time, key uint64, life time.Duration) bool {
	e, ok := s.byKey[key]
	if !ok {
		return false
	}
	at, ok := e.Value.(sighting)
	return ok && now.Sub(at.at) < life
}

func (s *seen) drop(e *list.Element) {
	if at, ok := s.recent.Remove(e).(sighting); ok {
		delete(s.byKey, at.key)
	}
}
