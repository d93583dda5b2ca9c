package warmup_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"rosereach/core/pacing"
	"rosereach/core/warmup"
)

var (
	start  = time.Unix(1000, 0)
	bounds = warmup.Bounds{Overshoot: 1.5, Slack: 5}
)

func TestParseRemaining(t *testing.T) {
	for _, c := range []struct {
		values []string
		want   time.Duration
		bad    bool
	}{
		{nil, 0, false},
		{[]string{"2400"}, 2400 * time.Millisecond, false},
		{[]string{" 0 "}, 0, false},
		{[]string{"1.5"}, 1500 * time.Microsecond, false},
		{[]string{"1e300"}, 10 * time.Minute, false},
		{[]string{"-1"}, 0, true},
		{[]string{"NaN"}, 0, true},
		{[]string{""}, 0, true},
		{[]string{"1", "2"}, 0, true},
	} {
		got, err := warmup.ParseRemaining(c.values)
		if got != c.want || (err != nil) != c.bad {
			t.Errorf("%q: %v, %v", c.values, got, err)
		}
	}
}

// A late announcement with less time left does not end a warm-up early, and one of an
// earlier start says nothing about the server.
func TestLateNoticeDoesNotEndWarmup(t *testing.T) {
	table := warmup.NewTable()
	if !table.Observe(start, warmup.Notice{Server: "s", Incarnation: 2, Remaining: 3 * time.Second}) {
		t.Fatal("the begin of a warm-up is no news")
	}
	for _, n := range []warmup.Notice{
		{Server: "s", Incarnation: 2, Remaining: time.Second}, {Server: "s", Incarnation: 2}, {Server: "s", Incarnation: 1, Remaining: time.Minute},
	} {
		if table.Observe(start, n) {
			t.Errorf("%+v is news", n)
		}
	}
	if got := table.Until("s", 2); !got.Equal(start.Add(3 * time.Second)) {
		t.Errorf("warm at %v", got)
	}
	if !table.Observe(start.Add(10*time.Second), warmup.Notice{Server: "s", Incarnation: 2, Remaining: time.Second}) {
		t.Error("a server that becomes cold again is no news")
	}
}

// simulatedEntry is an entry that wants to send a request to the server in each step.
type simulatedEntry struct {
	id      string
	limiter *warmup.Limiter
	ranked  bool
}

// fleet returns entries in three availability zones. Ranked entries get a control's ranking.
func fleet(n int, ranked func(i int) bool) []simulatedEntry {
	entries := make([]simulatedEntry, n)
	for i := range entries {
		id := fmt.Sprint("entry-", i)
		entries[i] = simulatedEntry{id: id, limiter: warmup.NewLimiter(id, bounds), ranked: ranked(i)}
		entries[i].limiter.SetEntries(n)
	}
	return entries
}

// runWarmup returns when the server got requests, from all entries. All of them want to
// send it one in each step of 5 ms, which is the load of entries that all find it empty.
func runWarmup(entries []simulatedEntry, servers []string, length time.Duration, perSecond float64) map[string][]time.Time {
	var members []pacing.Member
	for i, e := range entries {
		members = append(members, pacing.Member{ID: e.id, Distance: i % 3})
		for _, s := range servers {
			e.limiter.Observe(start, warmup.Notice{Server: s, Incarnation: 1, Remaining: 3 * time.Second})
		}
	}
	rankings := make(map[string]warmup.Ranking)
	for _, s := range servers {
		rankings[s] = warmup.RankAll(s, members)
	}
	sent := make(map[string][]time.Time)
	random := rand.New(rand.NewPCG(1, 1))
	for now := start; now.Sub(start) < length; now = now.Add(5 * time.Millisecond) {
		for _, i := range random.Perm(len(entries)) {
			e := entries[i]
			for _, s := range servers {
				if e.ranked && now.Sub(start)%time.Second == 0 {
					e.limiter.Rank(now, warmup.Rank{Server: s, Incarnation: 1, Rank: rankings[s].Of(e.id)})
				}
				if taken, ok := e.limiter.Take(now, s, 1, perSecond); ok && taken {
					sent[s] = append(sent[s], now)
				}
			}
		}
	}
	return sent
}

