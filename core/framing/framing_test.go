package framing_test

import (
	"testing"

	"rosereach/core/framing"
)

// Servers break streams off, fail at once or are killed while others are asked for the rest.
func TestEndsStream(t *testing.T) {
	for name, c := range map[string]struct {
		mark   framing.Mark
		stream framing.Stream
		want   bool
	}{
		"whole stream":                                    {framing.ByChunks, framing.Stream{Extended: true, Begun: true, CanAsk: true}, true},
		"its rest, after a partial event":                 {framing.ByLength, framing.Stream{Extended: true, Begun: true, CanAsk: true}, true},
		"nothing follows the last event":                  {framing.ByLength, framing.Stream{Begun: true, Confirmations: 2, CanAsk: true}, true},
		"one server says that nothing follows":            {framing.ByLength, framing.Stream{Begun: true, Confirmations: 1, CanAsk: true}, false},
		"the only one that may be asked says so":          {framing.ByLength, framing.Stream{Begun: true, Confirmations: 1}, true},
		"a server stops its chunks when its time is over": {framing.ByChunks, framing.Stream{Extended: true, Begun: true, TimeUp: true}, false},
		"the length is reached when its time is over":     {framing.ByLength, framing.Stream{Extended: true, Begun: true, TimeUp: true}, true},
		"nothing follows a partial event":                 {framing.ByChunks, framing.Stream{Begun: true, Confirmations: 2, MoreSeen: true, CanAsk: true}, false},
		"nothing follows what one server claims":          {framing.ByChunks, framing.Stream{Begun: true, Confirmations: 2, Claimed: true, CanAsk: true}, true},
		"one server denies what another claims":           {framing.ByChunks, framing.Stream{Begun: true, Confirmations: 1, Claimed: true, CanAsk: true}, false},
		"a whole answer without what another claims":      {framing.ByLength, framing.Stream{Extended: true, Begun: true, Claimed: true, CanAsk: true}, false},
		"the rest and another one without more":           {framing.ByLength, framing.Stream{Extended: true, Begun: true, Confirmations: 2, Claimed: true, CanAsk: true}, true},
		"no event at all":                                 {framing.ByLength, framing.Stream{CanAsk: true}, false},
		"the connection ends, others can be asked":        {framing.ByClose, framing.Stream{Extended: true, Begun: true, CanAsk: true}, false},
		"the connection ends, no other may be asked":      {framing.ByClose, framing.Stream{Extended: true, Begun: true}, true},
		"the connection of a second server says nothing":  {framing.ByClose, framing.Stream{Begun: true, CanAsk: true}, false},
	} {
		if got := c.mark.EndsStream(c.stream); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}
