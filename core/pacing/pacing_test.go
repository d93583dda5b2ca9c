package pacing_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rosereach/core/pacing"
)

var start = time.Unix(1000, 0)

func TestParseLimit(t *testing.T) {
	for _, c := range []struct {
		values   []string
		kind     pacing.Kind
		limit    float64
		readable bool
	}{
		{nil, pacing.Unlimited, 0, true},
		{[]string{"3"}, pacing.Limited, 3, true},
		{[]string{" 3.2 "}, pacing.Limited, 3.2, true},
		{[]string{"0.5"}, pacing.Limited, 0.5, true},
		{[]string{"0"}, pacing.Limited, pacing.MinLimit, true},
		{[]string{"0.001"}, pacing.Limited, pacing.MinLimit, true},
		{[]string{strings.Repeat("9", 400)}, pacing.Limited, pacing.MaxLimit, true},
		{[]string{"-1"}, pacing.None, 0, false},
		{[]string{""}, pacing.None, 0, false},
		{[]string{"."}, pacing.None, 0, false},
		{[]string{"NaN"}, pacing.None, 0, false},
		{[]string{"inf"}, pacing.None, 0, false},
		{[]string{"1e3"}, pacing.None, 0, false},
		{[]string{"3/s"}, pacing.None, 0, false},
		{[]string{"3, 4"}, pacing.None, 0, false},
		{[]string{"3", "3"}, pacing.None, 0, false},
	} {
		got, err := pacing.ParseLimit(c.values)
		if got.Kind != c.kind || got.PerSecond != c.limit || (err == nil) != c.readable {
			t.Errorf("%.40q: %+v, %v", c.values, got, err)
		}
	}
}

// Answers arrive in another order than they were made: only one to a request that was sent
// after the limit was heard ends or raises it.
func TestLateAnswerDoesNotEndLimit(t *testing.T) {
	l := pacing.NewLimiter("e")
	limited := func(n float64) pacing.Statement { return pacing.Statement{Kind: pacing.Limited, PerSecond: n} }
	unlimited := pacing.Statement{Kind: pacing.Unlimited}
	if l.Hear(start, "s", 1, start, unlimited) || !l.Hear(start.Add(time.Second), "s", 1, start, limited(3)) {
		t.Fatal("a limit is no news")
	}
	if l.Hear(start.Add(2*time.Second), "s", 1, start.Add(500*time.Millisecond), unlimited) || !l.IsLimited("s", 1) {
		t.Fatal("an answer to a request that was sent before the limit was heard ends it")
	}
	if l.Hear(start.Add(2*time.Second), "s", 1, start.Add(500*time.Millisecond), limited(4)) {
		t.Fatal("an answer to a request that was sent before the limit was heard raises it")
	}
	if !l.Hear(start.Add(3*time.Second), "s", 1, start.Add(2500*time.Millisecond), limited(3.2)) {
		t.Fatal("a changed limit is no news")
	}
	if l.Hear(start.Add(4*time.Second), "s", 1, start.Add(3500*time.Millisecond), pacing.Statement{}) || !l.IsLimited("s", 1) {
		t.Fatal("an answer that says nothing ends the limit")
	}
	if !l.Hear(start.Add(4*time.Second), "s", 1, start.Add(3500*time.Millisecond), unlimited) || l.IsLimited("s", 1) {
		t.Fatal("the limit does not end")
	}
	if l.Hear(start.Add(5*time.Second), "s", 1, start.Add(3*time.Second), limited(3)) {
		t.Fatal("an answer that was made before the limit ended brings it back")
	}
	l.Hear(start.Add(6*time.Second), "s", 1, start.Add(5*time.Second), limited(3))
	if allowed := l.Allows(start.Add(6*time.Second), "s", 2); !allowed {
		t.Fatal("a limit of an earlier start of the server counts")
	}
}

// paced is an entry of a simulated fleet, and its place in it.
type paced struct {
	id       string
	distance int
	limiter  *pacing.Limiter
	gone     bool
}

