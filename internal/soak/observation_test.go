package soak

import (
	"testing"
	"time"

	"rosereach/platform"
)

// at returns the time of day that many milliseconds after the start of a test.
func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

// sent returns a request to entry e that was sent at a time and answered by the server 5 ms
// later.
func sent(id string, ms int, server string) requestOutcome {
	return requestOutcome{id: id, kind: "unsafe", entry: "e", status: 200, server: server, sentAt: at(ms), writtenAt: at(ms), headAt: at(ms + 5), endedAt: at(ms + 5)}
}

// cut returns a request to entry e whose connection was closed after a time without an
// answer.
func cut(id string, ms, took int) requestOutcome {
	return requestOutcome{id: id, kind: "unsafe", entry: "e", closed: true, sentAt: at(ms), writtenAt: at(ms), endedAt: at(ms + took)}
}

func reached(id, server string, ms int, plan answerPlan) arrival {
	return arrival{requestID: id, server: server, at: at(ms), answerPlan: plan}
}

func disruptedFrom(kind disruptionKind, begin, end int) map[string][]disruption {
	return map[string][]disruption{"e": {{kind: kind, begin: at(begin), end: at(end)}}}
}

type checkCase struct {
	o    observation
	want int
}

func runChecks(t *testing.T, cases map[string]checkCase, check func(*violations, observation)) {
	t.Helper()
	for name, c := range cases {
		var v violations
		check(&v, c.o)
		if got := v.all(); len(got) != c.want {
			t.Errorf("%s: want %d violations, got %v", name, c.want, got)
		}
	}
}

// A connection that is closed without a complete answer is reported, unless one of the
// excuses holds.
func TestCheckLost(t *testing.T) {
	grace := int(platform.SimulatedGracePeriod.Milliseconds())
	passedOn := []arrival{reached("a", "s", 10_001, answerPlan{})}
	one := []requestOutcome{cut("a", 10_000, 1000)}
	runChecks(t, map[string]checkCase{
		"passed on":                        {observation{outcomes: one, arrivals: passedOn}, 1},
		"read and not passed on":           {observation{outcomes: one}, 1},
		"crosses the close":                {observation{outcomes: []requestOutcome{cut("a", 10_000, 150)}}, 0},
		"passed on and crosses the close":  {observation{outcomes: []requestOutcome{cut("a", 10_000, 150)}, arrivals: passedOn}, 1},
		"complete":                         {observation{outcomes: []requestOutcome{sent("a", 10_000, "s")}, arrivals: passedOn}, 0},
		"not written":                      {observation{outcomes: []requestOutcome{{id: "a", closed: true, sentAt: at(0), endedAt: at(900)}}}, 0},
		"the server broke off":             {observation{outcomes: one, arrivals: []arrival{reached("a", "s", 10_001, answerPlan{fault: 3})}}, 0},
		"an earlier server broke off":      {observation{outcomes: one, arrivals: []arrival{reached("a", "s", 10_001, answerPlan{fault: 2}), reached("a", "s2", 10_002, answerPlan{})}}, 1},
		"the deadline is reached":          {observation{outcomes: []requestOutcome{cut("a", 10_000, int(requestTimeout.Milliseconds()))}, arrivals: passedOn}, 0},
		"the entry is killed meanwhile":    {observation{outcomes: one, arrivals: passedOn, entries: disruptedFrom(killed, 10_500, 12_000)}, 0},
		"the entry was frozen shortly ago": {observation{outcomes: one, arrivals: passedOn, entries: disruptedFrom(frozen, 5000, 6500)}, 0},
		"the entry was frozen long ago":    {observation{outcomes: one, arrivals: passedOn, entries: disruptedFrom(frozen, 5000, 5500)}, 1},
		"another entry is killed": {observation{outcomes: one, arrivals: passedOn, entries: map[string][]disruption{
			"other": {{kind: killed, begin: at(10_500), end: at(12_000)}},
		}}, 1},
		"planned stop":               {observation{outcomes: one, arrivals: passedOn, entries: disruptedFrom(planned, 9000, 12_000)}, 1},
		"the grace time ends":        {observation{outcomes: one, arrivals: passedOn, entries: disruptedFrom(planned, 11_000-grace*5/6, 13_000)}, 1},
		"the grace time ends, early": {observation{outcomes: []requestOutcome{cut("a", 10_000, 3900)}, arrivals: passedOn, entries: disruptedFrom(planned, 13_800-grace*5/6, 14_500)}, 0},
	}, (*violations).checkLost)
}