// mostInASecond returns the largest number of moments within any second.
func mostInASecond(moments []time.Time) int {
	most, first := 0, 0
	for last, at := range moments {
		for at.Sub(moments[first]) >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// Many entries that all want to use servers that warm up stay within the bound in every
// second: when the controls rank them, when none does, and when a half of them is cut off.
// The servers get work nevertheless.
func TestSumOverEntriesStaysWithinBound(t *testing.T) {
	var servers []string
	for i := range 15 {
		servers = append(servers, fmt.Sprint("server-", i))
	}
	for _, c := range []struct {
		name      string
		entries   int
		perSecond float64
		ranked    func(i int) bool
	}{
		{"ranked", 79, 8.8, func(int) bool { return true }},
		{"without controls", 79, 8.8, func(int) bool { return false }},
		{"half cut off", 79, 8.8, func(i int) bool { return i%2 == 0 }},
		{"large fleet", 300, 13, func(int) bool { return true }},
		{"small fleet", 3, 8.8, func(int) bool { return true }},
		{"small rate", 55, 0.5, func(int) bool { return true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			sent := runWarmup(fleet(c.entries, c.ranked), servers, 3*time.Second, c.perSecond)
			bound := c.perSecond*bounds.Overshoot + bounds.Slack
			total := 0
			for _, s := range servers {
				if most := mostInASecond(sent[s]); float64(most) > bound {
					t.Errorf("%s got %d requests in a second, bound %.1f", s, most, bound)
				}
				total += len(sent[s])
			}
			if want := 0.3 * c.perSecond * 3 * float64(len(servers)); float64(total) < want {
				t.Errorf("%d requests in all, less than %.0f", total, want)
			}
		})
	}
}

// A ranking that nobody renews runs out, so that an entry that was suspended or cut off
// does not go on with it for ever. An entry that is ranked last gets nothing meanwhile.
func TestRankingRunsOut(t *testing.T) {
	l := warmup.NewLimiter("e", bounds)
	l.SetEntries(1)
	l.Observe(start, warmup.Notice{Server: "s", Incarnation: 1, Remaining: time.Minute})
	l.Rank(start, warmup.Rank{Server: "s", Incarnation: 1, Rank: 50})
	if l.Allows(start.Add(2900*time.Millisecond), "s", 1, 8.8) {
		t.Error("the last of the ranking sends a request")
	}
	later := start.Add(3100 * time.Millisecond)
	l.Allows(later, "s", 1, 8.8)
	if !l.Allows(later.Add(time.Second), "s", 1, 8.8) {
		t.Error("the only live entry does not use the server after the ranking has run out")
	}
}

// The entries come back to a server that is warm one after the other: no tenth of a second
// sees more than a quarter of them.
func TestEntriesComeBackSpread(t *testing.T) {
	entries := fleet(79, func(int) bool { return false })
	var ends []time.Duration
	for _, e := range entries {
		e.limiter.Observe(start, warmup.Notice{Server: "s", Incarnation: 1, Remaining: time.Second})
		end := time.Second
		for e.limiter.IsWarming(start.Add(end), "s", 1) {
			end += time.Millisecond
		}
		ends = append(ends, end)
	}
	slices.Sort(ends)
	if ends[0] < time.Second || ends[len(ends)-1] > 2*time.Second {
		t.Errorf("the entries come back from %v to %v", ends[0], ends[len(ends)-1])
	}
	for first := range ends {
		last := first
		for last < len(ends) && ends[last]-ends[first] < 100*time.Millisecond {
			last++
		}
		if last-first > len(ends)/4 {
			t.Errorf("%d of %d entries come back within 100 ms", last-first, len(ends))
		}
	}
}

// A service without a rate, another start of the server and a warm server are not limited.
func TestOnlyWarmingServersAreLimited(t *testing.T) {
	l := warmup.NewLimiter("e", bounds)
	l.Observe(start, warmup.Notice{Server: "s", Incarnation: 1, Remaining: time.Second})
	for name, ok := range map[string]bool{
		"no rate":       l.Allows(start, "s", 1, 0),
		"another start": l.Allows(start, "s", 2, 8.8),
		"warm":          l.Allows(start.Add(2*time.Second), "s", 1, 8.8),
		"another":       l.Allows(start, "t", 1, 8.8),
	} {
		if !ok {
			t.Errorf("%s: limited", name)
		}
	}
	l.Take(start, "s", 1, 8.8)
	if l.Allows(start, "s", 1, 8.8) {
		t.Error("a server that warms up is not limited")
	}
	if wait, _ := l.Wait(start, "s", 1, 8.8); wait <= 0 || wait > 2*time.Second {
		t.Errorf("wait %v", wait)
	}
}

// Members that tell each other what they know do not keep a server cold: each message adds
// the time that it was under way, and only what a server said itself is passed on.
func TestMembersDoNotProlongAWarmup(t *testing.T) {
	a, b := warmup.NewTable(), warmup.NewTable()
	a.ObserveDirect(start, warmup.Notice{Server: "s", Incarnation: 1, Remaining: 3 * time.Second})
	const underWay = 60 * time.Millisecond
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(underWay) {
		fromA, fromB := a.DirectNotices(now), b.DirectNotices(now)
		for _, n := range fromA {
			b.Observe(now.Add(underWay), n)
		}
		for _, n := range fromB {
			a.Observe(now.Add(underWay), n)
		}
	}
	for name, table := range map[string]*warmup.Table{"a": a, "b": b} {
		if until := table.Until("s", 1); until.After(start.Add(3500 * time.Millisecond)) {
			t.Errorf("%s holds the server for cold until %v after the start", name, until.Sub(start))
		}
	}
}
