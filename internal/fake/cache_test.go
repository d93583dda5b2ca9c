package fake

import (
	"testing"

	"rosereach/core/request"
	"rosereach/core/version"
)

// messageOfTokens returns a message of the given number of tokens.
func messageOfTokens(name string, tokens int) request.Message {
	content := []byte(name)
	for len(content) < (tokens-1)*4 {
		content = append(content, '.')
	}
	return request.Message{Role: "user", Content: string(content)}
}

func TestPrefixCache(t *testing.T) {
	ref := version.Ref{Model: "small", Version: "v1"}
	other := version.Ref{Model: "small", Version: "v2"}
	system := messageOfTokens("system", 10)
	for _, tc := range []struct {
		name   string
		limit  int64
		before [][]request.Message
		ref    version.Ref
		prompt []request.Message
		hit    int64
	}{
		{"empty", 100, nil, ref, []request.Message{system}, 0},
		{"whole prompt", 100, [][]request.Message{{system, messageOfTokens("a", 20)}}, ref, []request.Message{system, messageOfTokens("a", 20)}, 30},
		{"shared prefix", 100, [][]request.Message{{system, messageOfTokens("a", 20)}}, ref, []request.Message{system, messageOfTokens("b", 20)}, 10},
		{"no shared prefix", 100, [][]request.Message{{system, messageOfTokens("a", 20)}}, ref, []request.Message{messageOfTokens("a", 20)}, 0},
		{"another version", 100, [][]request.Message{{system}}, other, []request.Message{system}, 0},
		{"the prefix is evicted after its continuation", 35, [][]request.Message{{system, messageOfTokens("a", 20)}, {system, messageOfTokens("b", 20)}}, ref, []request.Message{system, messageOfTokens("a", 20)}, 10},
		{"least recently used prefix is evicted", 35, [][]request.Message{{messageOfTokens("a", 30)}, {messageOfTokens("b", 30)}}, ref, []request.Message{messageOfTokens("a", 30)}, 0},
		{"prompt larger than the limit", 5, [][]request.Message{{system}}, ref, []request.Message{system}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newPrefixCache(tc.limit)
			for _, prompt := range tc.before {
				c.lookupAndStore(ref, prompt)
			}
			if c.usedTokens > tc.limit {
				t.Errorf("holds %d of %d tokens", c.usedTokens, tc.limit)
			}
			if hit := c.lookupAndStore(tc.ref, tc.prompt); hit != tc.hit {
				t.Errorf("hit %d, want %d", hit, tc.hit)
			}
		})
	}
}
