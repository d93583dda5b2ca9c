package model

import "container/list"

type (
	// Segment is a piece of a prompt. Key identifies the prompt up to and with
	// this piece, so that equal keys mean equal prefixes.
	Segment struct {
		Key    uint64
		Tokens int64
	}

	// CacheEvent says that a prefix was put into a cache or taken out of it.
	CacheEvent struct {
		Server string
		Key    uint64
		Stored bool
	}

	// prefixCache holds prefixes in limited memory; the least recently used
	// one goes first.
	prefixCache struct {
		limit   int64
		held    int64
		recent  *list.List
		byKey   map[uint64]*list.Element
		changed func(key uint64, stored bool)
	}
)

func newPrefixCache(limit int64, changed func(uint64, bool)) *prefixCache {
	return &prefixCache{limit: limit, recent: list.New(), byKey: make(map[uint64]*list.Element), changed: changed}
}

// use returns the tokens of the prompt's longest cached prefix and puts the
// whole prompt into the cache.
func (c *prefixCache) use(prompt []Segment) int64 {
	var hit int64
	intact := true
	for _, s := range prompt {
		e, known := c.byKey[s.Key]
		intact = intact && known
		if intact {
			hit += s.Tokens
		}
		if known {
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
