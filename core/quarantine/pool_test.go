package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"rosereach/core/quarantine"
)

const service = "s"

var start = time.Unix(1000, 0)

// world is a fleet of entries that share one pool, and of servers that hold requests.
// Requests are answered after answerTime unless their server ends.
type world struct {
	random   *rand.Rand
	now      time.Time
	pool     *quarantine.Pool
	memories []*quarantine.Memory
	servers  []*serverState
	started  uint64
	requests int
	steps    int
	rejected map[string]int // by middle part
	arrived  map[string]int
	endings  int
	listed   []quarantine.Listing
	slow     bool   // answers take several seconds
	first    string // the first part of prompts
}

type serverState struct {
	incarnation uint64
	downUntil   time.Time
	running     []running
}

type running struct {
	entry   int
	request quarantine.Request
	parts   []string
	sentAt  time.Time
	due     time.Time
	isSound bool // its answer has been going on for a while
}

const (
	answerTime  = 1500 * time.Millisecond
	soundTime   = time.Second // from sending until an answer has been going on for a while
	restartTime = 2 * time.Second
	reportTime  = 500 * time.Millisecond // from an end until the pool knows it
	step        = 50 * time.Millisecond
	judgeSteps  = 4 // from one judgment to the next
)

func newWorld(seed uint64, entries, servers int) *world {
	w := &world{
		first: "common", random: rand.New(rand.NewPCG(seed, 1)), now: start, pool: quarantine.NewPool(), rejected: make(map[string]int), arrived: make(map[string]int),
	}
	for range entries {
		w.memories = append(w.memories, quarantine.NewMemory())
	}
	for range servers {
		w.started++
		w.servers = append(w.servers, &serverState{incarnation: w.started})
	}
	return w
}

// send sends a request with a common first, the given middle, and a last part of its own
// to a random server of those that run, through a random entry. A request that crashes
// ends its server at once.
func (w *world) send(middle string, crashes bool) {
	w.requests++
	parts := []string{w.first, middle, fmt.Sprint("own", w.requests)}
	keys := quarantine.SharedKeys(service, parts)
	if _, ok := w.pool.List().Find(w.now, keys); ok {
		w.rejected[middle]++
		return
	}
	var up []*serverState
	for _, s := range w.servers {
		if !w.now.Before(s.downUntil) {
			up = append(up, s)
		}
	}
	if len(up) == 0 {
		return
	}
	w.arrived[middle]++
	s := up[w.random.IntN(len(up))]
	s.running = append(s.running, running{
		entry: w.random.IntN(len(w.memories)), request: quarantine.NewRequest(fmt.Sprint(w.requests), "w", keys), parts: parts, sentAt: w.now, due: w.now.Add(w.answerTime()),
	})
	if crashes {
		w.end(s)
	}
}

// answerTime returns how long an answer takes.
func (w *world) answerTime() time.Duration {
	if w.slow {
		return time.Duration(w.random.ExpFloat64() * float64(4*time.Second))
	}
	return answerTime
}

// end ends a server and reports what each entry had there.
func (w *world) end(s *serverState) {
	w.endings++
	byEntry := make(map[int]quarantine.End)
	for _, r := range s.running {
		e, ok := byEntry[r.entry]
		if !ok {
			e = quarantine.End{Service: service, Server: fmt.Sprint("server", s.incarnation), Incarnation: s.incarnation}
		}
		byEntry[r.entry] = e.WithRequest(r.request)
	}
	for entry, e := range byEntry {
		w.pool.Add(w.now, quarantine.Report{Sender: fmt.Sprint(entry), Ends: []quarantine.End{e}})
	}
	w.started++
	*s = serverState{incarnation: w.started, downUntil: w.now.Add(restartTime)}
}

// tick answers what is due, lets the entries answer for the suspects and lets the pool
// judge.
func (w *world) tick() {
	w.now = w.now.Add(step)
	for _, s := range w.servers {
		kept := s.running[:0]
		for _, r := range s.running {
			if !r.isSound && !w.now.Before(r.sentAt.Add(min(soundTime, r.due.Sub(r.sentAt)))) {
				r.isSound = true
				w.memories[r.entry].Record(w.now, service, "w", quarantine.SharedKeys(service, r.parts))
			}
			if w.now.Before(r.due) {
				kept = append(kept, r)
			}
		}
		s.running = kept
	}
	if w.steps++; w.steps%judgeSteps != 0 {
		return
	}
	w.listed = append(w.listed, w.pool.Judge(w.now)...)
	suspects, _ := w.pool.Suspects()
	for i, m := range w.memories {
		w.pool.Add(w.now, quarantine.Report{Sender: fmt.Sprint(i), Sound: m.Sound(w.now, suspects)})
	}
}

