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
		"closed, and closed by the last server":           {framing.ByClose, framing.Stream{Begun: true, Closes: 2, Last: true, CanAsk: true}, true},
		"closed, and framed by the last server":           {framing.ByChunks, framing.Stream{Begun: true, Closes: 1, Confirmations: 1, Last: true, CanAsk: true}, true},
		"closed twice, and another server may be asked":   {framing.ByClose, framing.Stream{Begun: true, Closes: 2, CanAsk: true}, false},
		"framed, closed, and another one may be asked":    {framing.ByChunks, framing.Stream{Begun: true, Closes: 1, Confirmations: 1, CanAsk: true}, false},
		"closed by the last server alone":                 {framing.ByClose, framing.Stream{Extended: true, Begun: true, Closes: 1, Last: true, CanAsk: true}, false},
		"framed by the last server alone":                 {framing.ByLength, framing.Stream{Begun: true, Confirmations: 1, Last: true, CanAsk: true}, false},
		"closed twice after more was seen":                {framing.ByClose, framing.Stream{Begun: true, Closes: 2, MoreSeen: true, Last: true, CanAsk: true}, false},
		"closed twice after more was claimed":             {framing.ByClose, framing.Stream{Begun: true, Closes: 2, Claimed: true, Last: true, CanAsk: true}, false},
		"closed twice without an event":                   {framing.ByClose, framing.Stream{Closes: 2, Last: true, CanAsk: true}, false},
		"closed twice when the time is over":              {framing.ByClose, framing.Stream{Begun: true, Closes: 2, TimeUp: true, Last: true, CanAsk: true}, false},
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
