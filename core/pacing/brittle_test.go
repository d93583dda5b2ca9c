package pacing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"rosereach/core/health"
	"rosereach/core/pacing"
)

func TestParseBrittle(t *testing.T) {
	for _, c := range []struct {
		values []string
		kind   pacing.Kind
		n      float64
	}{
		{nil, pacing.Unlimited, 0},
		{[]string{"5"}, pacing.Limited, 5},
		{[]string{" 0 "}, pacing.Limited, 0},
		{[]string{"0.5"}, pacing.Limited, 0.5},
		{[]string{""}, pacing.None, 0},
		{[]string{"-1"}, pacing.None, 0},
		{[]string{"1", "2"}, pacing.None, 0},
		{[]string{"NaN"}, pacing.None, 0},
		{[]string{"1e3"}, pacing.None, 0},
	} {
		got, err := pacing.ParseBrittle(c.values)
		if got.Kind != c.kind || got.PerSecond != c.n || (err != nil) != (c.kind == pacing.None) {
			t.Errorf("%q: %+v, %v", c.values, got, err)
		}
	}
}

// An answer to a request that was sent before the server said that it is brittle does not end
// that, one that was sent later does, and so does a new start.
func TestBrittleEndsWithALaterAnswer(t *testing.T) {
	b := pacing.NewBrittle()
	five, none := pacing.Statement{Kind: pacing.Limited, PerSecond: 5}, pacing.Statement{Kind: pacing.Unlimited}
	now := time.Unix(1000, 0)
	if !b.Observe(now, "s", 1, now, five) || b.Observe(now, "s", 1, now.Add(-time.Second), none) || b.HoldOff("s", 1) == 0 {
		t.Fatal("an earlier answer ends it")
	}
	if b.HoldOff("s", 2) != 0 || !b.Allows("s", 2, 0) {
		t.Fatal("it holds for another start")
	}
	if !b.Observe(now, "s", 1, now.Add(time.Second), none) || b.HoldOff("s", 1) != 0 {
		t.Fatal("a later answer does not end it")
	}
}

// brittleServers are servers with a queue that shrinks, used by entries with restraints.
type brittleFleet struct {
	now     time.Time
	entries []*brittleEntry
	servers []*brittleServer
	falls   int
	served  int
}

type brittleEntry struct {
	brittle    *pacing.Brittle
	restraints *health.Restraints
}

type brittleServer struct {
	id         string
	running    []time.Time // ends of the requests, those that wait included
	entryOf    []int
	countedOf  []bool
	rejections []time.Time
	upAt       time.Time
}

const (
	brittleSlots = 6
	brittleBears = 5
	brittleStep  = 5 * time.Millisecond
)

// send sends a request by an entry to a server that it may use. Queue is the number of requests
// that wait at a server at most.
func (f *brittleFleet) send(entry int, queue int, r *rand.Rand) {
	e := f.entries[entry]
	for _, i := range r.Perm(len(f.servers)) {
		s := f.servers[i]
		if e.restraints.Check(f.now, s.id, 1) != "" || !e.brittle.Allows(s.id, 1, brittleSlots) || f.now.Before(s.upAt) {
			continue
		}
		counted, _ := e.restraints.Begin(f.now, s.id, 1)
		st := pacing.Statement{Kind: pacing.Limited, PerSecond: brittleBears}
		e.brittle.Observe(f.now, s.id, 1, f.now, st)
		if len(s.running) >= brittleSlots+queue {
			e.restraints.Hear(f.now, s.id, 1, health.Word{HoldOff: e.brittle.HoldOff(s.id, 1)})
			if counted {
				e.restraints.End(s.id, 1, false)
			}
			f.reject(s)
			return
		}
		e.brittle.Begin(s.id)
		s.running = append(s.running, f.now.Add(time.Duration((0.5+r.ExpFloat64()/2)*float64(60*time.Millisecond))*time.Duration(1+len(s.running)/brittleSlots)))
		s.entryOf, s.countedOf = append(s.entryOf, entry), append(s.countedOf, counted)
		return
	}
}

func (f *brittleFleet) reject(s *brittleServer) {
	s.rejections = append(s.rejections, f.now)
	recent := 0
	for _, at := range s.rejections {
		if f.now.Sub(at) < time.Second {
			recent++
		}
	}
	if recent > brittleBears {
		f.falls++
		s.upAt, s.rejections = f.now.Add(3*time.Second), nil
		f.drop(s, func(int) bool { return true })
	}
}

// drop ends the requests at a server for which ended returns true.
func (f *brittleFleet) drop(s *brittleServer, ended func(i int) bool) {
	var running []time.Time
	var entryOf []int
	var countedOf []bool
	for i := range s.running {
		if !ended(i) {
			running, entryOf, countedOf = append(running, s.running[i]), append(entryOf, s.entryOf[i]), append(countedOf, s.countedOf[i])
			continue
		}
		e := f.entries[s.entryOf[i]]
		e.brittle.End(s.id)
		if s.countedOf[i] {
			e.restraints.End(s.id, 1, true)
		}
	}
	s.running, s.entryOf, s.countedOf = running, entryOf, countedOf
}

// Three times as many requests as the servers can take arrive at nine entries while the
// servers' queues shrink to nothing. They fall over twice and a tenth of their number at most,
// and most of what they can do is done.
func TestBrittleServersStayUp(t *testing.T) {
	for seed := range uint64(10) {
		r := rand.New(rand.NewPCG(seed, 1))
		f := &brittleFleet{now: time.Unix(1000, 0)}
		for range 9 {
			e := &brittleEntry{brittle: pacing.NewBrittle(), restraints: health.NewRestraints()}
			e.brittle.SetEntries(9)
			f.entries = append(f.entries, e)
		}
		for i := range 3 {
			f.servers = append(f.servers, &brittleServer{id: fmt.Sprint("server-", i)})
		}
		const perSecond, length = 900, 20 * time.Second
		for elapsed := time.Duration(0); elapsed < length; elapsed += brittleStep {
			f.now = f.now.Add(brittleStep)
			queue := 4
			if elapsed > 4*time.Second {
				queue = 0
			}
			for n := perSecond * brittleStep.Seconds(); n > 0; n-- {
				if r.Float64() < n {
					f.send(r.IntN(9), queue, r)
				}
			}
			for _, s := range f.servers {
				f.drop(s, func(i int) bool {
					if f.now.Before(s.running[i]) {
						return false
					}
					f.served++
					return true
				})
			}
		}
		capacity := 3 * brittleSlots / 0.06 * length.Seconds()
		if f.falls > 2 || float64(f.served) < 0.5*capacity {
			t.Errorf("seed %d: %d falls, %d of %.0f requests served", seed, f.falls, f.served, capacity)
		}
	}
}
