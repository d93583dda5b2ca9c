package experiment

import (
	"math"
	"testing"
	"time"
)

// The cost of a token is computed from rounds that differ only in their number of
// tokens; the rest of a short round's cost is that of its requests.
func TestOverheadSplitsTokensFromRequests(t *testing.T) {
	const perToken, perRequest = 4.0, 300.0
	requests := overheadRounds * longRound.streams
	round := func(tokens int64, entry bool) benchSample {
		cost := 20 * float64(tokens)
		if entry {
			cost += perToken*float64(tokens) + perRequest
		}
		return benchSample{
			cpuTime: time.Duration(cost * float64(requests) * float64(time.Microsecond)),
			tokens:  tokens * int64(requests),
		}
	}
	s := overheadSamples{
		direct: round(longRound.tokens, false), viaEntry: round(longRound.tokens, true),
		shortDirect: round(shortRound.tokens, false), shortViaEntry: round(shortRound.tokens, true),
	}
	if got := s.microsPerToken(); math.Abs(got-perToken) > 0.01 {
		t.Errorf("%g us a token, want %g", got, perToken)
	}
	if got := s.microsPerRequest(); math.Abs(got-perRequest) > 0.1 {
		t.Errorf("%g us a request, want %g", got, perRequest)
	}
}
