package fake

import (
	"github.com/cespare/xxhash/v2"

	"rosereach/core/request"
	"rosereach/core/version"
)

type (
	// prefixCache remembers the prefixes of prompts, message by message, in
	// limited memory. The least recently used prefix goes first.
	prefixCache struct {
		limit   int64
		held    int64
		turn    uint64
		entries map[uint64]cachedPrefix
	}

	cachedPrefix struct {
		tokens int64
		turn   uint64
	}
)

func newPrefixCache(limit int64) *prefixCache {
	return &prefixCache{limit: limit, entries: make(map[uint64]cachedPrefix)}
}

// use returns the number of tokens of the prompt's longest cached prefix, and
// puts the whole prompt into the cache.
func (c *prefixCache) use(ref version.Ref, prompt []request.Message) int64 {
	c.turn++
	digest := xxhash.New()
	digest.WriteString(ref.String()) //nolint:errcheck // a hash takes all bytes
	var hit int64
	intact := true
	for i := range prompt {
		digest.WriteString(prompt[i].Role + "\x00" + prompt[i].Content) //nolint:errcheck // a hash takes all bytes
		key := digest.Sum64()
		tokens := tokensOf(prompt[i : i+1])
		_, known := c.entries[key]
		intact = intact && known
		if intact {
			hit += tokens
		}
		if !known {
			c.held += tokens
		}
		c.entries[key] = cachedPrefix{tokens: tokens, turn: c.turn}
	}
	c.evict()
	return hit
}

// used returns the used share of the memory.
func (c *prefixCache) used() float64 {
	if c.limit == 0 {
		return 0
	}
	return float64(c.held) / float64(c.limit)
}

func (c *prefixCache) evict() {
	for c.held > c.limit && len(c.entries) > 0 {
		var oldest uint64
		first := true
		for key, e := range c.entries {
			if first || e.turn < c.entries[oldest].turn {
				oldest, first = key, false
			}
		}
		c.held -= c.entries[oldest].tokens
		delete(c.entries, oldest)
	}
}
