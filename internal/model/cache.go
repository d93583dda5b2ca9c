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
		limitTokens int64
		usedTokens  int64
		lru         *list.List
		byKey       map[uint64]*list.Element
		onChange    func(key uint64, stored bool)
	}
)

func newPrefixCache(limit int64, onChange func(uint64, bool)) *prefixCache {
	return &prefixCache{limitTokens: limit, lru: list.New(), byKey: make(map[uint64]*list.Element), onChange: onChange}
}

// lookupAndStore returns the number of tokens of the prompt's longest cached prefix and
// adds the whole prompt to the cache.
func (c *prefixCache) lookupAndStore(prompt []Segment) int64 {
	var hit int64
	contiguous := true
	for _, s := range prompt {
		e, cached := c.byKey[s.Key]
		contiguous = contiguous && cached
		if contiguous {
			hit += s.Tokens
		}
		if cached {
			c.lru.MoveToFront(e)
			continue
		}
		c.byKey[s.Key] = c.lru.PushFront(s)
		c.usedTokens += s.Tokens
		c.onChange(s.Key, true)
	}
	c.evict()
	return hit
}

func (c *prefixCache) evict() {
	for c.usedTokens > c.limitTokens {
		oldest := c.lru.Back()
		s, ok := c.lru.Remove(oldest).(Segment)
		if !ok {
			return
		}
		delete(c.byKey, s.Key)
		c.usedTokens -= s.Tokens
		c.onChange(s.Key, false)
	}
}
