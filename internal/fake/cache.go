package fake

import (
	"container/list"
	"slices"

	"github.com/cespare/xxhash/v2"

	"rosereach/core/request"
	"rosereach/core/version"
)

type (
	// prefixCache is an LRU cache of prompt prefixes, one for each message,
	// that holds a limited number of tokens.
	prefixCache struct {
		limitTokens int64
		usedTokens  int64
		entries     map[uint64]*list.Element
		lru         *list.List
	}

	cachedPrefix struct {
		key    uint64
		tokens int64
	}
)

func newPrefixCache(limit int64) *prefixCache {
	return &prefixCache{limitTokens: limit, entries: make(map[uint64]*list.Element), lru: list.New()}
}

// lookupAndStore returns the number of tokens of the prompt's longest cached prefix and
// adds all prefixes of the prompt to the cache.
func (c *prefixCache) lookupAndStore(ref version.Ref, prompt []request.Message) int64 {
	digest := xxhash.New()
	digest.WriteString(ref.String()) //nolint:errcheck // a hash never fails
	keys := make([]uint64, len(prompt))
	for i, m := range prompt {
		digest.WriteString(m.Role + "\x00" + m.Content) //nolint:errcheck // a hash never fails
		keys[i] = digest.Sum64()
	}
	var hit int64
	for i := 0; i < len(keys) && c.entries[keys[i]] != nil; i++ {
		hit += countTokens(prompt[i : i+1])
	}
	// A prefix must not be evicted before the longer ones that build on it, so
	// the shortest is touched last.
	for i, key := range slices.Backward(keys) {
		c.touch(key, countTokens(prompt[i:i+1]))
	}
	c.evict()
	return hit
}

// usedShare returns the used share of the limit, 0 to 1.
func (c *prefixCache) usedShare() float64 {
	if c.limitTokens == 0 {
		return 0
	}
	return float64(c.usedTokens) / float64(c.limitTokens)
}

// touch marks a prefix as the most recently used one and adds it if missing.
func (c *prefixCache) touch(key uint64, tokens int64) {
	if e, ok := c.entries[key]; ok {
		c.lru.MoveToFront(e)
		return
	}
	c.entries[key] = c.lru.PushFront(cachedPrefix{key: key, tokens: tokens})
	c.usedTokens += tokens
}

func (c *prefixCache) evict() {
	for c.usedTokens > c.limitTokens && c.lru.Len() > 0 {
		oldest, ok := c.lru.Remove(c.lru.Back()).(cachedPrefix)
		if !ok {
			return
		}
		c.usedTokens -= oldest.tokens
		delete(c.entries, oldest.key)
	}
}