// traffic sends sound requests, each with one of many middle parts, for a while. Each
// calls also back on every step.
func (w *world) traffic(d time.Duration, perStep, middles int, each func()) {
	for end := w.now.Add(d); w.now.Before(end); w.tick() {
		for range perStep {
			w.send(fmt.Sprint("middle", w.random.IntN(middles)), false)
		}
		each()
	}
}

// crashEvery sends traffic for a while, and every few steps a request that crashes its
// server. It returns how many of these arrived later than the contact time after the fifth
// end, less the time of a report.
func (w *world) crashEvery(steps int, d time.Duration, perStep int) (late int) {
	const contact = 4 * time.Second
	n, fifth := 0, time.Time{}
	w.traffic(d, perStep, 60, func() {
		if n++; n%steps != 0 {
			return
		}
		before := w.arrived["bad"]
		w.send("bad", true)
		if w.endings == 5 && fifth.IsZero() {
			fifth = w.now
		}
		if !fifth.IsZero() && w.now.Sub(fifth) > contact-reportTime {
			late += w.arrived["bad"] - before
		}
	})
	return late
}

// The load pattern is a part that crashes each server that begins to answer requests with
// it, at any entry, beside sound requests with the same first part.
func TestCrashingPartIsListed(t *testing.T) {
	for _, every := range []int{4, 20, 100} {
		for seed := range uint64(4) {
			w := newWorld(seed, 20, 9)
			w.traffic(10*time.Second, 4, 60, func() {})
			late := w.crashEvery(every, time.Duration(every)*3*time.Second, 4)
			if late > 3 || len(w.listed) != 1 || w.listed[0].Key != quarantine.KeyOf(service, "bad") {
				t.Errorf("every %d steps, seed %d: %d arrivals late, %d ends, listed %+v", every, seed, late, w.endings, w.listed)
			}
			for middle, rejected := range w.rejected {
				if middle != "bad" {
					t.Errorf("every %d steps, seed %d: %d sound requests with %s are rejected", every, seed, rejected, middle)
				}
			}
		}
	}
}

// The load pattern is the same while nothing is known of sound answers yet, and most servers
// are down at any time: answers take longer than servers last.
func TestCrashingPartIsListedAfterColdStart(t *testing.T) {
	for _, every := range []int{2, 5, 10, 40} {
		for seed := range uint64(4) {
			w := newWorld(seed, 9, 9)
			w.slow = true
			late := w.crashEvery(every, 30*time.Second, 3)
			if late > 3 || len(w.listed) != 1 || w.listed[0].Key != quarantine.KeyOf(service, "bad") {
				t.Errorf("every %d steps, seed %d: %d arrivals late, %d ends, listed %+v", every, seed, late, w.endings, w.listed)
			}
		}
	}
}

// A release that crashes whatever it answers incriminates no part, not even the one that
// all requests share.
func TestServersThatAllCrashListNoPart(t *testing.T) {
	for _, warm := range []time.Duration{0, 10 * time.Second} {
		for seed := range uint64(4) {
			w := newWorld(seed, 9, 9)
			w.slow = true
			w.traffic(warm, 3, 60, func() {})
			n := 0
			w.traffic(30*time.Second, 3, 60, func() {
				if n++; n%4 == 0 {
					w.end(w.servers[w.random.IntN(len(w.servers))])
				}
			})
			if len(w.listed) > 0 {
				t.Errorf("after %v, seed %d: %d ends, listed %+v", warm, seed, w.endings, w.listed)
			}
		}
	}
}

// Not each run crashes its server.
func TestPartThatCrashesSometimesIsListed(t *testing.T) {
	for seed := range uint64(4) {
		w := newWorld(seed, 20, 9)
		w.traffic(10*time.Second, 4, 60, func() {})
		w.traffic(30*time.Second, 4, 60, func() {
			if w.random.IntN(10) == 0 {
				w.send("bad", w.random.IntN(10) < 7)
			}
		})
		if len(w.listed) != 1 || w.listed[0].Key != quarantine.KeyOf(service, "bad") {
			t.Errorf("seed %d: %d ends, listed %+v", seed, w.endings, w.listed)
		}
	}
}

// Servers that fail for reasons of their own incriminate no part: one at a time, by racks
// and all at once, again and again.
func TestFailingServersListNoPart(t *testing.T) {
	for _, group := range []int{1, 3, 9} {
		for seed := range uint64(5) {
			w := newWorld(seed, 20, 9)
			w.traffic(10*time.Second, 4, 60, func() {})
			n := 0
			w.traffic(40*time.Second, 4, 60, func() {
				n++
				if n%(group*20) != 0 {
					return
				}
				for _, i := range w.random.Perm(len(w.servers))[:group] {
					w.end(w.servers[i])
				}
			})
			if len(w.listed) > 0 {
				t.Errorf("groups of %d, seed %d: listed %+v", group, seed, w.listed)
			}
		}
	}
}