// pacedFleet is a fleet of entries, controls and one server that names a limit. Entries and
// controls exchange words every second, at times of their own.
type pacedFleet struct {
	random   *rand.Rand
	now      time.Time
	entries  []*paced
	controls []*pacing.Pool
	limit    float64 // 0 for none
	told     map[string]time.Time
	arrivals []time.Time // from entries that were told half a second before
	total    int
	cut      bool // no control is reached
}

func newPacedFleet(seed uint64, entries int) *pacedFleet {
	f := &pacedFleet{random: rand.New(rand.NewPCG(seed, 7)), now: start, told: make(map[string]time.Time)}
	for range 3 {
		f.controls = append(f.controls, pacing.NewPool())
	}
	for i := range entries {
		f.add(i)
	}
	return f
}

func (f *pacedFleet) add(i int) {
	e := &paced{id: fmt.Sprint("entry-", i), distance: i % 3, limiter: pacing.NewLimiter(fmt.Sprint("entry-", i))}
	e.limiter.SetEntries(i + 1)
	f.entries = append(f.entries, e)
}

func (f *pacedFleet) members(string) ([]pacing.Member, bool) {
	var members []pacing.Member
	for _, e := range f.entries {
		if !e.gone {
			members = append(members, pacing.Member{ID: e.id, Distance: e.distance})
		}
	}
	return members, true
}

// exchange lets an entry and a control tell each other what they know.
func (f *pacedFleet) exchange(e *paced, c *pacing.Pool) {
	if f.cut || e.gone {
		return
	}
	c.Add(f.now, e.limiter.Words(f.now))
	e.limiter.SetEntries(len(f.entries))
	e.limiter.Apply(f.now, c.Words(f.now), c.Shares(e.id, f.members))
}

// run runs the fleet for a while. Each entry has requests for the server at any time.
func (f *pacedFleet) run(d time.Duration) {
	const step = 20 * time.Millisecond
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		for _, i := range f.random.Perm(len(f.entries)) {
			e := f.entries[i]
			if e.gone {
				continue
			}
			if f.random.IntN(25) == 0 {
				f.exchange(e, f.controls[f.random.IntN(len(f.controls))])
			}
			if _, ok := e.limiter.Take(f.now, "s", 1); !ok || f.random.IntN(4) > 0 && f.limit == 0 {
				continue
			}
			f.total++
			if at, ok := f.told[e.id]; ok && f.now.Sub(at) >= 500*time.Millisecond {
				f.arrivals = append(f.arrivals, f.now)
			}
			st := pacing.Statement{Kind: pacing.Unlimited}
			if f.limit > 0 {
				st = pacing.Statement{Kind: pacing.Limited, PerSecond: f.limit}
				if _, ok := f.told[e.id]; !ok {
					f.told[e.id] = f.now
				}
			}
			e.limiter.Hear(f.now, "s", 1, f.now, st)
		}
		for i := range f.controls {
			if f.random.IntN(50) == 0 {
				f.controls[i].Add(f.now, f.controls[(i+1)%3].Words(f.now))
			}
		}
	}
}

// checkBound checks that in any 4 s after a time the server got one and a half times what
// the limit allows and five requests at most.
func (f *pacedFleet) checkBound(t *testing.T, name string, from time.Time, limit float64) {
	t.Helper()
	const window = 4 * time.Second
	bound := int(1.5*limit*window.Seconds() + 5)
	for i, first := range f.arrivals {
		if first.Before(from) {
			continue
		}
		end, _ := slices.BinarySearchFunc(f.arrivals, first.Add(window), time.Time.Compare)
		if n := end - i; n > bound {
			t.Fatalf("%s: %d requests within %v from %v, bound %d", name, n, window, first.Sub(start), bound)
		}
	}
}

// The load pattern is a server that names a limit while every entry of the fleet, small or
// large, has requests for it at any time. The limit holds for all of them together, and is
// used.
func TestLimitHoldsForAnyFleet(t *testing.T) {
	for _, entries := range []int{1, 3, 9, 30, 200} {
		for _, limit := range []float64{0.3, 1, 3, 3.2, 40} {
			f := newPacedFleet(uint64(entries), entries)
			f.run(2 * time.Second)
			f.limit = limit
			named := f.now
			f.run(4 * time.Second)
			before := f.total
			const used = 20 * time.Second
			f.run(used)
			name := fmt.Sprintf("%d entries, limit %v", entries, limit)
			f.checkBound(t, name, named.Add(4*time.Second), limit)
			if got, least := float64(f.total-before), 0.7*limit*used.Seconds()-1; got < least {
				t.Errorf("%s: %v requests, at least %v expected", name, got, least)
			}
		}
	}
}

