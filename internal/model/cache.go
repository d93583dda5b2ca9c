package model

import "container/list"

type (
	// Segment is a piece of a prompt. Key identifies the prompt up to and
	// including this piece, so that equal keys mean equal prefixes.
	Segment struct {
		Key    uint64
		Tokens int64
	}

	// CacheEvent reports that a prefix was added to a cache or evicted from it.
	CacheEvent struct {
		Server string
		Key    uint64
		Stored bool
	}

	// prefixCache is an LRU cache of prefixes that holds a limited number of
	// tokens.
	prefixCache struct {
		limit   int64
		held    int64
		recent  *list.List
		byKey   map[uint64]*list.Element
		changed func(key uint64, stored bool)
	}
)

func newPrefixCache(limit int64, onChange func(uint64, bool)) *prefixCache {
	return &prefixCache{limit: limit, recent: list.New(), byKey: make(map[uint64]*list.Element), changed: onChange}
}

// use returns the number of tokens of the prompt's longest cached prefix and
// adds the whole prompt to the cache.
func (c *prefixCache) use(prompt []Segment) int64 {
	var hit int64
	contiguous := true
	for _, s := range prompt {
		e, cached := c.byKey[s.Key]
		contiguous = contiguous && cached
		if contiguous {
			hit += s.Tokens
		}
		if cached {
			c.recent.MoveToFront(e)
			continue
		}
		c.byKey[s.Key] = c.recent.PushFront(s)
		c.held += s.Tokens
		c.changed(s.Key, true)
	}
	c.evict()
	return hit
}

func (c *prefixCache) evict() {
	for c.held > c.limit {
		oldest := c.recent.Back()
		s, ok := c.recent.Remove(oldest).(Segment)
		if !ok {
			return
		}
		delete(c.byKey, s.Key)
		c.held -= s.Tokens
		c.changed(s.Key, false)
	}
}