// A crashing part is found while servers also fail for other reasons, and nothing else is.
func TestCrashingPartIsFoundAmongFailures(t *testing.T) {
	for seed := range uint64(4) {
		w := newWorld(seed, 20, 12)
		w.traffic(10*time.Second, 4, 60, func() {})
		n := 0
		w.traffic(30*time.Second, 4, 60, func() {
			n++
			if n%10 == 0 {
				w.send("bad", true)
			}
			if n%60 == 0 {
				for _, i := range w.random.Perm(len(w.servers))[:3] {
					w.end(w.servers[i])
				}
			}
		})
		if len(w.listed) != 1 || w.listed[0].Key != quarantine.KeyOf(service, "bad") {
			t.Errorf("seed %d: %d ends, listed %+v", seed, w.endings, w.listed)
		}
	}
}

// Two crashing parts are both found.
func TestTwoCrashingPartsAreListed(t *testing.T) {
	w := newWorld(1, 20, 12)
	w.traffic(10*time.Second, 4, 60, func() {})
	n := 0
	w.traffic(20*time.Second, 4, 60, func() {
		if n++; n%8 == 0 {
			w.send("bad", true)
		}
		if n%8 == 4 {
			w.send("worse", true)
		}
	})
	if len(w.listed) != 2 {
		t.Errorf("listed %+v", w.listed)
	}
}

// A workspace that sends another's part beside its own crashing one does not get it
// listed, as the other's requests with it are answered.
func TestForeignPartIsNotListed(t *testing.T) {
	w := newWorld(1, 20, 9)
	w.traffic(10*time.Second, 4, 60, func() {})
	n := 0
	w.traffic(20*time.Second, 4, 60, func() {
		n++
		if n%3 == 0 {
			w.send("victim", false)
		}
		if n%6 != 0 {
			return
		}
		w.requests++
		parts := []string{"victim", "bad", fmt.Sprint("own", w.requests)}
		if _, ok := w.pool.List().Find(w.now, quarantine.SharedKeys(service, parts)); ok {
			return
		}
		s := w.servers[w.random.IntN(len(w.servers))]
		s.running = append(s.running, running{request: quarantine.NewRequest(fmt.Sprint(w.requests), "other", quarantine.SharedKeys(service, parts)), sentAt: w.now, due: w.now.Add(answerTime)})
		w.end(s)
	})
	if len(w.listed) != 1 || w.listed[0].Key != quarantine.KeyOf(service, "bad") {
		t.Errorf("listed %+v", w.listed)
	}
}

func TestReportIsBoundedByWorkspace(t *testing.T) {
	var e quarantine.End
	for i := range 100 {
		e = e.WithRequest(quarantine.NewRequest(fmt.Sprint("a", i), "loud", nil))
	}
	for i := range 5 {
		e = e.WithRequest(quarantine.NewRequest(fmt.Sprint("b", i), "other", nil))
		e = e.WithRequest(quarantine.NewRequest(fmt.Sprint("b", i), "other", nil))
	}
	if len(e.Requests) != 17 {
		t.Errorf("%d requests are reported", len(e.Requests))
	}
}

func TestListingEnds(t *testing.T) {
	l, other := quarantine.NewList(), quarantine.NewList()
	k := quarantine.KeyOf(service, "bad")
	if !l.Add(start, quarantine.Listing{Key: k, Left: time.Minute}) || l.Add(start, quarantine.Listing{Key: k, Left: time.Hour}) {
		t.Fatal("a listing is not kept as it was first added")
	}
	for now := start; now.Before(start.Add(2 * time.Minute)); now = now.Add(time.Second) {
		for _, s := range l.All(now) {
			other.Add(now.Add(100*time.Millisecond), s)
		}
		for _, s := range other.All(now) {
			l.Add(now.Add(100*time.Millisecond), s)
		}
	}
	if _, ok := l.Find(start.Add(2*time.Minute), []quarantine.Key{k}); ok {
		t.Error("two members keep each other's listing alive")
	}
	if got := quarantine.SharedKeys(service, []string{"own"}); got != nil {
		t.Errorf("the last part is shared: %v", got)
	}
}

// When every request crashes its server, none of the parts is to blame: nothing is sound to
// compare them with.
func TestServersThatCrashOnAnythingListNoPart(t *testing.T) {
	for _, kinds := range []int{1, 3} {
		w := newWorld(1, 20, 9)
		n := 0
		for end := w.now.Add(60 * time.Second); w.now.Before(end); w.tick() {
			n++
			w.first = fmt.Sprint("common", n%kinds)
			w.send(fmt.Sprint("middle", w.random.IntN(60)), true)
		}
		if len(w.listed) > 0 {
			t.Errorf("%d kinds of requests: %d ends, listed %+v", kinds, w.endings, w.listed)
		}
	}
}
