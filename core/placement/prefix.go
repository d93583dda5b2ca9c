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

	// PrefixIndex is an index of the prompt prefixes in the caches of backend
	// servers, built from the entry's own requests and from cache events. Events
	// are delayed and can be lost, so the index is only a hint. It is not safe for
	// concurrent use.
	PrefixIndex struct {
		maxKeys    int           // maximum number of prefixes for each server
		ttl        time.Duration // time to live of a prefix
		servers    map[string]*cachedPrefixes
		lastExpire time.Time // last run of Expire
	}

	// cachedPrefixes holds the prefixes of one server, as an LRU list.
	cachedPrefixes struct {
		recent *list.List
		byKey  map[uint64]*list.Element
	}

	// storedPrefix is a prefix and when it was last stored.
	storedPrefix struct {
		key      uint64
		storedAt time.Time
	}
)

// NewPrefixIndex returns an index of at most maxKeys prefixes for each server. A
// prefix expires when it was not stored again for ttl.
func NewPrefixIndex(maxKeys int, ttl time.Duration) *PrefixIndex {
	return &PrefixIndex{maxKeys: maxKeys, ttl: ttl, servers: make(map[string]*cachedPrefixes)}
}

// Store records that the server's cache holds the prefix. It evicts the least
// recently stored prefixes beyond the maximum.
func (p *PrefixIndex) Store(now time.Time, server string, key uint64) {
	s, ok := p.servers[server]
	if !ok {
		s = &cachedPrefixes{recent: list.New(), byKey: make(map[uint64]*list.Element)}
		p.servers[server] = s
	}
	if e, known := s.byKey[key]; known {
		e.Value = storedPrefix{key: key, storedAt: now}
		s.recent.MoveToFront(e)
		return
	}
	s.byKey[key] = s.recent.PushFront(storedPrefix{key: key, storedAt: now})
	for s.recent.Len() > p.maxKeys {
		s.drop(s.recent.Back())
	}
}

// StoreAll records that the whole prompt was sent to the server.
func (p *PrefixIndex) StoreAll(now time.Time, server string, prompt []Chunk) {
	for _, c := range prompt {
		p.Store(now, server, c.Key)
	}
}

// Evict records that the server's cache evicted the prefix.
func (p *PrefixIndex) Evict(server string, key uint64) {
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
func (p *PrefixIndex) Expire(now time.Time) {
	if now.Sub(p.lastExpire) < p.ttl {
		return
	}
	p.lastExpire = now
	for id, s := range p.servers {
		newest := s.recent.Front()
		if newest == nil || !s.holds(now, newest.Value.(storedPrefix).key, p.ttl) { //nolint:errcheck,forcetypeassert // the list holds only this type
			delete(p.servers, id)
		}
	}
}

// CachedShare returns the estimated share of the prompt's tokens, 0 to 1, in the
// server's cache.
func (p *PrefixIndex) CachedShare(now time.Time, server string, prompt []Chunk) float64 {
	var cached, total int64
	s, intact := p.servers[server]
	for _, c := range prompt {
		total += c.Tokens
		intact = intact && s.holds(now, c.Key, p.ttl)
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
func (c *cachedPrefixes) holds(now time.Time, key uint64, ttl time.Duration) bool {
	e, ok := c.byKey[key]
	if !ok {
		return false
	}
	entry, ok := e.Value.(storedPrefix)
	return ok && now.Sub(entry.storedAt) < ttl
}

func (c *cachedPrefixes) drop(e *list.Element) {
	if entry, ok := c.recent.Remove(e).(storedPrefix); ok {
		delete(c.byKey, entry.key)
	}
}