// The limit changes while it holds, entries come and go, and no control is reached for a
// while.
func TestLimitHoldsThroughChanges(t *testing.T) {
	for seed := range uint64(10) {
		f := newPacedFleet(seed, 12)
		f.limit = 3
		f.run(6 * time.Second)
		f.limit = 3.2
		f.run(4 * time.Second)
		for i := range 4 {
			f.entries[f.random.IntN(len(f.entries))].gone = true
			f.run(2 * time.Second)
			f.add(12 + i)
			f.run(2 * time.Second)
		}
		f.cut = true
		f.run(10 * time.Second)
		f.cut = false
		f.run(5 * time.Second)
		f.checkBound(t, fmt.Sprint("seed ", seed), start.Add(4*time.Second), 3.2)
	}
}

// When the server no longer names the limit, all entries use it freely again, also those
// that may not use it while it holds.
func TestLimitEnds(t *testing.T) {
	f := newPacedFleet(1, 40)
	f.limit = 3
	f.run(8 * time.Second)
	f.limit = 0
	f.run(8 * time.Second)
	for _, e := range f.entries {
		if e.limiter.IsLimited("s", 1) {
			t.Fatalf("%s still keeps the limit", e.id)
		}
	}
}

// An entry that hears a limit while no control is reached keeps a part of it from then on.
func TestLimitHoldsWithoutControls(t *testing.T) {
	for _, entries := range []int{9, 200} {
		f := newPacedFleet(1, entries)
		for _, e := range f.entries {
			e.limiter.SetEntries(entries)
		}
		f.cut, f.limit = true, 3
		f.run(20 * time.Second)
		f.checkBound(t, fmt.Sprint(entries, " entries"), start.Add(4*time.Second), 3)
	}
}

// The shares of all entries never add up to more than the limit.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := pacing.NewPool()
		limit := rapid.Float64Range(pacing.MinLimit, 50).Draw(t, "limit")
		p.Add(start, []pacing.Word{{Server: "s", Incarnation: 1, PerSecond: limit}})
		var members []pacing.Member
		for i := range rapid.IntRange(1, 60).Draw(t, "entries") {
			members = append(members, pacing.Member{ID: fmt.Sprint(i), Distance: rapid.IntRange(0, 2).Draw(t, "distance")})
		}
		sum := 0.0
		for _, m := range members {
			for _, s := range p.Shares(m.ID, func(string) ([]pacing.Member, bool) { return members, true }) {
				sum += s.PerSecond
			}
		}
		if sum > limit*1.0001 || sum < limit*0.9999 {
			t.Fatalf("shares of %v add up to %v", limit, sum)
		}
	})
}

// The only entry that uses a limited server hears the end of its limit at once. Others may
// use it too then, although the first word of that was too close to the limit to count.
func TestLimitEndsForOthers(t *testing.T) {
	l, p := pacing.NewLimiter("e"), pacing.NewPool()
	l.Hear(start, "s", 1, start, pacing.Statement{Kind: pacing.Limited, PerSecond: 3})
	p.Add(start, l.Words(start))
	for _, ms := range []int{100, 1100, 2100} {
		sentAt := start.Add(time.Duration(ms) * time.Millisecond)
		now := sentAt.Add(50 * time.Millisecond)
		l.Hear(now, "s", 1, sentAt, pacing.Statement{Kind: pacing.Unlimited})
		p.Add(now, l.Words(now))
	}
	now := start.Add(3 * time.Second)
	for _, w := range p.Words(now) {
		if w.PerSecond > 0 {
			t.Errorf("the limit is still passed on: %+v", w)
		}
	}
	if words := l.Words(start.Add(time.Minute)); len(words) > 0 {
		t.Errorf("its end is passed on for ever: %+v", words)
	}
}
