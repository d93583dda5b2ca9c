package entry

import "testing"

// A server that was killed behind an event without an id ended the stream as whole for its caller,
// whose answer had chunks.
func TestKilledServersStreamWithoutIDsIsNotWhole(t *testing.T) {
	for name, text := range map[string]string{
		"no ids":        "data: 1\n\n",
		"comment first": ": ping\n\ndata: 1\n\n",
		"id first":      "id: 1\ndata: 1\n\ndata: 2\n\n",
	} {
		got, runs := newHarness(t).restInTurn(3, killed(untilClose(text)))
		if got.err == nil && got.isMarked() || got.body != text {
			t.Errorf("%s: %q ends as complete after %d runs", name, got.body, runs)
		}
		if got, runs := newHarness(t).restInTurn(3, untilClose(text)); got.err != nil || got.body != text {
			t.Errorf("%s, of a server that is still there: %q after %d runs, %v", name, got.body, runs, got.err)
		}
	}
}
