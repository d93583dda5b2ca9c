package speed_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"rosereach/core/speed"
)

var start = time.Unix(1000, 0)

func everyone(string) bool { return true }

// fleet is servers of three lasting speeds whose machines turn slow for parts of a second.
type fleet struct {
	slowdowns []float64
	slowUntil []time.Time
	random    *rand.Rand
}

func newFleet(servers int, seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), slowUntil: make([]time.Time, servers)}
	for i := range servers {
		f.slowdowns = append(f.slowdowns, []float64{1.6, 1, 0.6}[i%3])
	}
	return f
}

// slowdown returns what a server tells with an answer.
func (f *fleet) slowdown(now time.Time, server int) float64 {
	if now.After(f.slowUntil[server]) && f.random.Float64() < 0.04 {
		f.slowUntil[server] = now.Add(600 * time.Millisecond)
	}
	if now.Before(f.slowUntil[server]) {
		return 2.5 * f.slowdowns[server]
	}
	return f.slowdowns[server] * (0.97 + 0.06*f.random.Float64())
}

// Sixty servers of three speeds are told apart within ten seconds by entries that each see a
// server once in ten seconds, although their machines turn slow for a while; and what was told
// hardly ever changes afterward.
func TestLastingSpeedsAreToldApart(t *testing.T) {
	const servers, entries, perSecond = 60, 56, 300
	for seed := range uint64(5) {
		f := newFleet(servers, seed)
		pool := speed.NewPool()
		recorders := make([]*speed.Recorder, entries)
		for i := range recorders {
			recorders[i] = speed.NewRecorder()
		}
		var settled uint64
		for tick := range 30 * 10 {
			now := start.Add(time.Duration(tick) * 100 * time.Millisecond)
			for range perSecond / 10 {
				i := f.random.IntN(servers)
				recorders[f.random.IntN(entries)].Record(fmt.Sprint(i), 1, f.slowdown(now, i))
			}
			// A control hears of a third of the entries' answers.
			for _, r := range recorders[:entries/3] {
				pool.Add(now, r.Take())
			}
			pool.Judge(now, everyone)
			if tick == 10*10 {
				table := speed.NewTable()
				table.Apply("c", pool.Since(0), true)
				wrong := 0
				for i := range servers {
					if got := table.LogRatio(fmt.Sprint(i), 1); math.Abs(got-math.Log(f.slowdowns[i])) > 0.15 {
						wrong++
					}
				}
				if wrong > servers/20 {
					t.Errorf("seed %d: %d of %d speeds are off after 10 s", seed, wrong, servers)
				}
				settled = pool.Version()
			}
		}
		if moved := len(pool.Since(settled)); moved > servers/10 {
			t.Errorf("seed %d: %d estimates moved in the following 20 s", seed, moved)
		}
	}
}

// A server that starts anew counts as average until it has answered, and one that is gone is
// forgotten.
func TestNewStartIsForgotten(t *testing.T) {
	pool, table := speed.NewPool(), speed.NewTable()
	r := speed.NewRecorder()
	for range 5 {
		r.Record("a", 1, 1.6)
		r.Record("b", 1, 0.6)
	}
	pool.Add(start, r.Take())
	pool.Judge(start, everyone)
	table.Apply("c", pool.Since(0), true)
	if table.LogRatio("a", 1) <= 0 || table.Weight("a", 1) >= 1 || table.Weight("b", 1) <= 1 || table.LogRatio("a", 2) != 0 {
		t.Errorf("%v for its start, %v for the next", table.LogRatio("a", 1), table.LogRatio("a", 2))
	}
	r.Record("a", 2, 1)
	pool.Add(start, r.Take())
	pool.Judge(start, func(id string) bool { return id == "a" })
	table.Retain(func(id string) bool { return id == "a" })
	if got := pool.Since(0); len(got) != 0 || table.LogRatio("b", 1) != 0 {
		t.Errorf("%+v is remembered", got)
	}
}

// Servers that tell no pace, or nonsense, are not told about, and malformed samples of a
// member harm nobody.
func TestUnusableFigures(t *testing.T) {
	r := speed.NewRecorder()
	for _, slowdown := range []float64{0, -1, math.NaN(), math.Inf(1)} {
		r.Record("a", 1, slowdown)
	}
	if got := r.Take(); got != nil {
		t.Errorf("%+v", got)
	}
	pool := speed.NewPool()
	pool.Add(start, []speed.Sample{{Server: "a", Incarnation: 1, Slowdowns: make([]int8, 1<<20)}, {Server: "b", Incarnation: 1, Slowdowns: []int8{127, -128, 127, 127}}})
	pool.Judge(start, everyone)
	for _, e := range pool.Since(0) {
		if math.Abs(e.LogRatio) > 2 {
			t.Errorf("%+v", e)
		}
	}
}

// The estimates of several controls are averaged, and those of a newer start count alone.
func TestTableMergesControls(t *testing.T) {
	table := speed.NewTable()
	table.Apply("c1", []speed.Estimate{{Server: "a", Incarnation: 1, LogRatio: 0.3}}, false)
	table.Apply("c2", []speed.Estimate{{Server: "a", Incarnation: 1, LogRatio: 0.6}}, false)
	if got := table.LogRatio("a", 1); math.Abs(got-0.45) > 1e-9 {
		t.Errorf("%v", got)
	}
	table.Apply("c1", []speed.Estimate{{Server: "a", Incarnation: 2, LogRatio: -0.3}}, false)
	if got := table.LogRatio("a", 2); got != -0.3 || table.LogRatio("a", 1) != 0 {
		t.Errorf("%v, %v", got, table.LogRatio("a", 1))
	}
}
